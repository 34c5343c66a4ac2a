#include "bluebellshift/gateway/regions/faultwatch.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway::regions;

TEST_GROUP(FaultWatch)
{
    Instant now_ = Instant::fromMicros(7'000'000'000);
    double othersFailures_ = 0;
    std::vector<core::LogRecord> logs_;
    FaultWatch faults_ { { [this](Instant) { return othersFailures_; },
                           [this](core::LogRecord record) {
                               logs_.push_back(std::move(record));
                           } } };
};

TEST(FaultWatch, ASignCountsForSomeSeconds)
{
    CHECK(!faults_.isNear(now_));
    faults_.onSign(FaultSign::TargetLost, now_);
    faults_.onSign(FaultSign::VmLost, now_);
    CHECK(faults_.isNear(now_ + FaultWatch::memory));
    CHECK(!faults_.isNear(now_ + FaultWatch::memory + Duration::millis(1)));
    LONGS_EQUAL(1, logs_.size());
    STRCMP_EQUAL("target-lost", logs_[0].fields[0].value.c_str());
}

// Guards against a fault that only the VMs near it know of while the requests of others must move.
TEST(FaultWatch, ASignOfAnotherVmCountsFromItsTime)
{
    faults_.onReported(Duration::seconds(3), now_);
    CHECK(faults_.isNear(now_));
    CHECK(!faults_.isNear(now_ + Duration::millis(1100)));
    CHECK(!faults_.signAge(now_).has_value());
    faults_.onReported(FaultWatch::memory * 2, now_);
    CHECK(faults_.isNear(now_));
}

// Guards against a limit that is lifted for the few requests that fail without any fault.
TEST(FaultWatch, OnlySeveralFailuresAreASign)
{
    for (std::size_t i = 1; i < FaultWatch::minFailures; ++i)
        faults_.onFailure(now_);
    CHECK(!faults_.isNear(now_));
    now_ = now_ + FaultWatch::failureWindow + Duration::millis(1);
    faults_.onFailure(now_);
    CHECK(!faults_.isNear(now_));
    othersFailures_ = FaultWatch::minFailures;
    faults_.onFailure(now_);
    CHECK(faults_.isNear(now_));
    LONGS_EQUAL(2, faults_.failures(now_));
}
