// The learned capacity of targets. Load that this answers: targets that become 5 to 12 times as
// slow for seconds, or slow down before their slots are full, while each VM sends one of them a
// request every few seconds.
#include "bluebellshift/gateway/targets/targetcapacity.h"

#include <random>

#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/targets/testing/capacitymodel.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::targets;
using namespace bluebellshift::gateway::targets::testing;

namespace {

constexpr int slots = 4;
const Duration usual = Duration::millis(400);

Target targetOf(int number, std::int64_t startUnixMillis = 1)
{
    Target target;
    target.id = TargetId("t" + std::to_string(number));
    target.service = ServiceId("s");
    target.slots = slots;
    target.startUnixMillis = startUnixMillis;
    return target;
}

// One VM with ten targets.
struct Vm
{
    explicit Vm(bool isRoomContended = true)
        : capacity(isRoomContended,
                   [this](const core::LogRecord &record) { logs.push_back(record); })
    {
        for (int i = 0; i < 10; ++i)
            entries.push_back(capacity.put(targetOf(i)));
    }

    // A request to the target that takes `factor` times the usual time and ends now.
    void serve(int target, double factor, int running = 1, int status = 200,
               ObjectState object = ObjectState::None, std::optional<int> workPercent = {})
    {
        const auto elapsed =
            Duration::micros(static_cast<std::int64_t>(factor * usual.toSeconds() * 1e6));
        capacity.onSent(entry(target), { now - elapsed, Duration(), usual, object, running });
        AttemptEnded ended;
        ended.outcome = AttemptOutcome::Answered;
        ended.status = status;
        ended.load = LoadReport { running - 1, 0, slots, workPercent };
        capacity.onEnded(entry(target), now - elapsed, ended, now);
    }
    void advance(Duration time) { now = now + time; }
    TargetCapacity::Entry &entry(int target) { return *entries[static_cast<std::size_t>(target)]; }
    CapacityEstimate estimate(int target)
    {
        return capacity.estimateOf(entry(target), now).value_or(CapacityEstimate { -1, -1 });
    }
    // Makes it known that the targets report their load.
    void activate() { serve(9, 1); }

