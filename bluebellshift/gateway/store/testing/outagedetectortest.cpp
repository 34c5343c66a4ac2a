// Guards against calls that are cut off being taken for an outage of the store, and against an
// outage that is taken for such calls.
#include "bluebellshift/gateway/store/outagedetector.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using bluebellshift::gateway::store::OutageDetector;

namespace {

Instant at(std::int64_t millis)
{
    return Instant::fromMicros(1'000'000'000) + Duration::millis(millis);
}

struct Failure
{
    std::int64_t beganAt; // milliseconds
    std::int64_t failedAt;
    FailureSign sign;
};

struct Case
{
    const char *name;
    std::vector<Failure> failures;
    bool isLost;
    bool isOutage;
};

const Case cases[] = {
    { "one cut", { { 0, 100, FailureSign::Ended } }, false, false },
    { "three watches cut",
      { { 0, 100, FailureSign::Ended },
        { 10, 100, FailureSign::Ended },
        { 20, 101, FailureSign::Ended } },
      true,
      false },
    { "three watches cut, then the probe",
      { { 0, 100, FailureSign::Ended },
        { 10, 100, FailureSign::Ended },
        { 20, 101, FailureSign::Ended },
        { 100, 104, FailureSign::Ended } },
      true,
      true },
    { "a list is cut twice",
      { { 0, 100, FailureSign::Ended }, { 120, 200, FailureSign::Ended } },
      true,
      false },
    { "too many calls",
      { { 0, 4, FailureSign::Throttled },
        { 20, 24, FailureSign::Throttled },
        { 24, 28, FailureSign::Throttled },
        { 60, 64, FailureSign::Throttled } },
      true,
      false },
    { "no response to a watch and to its successor",
      { { 0, 3400, FailureSign::Unreachable }, { 3420, 4120, FailureSign::Unreachable } },
      true,
      true },
    { "one watch without a response", { { 0, 3400, FailureSign::Unreachable } }, false, false },
    { "a connection is refused after a cut",
      { { 0, 100, FailureSign::Ended }, { 120, 121, FailureSign::Unreachable } },
      true,
      true },
};

} // namespace

TEST_GROUP(OutageDetector) {};

TEST(OutageDetector, OnlyAProbeOrAStoreOutOfReachProvesAnOutage)
{
    for (const Case &one : cases) {
        OutageDetector detector;
        std::int64_t last = 0;
        for (const Failure &failure : one.failures) {
            detector.onFailure({ at(failure.beganAt), failure.sign }, at(failure.failedAt));
            last = failure.failedAt;
        }
        CHECK_TEXT(one.isLost == detector.isLost(), one.name);
        CHECK_TEXT(one.isOutage == detector.isOutage(), one.name);
        const auto returned = detector.onResponse(at(last + 10));
        CHECK_TEXT(one.isLost == returned.has_value(), one.name);
        CHECK_TEXT(one.isOutage == (returned && returned->wasOutage), one.name);
        CHECK_TEXT((one.isOutage ? at(last + 10) : Instant::never()) == detector.returnedAt(),
                   one.name);
        CHECK_FALSE(detector.isLost());
    }
}

// A response in between shows that what failed before it is over.
TEST(OutageDetector, AResponseEndsASeries)
{
    OutageDetector detector;
    detector.onFailure({ at(0), FailureSign::Unreachable }, at(3400));
    detector.onResponse(at(3410));
    detector.onFailure({ at(3420), FailureSign::Ended }, at(3500));
    CHECK_FALSE(detector.isLost());
    detector.onFailure({ at(3420), FailureSign::Ended }, at(3500));
    CHECK(detector.isLost());
    CHECK_FALSE(detector.isOutage());
}
