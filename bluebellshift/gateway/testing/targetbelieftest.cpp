// What a VM assumes of targets from reports and responses. Pattern that this answers: many VMs,
// each of which sends a target few requests, and targets on busy machines.
#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

const ServiceId service("s");
constexpr std::uint64_t object = 4711;
constexpr Duration coldTime = Duration::millis(400);
constexpr Duration warmTime = Duration::millis(120);
constexpr int reportedInFlight = 20; // by the other VMs, at each target

} // namespace

TEST_GROUP(TargetBelief)
{
    Instant now_ = Instant::fromMicros(5'000'000'000);
    Duration reportAge_;
    const GatewayOptions options_ = sampleOptions();
    regions::FaultWatch faults_ { { [](Instant) { return 0.0; }, [](const core::LogRecord &) {} } };
    TargetPool pool_ { options_,
                       faults_,
                       { [](std::uint32_t, Instant) { return reportedInFlight; },
                         [this](Instant) { return reportAge_; },
                         [](std::uint64_t, Instant) { return ColdSenderRank(); },
                         [](TargetHash, const RegionId &, Instant) { return SenderRank(); },
                         [](Instant) { return std::size_t { 30 }; },
                         [] {
                             return std::map<RegionId, double> { { RegionId("near"), 1 } };
                         },
                         [](Instant) { return std::vector<double>(); },
                         [](Instant) { return std::map<RegionId, double>(); },
                         [](const core::LogRecord &) {} } };

    void setup() override
    {
        pool_.setConfig(sampleConfig());
        for (const Target &target : sampleTargets(30))
            pool_.put(target, now_);
    }

    TargetCriteria criteria() const
    {
        TargetCriteria criteria;
        criteria.service = service;
        criteria.route = "read";
        criteria.object = object;
        criteria.foundFreeSlot = true;
        return criteria;
    }

    void respond(const TargetId &target, Duration time, int workPercent)
    {
        pool_.onSent(target, criteria(), now_);
        now_ = now_ + time;
        AttemptEnded ended;
        ended.outcome = AttemptOutcome::Answered;
        ended.status = 200;
        ended.load = LoadReport { 1, 0, 2, workPercent };
        pool_.onEnded(target, criteria(), ended, time, now_);
    }
};

// Guards against requests that leave the target of their object for a load that ended long ago.
TEST(TargetBelief, ReportsCountForLessTheOlderTheyAre)
{
    for (int i = 0; i < 20; ++i)
        respond(TargetId("t0"), coldTime, 100);
    now_ = now_ + Duration::seconds(10); // the responses are too old to tell a load
    int previous = reportedInFlight + 1;
    for (const Duration age : { Duration(), Duration::millis(300), Duration::seconds(5) }) {
        reportAge_ = age;
        respond(TargetId("t1"), coldTime, 100); // the service's targets report their load
        now_ = now_ + Duration::seconds(1);
        const TargetSelection selection = pool_.select(criteria(), 1, now_);
        CHECK(selection.target != nullptr);
        CHECK(selection.target->id != TargetId("t1"));
        CHECK(selection.othersInFlight < previous);
        previous = selection.othersInFlight;
    }
    LONGS_EQUAL(0, previous);
}

// Guards against a target that is taken to have dropped an object, and is given fewer, because its
// machine is busy.
TEST(TargetBelief, ABusyMachineIsNotTakenForAColdObject)
{
    for (int i = 0; i < 20; ++i)
        respond(TargetId("t0"), coldTime, 100);
    const double before = pool_.warmObjectsPerTarget(service);
    for (int i = 0; i < 20; ++i)
        respond(TargetId("t0"), warmTime * 3, 300);
    CHECK(pool_.warmObjectsPerTarget(service) >= before);
    for (int i = 0; i < 20; ++i)
        respond(TargetId("t0"), coldTime * 3, 300);
    CHECK(pool_.warmObjectsPerTarget(service) < before);
}