    std::vector<core::LogRecord> logs;
    TargetCapacity capacity;
    std::vector<TargetCapacity::Entry *> entries;
    Instant now = Instant::fromMicros(1'000'000'000);
};

} // namespace

TEST_GROUP(TargetCapacity) {};

// Guards against the fault of the fixed slots: a VM learned of a slow target only from its own
// responses, and all VMs went on sending to it.
TEST(TargetCapacity, FewRequestsGoToSlowTargetsWhereVmsExchangeSamples)
{
    CapacityModelOptions options;
    options.slowShare = 0.15;
    const double today = runCapacityModel(options).sentToSlow;
    options.choice = Choice::Exchanged;
    const double exchanged = runCapacityModel(options).sentToSlow;
    CHECK(today > 0.03);
    CHECK(exchanged < 0.6 * today);
}

// The same for many VMs whose reports are a second old.
TEST(TargetCapacity, FewRequestsGoToSlowTargetsInALargeFleet)
{
    CapacityModelOptions options;
    options.slowShare = 0.15;
    options.vms = 60;
    options.targets = 130;
    options.slots = 6;
    options.requestsPerSecond = 700;
    options.workSeconds = 0.7;
    options.reportSeconds = 1;
    const CapacityModelResult today = runCapacityModel(options);
    options.choice = Choice::Exchanged;
    const CapacityModelResult exchanged = runCapacityModel(options);
    CHECK(today.sentToSlow > 0.045);
    CHECK(exchanged.sentToSlow < 0.5 * today.sentToSlow);
    CHECK(exchanged.inTime >= today.inTime);
}

// Guards against capacity that is given away: long requests and neighbours of 0.6 s must not make a
// target slow.
TEST(TargetCapacity, LongRequestsAndNeighboursDoNotMakeTargetsSlow)
{
    CapacityModelOptions options;
    options.choice = Choice::Exchanged;
    options.neighbourShare = 0.15;
    for (const bool reportsWork : { false, true }) {
        options.reportsWork = reportsWork;
        const CapacityModelResult result = runCapacityModel(options);
        CHECK(result.usualTakenAsSlow < 0.01);
        CHECK(result.reducedUsual < 0.04);
    }
}

TEST(TargetCapacity, FollowsASlowTargetWithinTwoSecondsAndRestoresItGradually)
{
    Vm vm;
    vm.activate();
    for (int i = 0; i < 5; ++i) {
        vm.serve(0, 8);
        vm.advance(Duration::millis(400));
    }
    const double slow = vm.estimate(0).pace;
    CHECK(slow > 4);
    DOUBLES_EQUAL(1, vm.estimate(1).pace, 0);
    double before = slow;
    for (int i = 0; i < 12; ++i) {
        vm.advance(Duration::millis(500));
        const double pace = vm.estimate(0).pace;
        CHECK(pace <= before);
        CHECK(pace > 0.6 * before);
        before = pace;
    }
    DOUBLES_EQUAL(1, vm.estimate(0).pace, 0);
}

// Guards against a target that stalls and is not known as slow until its first response.
TEST(TargetCapacity, RequestsInProgressForTooLongCountBeforeTheyEnd)
{
    Vm vm;
    vm.activate();
    for (int i = 0; i < 3; ++i) {
        vm.capacity.onSent(vm.entry(0), { vm.now, Duration(), usual, ObjectState::None, i + 1 });
        vm.advance(Duration::millis(250));
    }
    for (int i = 0; i < 13; ++i) { // until the first has been in progress for 2 s
        vm.advance(Duration::millis(100));
        vm.capacity.reports(vm.now);
    }
    CHECK(vm.estimate(0).pace > TargetCapacity::slowPace);
}

// A single request of those that take 7 times as long is no sign of a slow target.
TEST(TargetCapacity, OneLongRequestIsNoSlowTarget)
{
    Vm vm;
    vm.activate();
    for (int i = 0; i < 10; ++i) {
        vm.serve(0, i == 5 ? 7 : 1);
        vm.advance(Duration::millis(200));
        CHECK(vm.estimate(0).pace < TargetCapacity::slowPace);
    }
    DOUBLES_EQUAL(1, vm.estimate(0).pace, 0);
}

TEST(TargetCapacity, ColdObjectsErrorsAndNeighboursThatAreReportedAreNoSlowTargets)
{
    Vm vm;
    vm.activate();
    for (int i = 0; i < 10; ++i) {
        vm.serve(0, 1, 1, 200, ObjectState::LikelyWarm);
        vm.serve(1, 8, 1, 500);
        vm.serve(2, 2.5, 1, 200, ObjectState::None, 250);
        vm.advance(Duration::millis(200));
        for (int target = 0; target < 3; ++target)
            DOUBLES_EQUAL(1, vm.estimate(target).pace, 0);
    }
}

// A route that becomes slower at all targets must not make them all seem slow.
TEST(TargetCapacity, ASlowRouteIsNoSlowTarget)
{
    Vm vm;
    for (int i = 0; i < 20; ++i) {
        for (int target = 0; target < 10; ++target)
            vm.serve(target, 4);
        vm.advance(Duration::millis(200));
    }
    for (int target = 0; target < 10; ++target)
        CHECK(vm.estimate(target).pace < 1.5);
}

TEST(TargetCapacity, FindsTheKneeOfATargetThatSharesItsWork)
{
    Vm vm;
    vm.activate();
    for (int i = 0; i < 60; ++i) {
        const int running = 1 + i % 4;
        vm.serve(0, std::max(1.0, running / 2.0), running);
        vm.serve(1, 1, running);
        vm.advance(Duration::millis(100));
    }
    CHECK(vm.estimate(0).limit < 3);
    CHECK(vm.estimate(0).limit > 1.4);
    CHECK(vm.estimate(0).pace < 1.5);
    DOUBLES_EQUAL(slots, vm.estimate(1).limit, 0);
}

// Guards against a change for deployments that gave no sign of heavy load.
TEST(TargetCapacity, IsInactiveWithoutLoadReportsOrASwitch)
{
    Vm vm(false);
    for (int i = 0; i < 20; ++i) {
        vm.serve(0, 8);
        vm.advance(Duration::millis(100));
    }
    CHECK(!vm.capacity.estimateOf(vm.entry(0), vm.now));
    CHECK_EQUAL(0, vm.capacity.reports(vm.now).samples.size());
    CHECK_EQUAL(0, vm.logs.size());
    vm.serve(1, 1, 1, 200, ObjectState::None, 100);
    CHECK(vm.capacity.estimateOf(vm.entry(0), vm.now).has_value());

    Vm contended(true);
    AttemptEnded withoutLoad;
    withoutLoad.outcome = AttemptOutcome::Answered;
    withoutLoad.status = 200;
    contended.capacity.onEnded(contended.entry(0), contended.now, withoutLoad, contended.now);
    CHECK(!contended.capacity.estimateOf(contended.entry(0), contended.now));
}

TEST(TargetCapacity, ARestartedTargetStartsFromThePrior)
{
    Vm vm;
    vm.activate();
    Vm other;
    other.activate();
    for (int i = 0; i < 5; ++i) {
        vm.advance(Duration::millis(200));
        vm.serve(0, 8);
    }
    CHECK(vm.estimate(0).pace > TargetCapacity::slowPace);
    const core::TargetSamples reported = vm.capacity.reports(vm.now);
    for (Vm *one : { &vm, &other }) {
        one->capacity.remove(TargetId("t0"), one->now);
        one->entries[0] = one->capacity.put(targetOf(0, 2));
        DOUBLES_EQUAL(1, one->estimate(0).pace, 0);
    }
    other.capacity.onReport(VmId("vm"), reported, other.now);
    DOUBLES_EQUAL(1, other.estimate(0).pace, 0);
}

// A report that is lost, repeated, or of a VM that restarted must neither lose samples nor count
// them twice.
TEST(TargetCapacity, EachReportedSampleCountsOnce)
{
    Vm sender;
    sender.activate();
    Vm once;
    once.activate();
    Vm repeatedly;
    repeatedly.activate();
    core::TargetSamples reported;
    for (int i = 0; i < 4; ++i) {
        sender.serve(0, 3);
        sender.advance(Duration::millis(50));
        reported = sender.capacity.reports(sender.now);
        repeatedly.capacity.onReport(VmId("vm"), reported, sender.now);
        repeatedly.capacity.onReport(VmId("vm"), reported, sender.now);
        if (i != 1) // lost
            once.capacity.onReport(VmId("vm"), reported, sender.now);
    }
    once.now = sender.now;
    repeatedly.now = sender.now;
    CHECK(once.estimate(0).pace > 1.5);
    DOUBLES_EQUAL(once.estimate(0).pace, repeatedly.estimate(0).pace, 0.25);
    Vm restarted;
    restarted.activate();
    restarted.now = sender.now + Duration::seconds(1);
    for (int i = 0; i < 2; ++i)
        restarted.serve(1, 8);
    const core::TargetSamples fewer = restarted.capacity.reports(restarted.now);
    CHECK(fewer.end < reported.end);
    once.now = restarted.now;
    once.capacity.onReport(VmId("vm"), fewer, once.now);
    CHECK(once.estimate(1).pace > 1);
}

TEST(TargetCapacity, ReportsAndLogsAreBounded)
{
    Vm vm;
    vm.activate();
    for (int i = 0; i < 1000; ++i) {
        vm.serve(i % 9, i / 100 % 2 == 0 ? 8 : 1);
        vm.advance(Duration::millis(10));
    }
    CHECK_EQUAL(TargetCapacity::maxReported, vm.capacity.reports(vm.now).samples.size());
    CHECK(!vm.logs.empty());
    CHECK(vm.logs.size() <= 2 * TargetCapacity::maxLogsPerWindow);
    vm.advance(TargetCapacity::reportTime * 2);
    CHECK_EQUAL(0, vm.capacity.reports(vm.now).samples.size());
}

// Guards against reports of another version, or ill-formed ones, that break the estimates.
TEST(TargetCapacity, AnyReportLeavesEstimatesWithinTheirRange)
{
    Vm vm;
    vm.activate();
    std::mt19937_64 random(7);
    for (int i = 0; i < 3000; ++i) {
        core::TargetSamples reported;
        reported.end = random() % 50;
        for (std::uint64_t n = random() % 40; n > 0; --n) {
            reported.samples.push_back({ hashOf(TargetId("t" + std::to_string(random() % 12))),
                                         static_cast<std::uint32_t>(random() >> random() % 60) });
        }
        vm.capacity.onReport(VmId("vm" + std::to_string(random() % 3)), reported, vm.now);
        vm.advance(Duration::micros(static_cast<std::int64_t>(random() % 300'000)));
        for (int target = 0; target < 10; ++target) {
            const CapacityEstimate estimate = vm.estimate(target);
            CHECK(estimate.pace > 0.04 && estimate.pace < 25);
            CHECK(estimate.limit >= 1 && estimate.limit <= slots);
        }
    }
}

// Guards against a pool that learns a slow target and still chooses it, or that tells Dispatcher
// the registry's slots.
TEST(TargetCapacity, APoolPrefersTheTargetsThatAreNotSlow)
{
    GatewayOptions options = gateway::testing::sampleOptions();
    options.features.isRoomContended = true;
    TargetPool pool(options,
                    { [](std::uint32_t, Instant) { return 0; },
                      [](std::uint64_t, Instant) { return std::size_t { 0 }; },
                      [](TargetHash, const RegionId &, Instant) { return SenderRank(); },
                      [](Instant) { return std::size_t { 1 }; }, [] { return 0.5; },
                      [](const core::LogRecord &) {} });
    pool.setConfig(gateway::testing::sampleConfig());
    Instant now = Instant::fromMicros(1'000'000'000);
    const std::vector<Target> targets = gateway::testing::sampleTargets(2);
    for (const Target &target : targets)
        pool.put(target, now);
    TargetCriteria criteria;
    criteria.service = ServiceId("s");
    criteria.route = "r";
    criteria.foundFreeSlot = true;
    for (int i = 0; i < 40; ++i) {
        const bool isSlow = i >= 20 && i % 2 == 0;
        const TargetId &target = targets[static_cast<std::size_t>(i % 2)].id;
        pool.onSent(target, criteria, now);
        const Duration elapsed = usual * (isSlow ? 8 : 1);
        now = now + elapsed;
        AttemptEnded ended;
        ended.outcome = AttemptOutcome::Answered;
        ended.status = 200;
        ended.load = LoadReport { 0, 0, slots, std::nullopt };
        pool.onEnded(target, criteria, ended, elapsed, now);
    }
    const TargetSelection selection = pool.select(criteria, 1, now);
    CHECK(selection.target != nullptr && selection.target->id == targets[1].id);
    CHECK_EQUAL(targets[1].slots, selection.slots);
    CHECK(!pool.capacity().reports(now).samples.empty());
}
