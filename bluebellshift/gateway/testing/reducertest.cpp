// Tests the gateway's guarantees through the whole reducer.
#include "bluebellshift/gateway/dispatcher.h"
#include "bluebellshift/gateway/storelink.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// How an attempt ends, and whether the request may then be retried.
struct AttemptEndCase
{
    const char *name;
    AttemptOutcome outcome;
    int status;
    bool saysNotRun;
    bool hasRun; // whether it may have run, as far as the gateway knows
    bool repeatedIfSafe;
    bool repeatedIfUnsafe;
};

const AttemptEndCase attemptEndCases[] = {
    { "connect failed", AttemptOutcome::ConnectFailed, 0, false, false, true, true },
    { "shed", AttemptOutcome::Answered, 503, true, false, true, true },
    { "another target", AttemptOutcome::Answered, 421, true, false, true, true },
    { "cut", AttemptOutcome::Cut, 0, false, true, true, false },
    { "malformed", AttemptOutcome::Malformed, 0, false, true, true, false },
    { "error of the target", AttemptOutcome::Answered, 500, false, true, true, false },
    { "503 without a not-run statement", AttemptOutcome::Answered, 503, false, true, true, false },
};

std::set<std::string> targetsOf(const std::vector<SendAttempt> &sent)
{
    std::set<std::string> targets;
    for (const SendAttempt &attempt : sent)
        targets.insert(attempt.target.text());
    return targets;
}

} // namespace

TEST_GROUP(Reducer)
{
    GatewayBench bench;

    // Sends `count` requests, answers each at once and returns the targets used.
    std::set<std::string> targetsInUse(int count, std::uint64_t first)
    {
        std::set<std::string> used;
        for (int i = 0; i < count; ++i) {
            const std::uint64_t id = first + static_cast<std::uint64_t>(i);
            RequestArrived arrived = bench.arrival(id, openPath);
            arrived.affinityKey = std::to_string(i);
            bench.reduce(arrived);
            const auto targets = targetsOf(bench.takeSent());
            used.insert(targets.begin(), targets.end());
            bench.answer(id, 200);
            bench.advance(Duration::millis(5));
        }
        bench.takeEnded();
        return used;
    }
};

TEST(Reducer, RefusesRequestsUntilAConfigurationIsKnown)
{
    bench.begin(nullptr, sampleTargets(3));
    bench.request(1);
    bench.advance(Duration::millis(510));
    const auto ended = bench.takeEnded();
    CHECK_EQUAL(1U, ended.size());
    CHECK_EQUAL(503, ended[0].status);
    CHECK(ended[0].retryAfter > Duration());
    CHECK(!bench.reducer().isReady());
}

TEST(Reducer, ServesRequestsThatArrivedJustBeforeItWasReady)
{
    bench.begin(nullptr, sampleTargets(3));
    bench.request(1);
    bench.request(2);
    bench.reduce(CallerDisconnected { RequestId(2) });
    bench.advance(Duration::millis(300));
    bench.putConfig(sampleConfig());
    const auto sent = bench.takeSent();
    CHECK_EQUAL(1U, sent.size());
    CHECK(sent[0].request == RequestId(1));
    bench.answer(1, 200);
    CHECK(bench.takeEnded().back().isForwarded);
}

TEST(Reducer, RetriesOrEndsEachRequestAccordingToItsAttempt)
{
    for (const AttemptEndCase &one : attemptEndCases) {
        for (const bool isSafe : { true, false }) {
            GatewayBench world;
            world.begin(sampleConfig(), sampleTargets(6));
            world.request(1, isSafe ? readPath : swapPath);
            CHECK_EQUAL_TEXT(1U, world.takeSent().size(), one.name);
            world.end(1, one.outcome, one.status, one.saysNotRun);
            const bool isRepeated = isSafe ? one.repeatedIfSafe : one.repeatedIfUnsafe;
            CHECK_EQUAL_TEXT(isRepeated ? 1U : 0U, world.takeSent().size(), one.name);
            if (isRepeated)
                world.end(1, one.outcome, one.status, one.saysNotRun);
            world.advance(Duration::seconds(3));
            const auto ended = world.takeEnded();
            CHECK_EQUAL_TEXT(1U, ended.size(), one.name);
            if (one.hasRun)
                CHECK_TEXT(!promisesNotRun(ended[0].status), one.name);
        }
    }
}

TEST(Reducer, NeverRetriesANonIdempotentRequestThatMayHaveRun)
{
    bench.begin(sampleConfig(), sampleTargets(6));
    bench.request(1, swapPath);
    bench.takeSent();
    bench.end(1, AttemptOutcome::Answered, 503, true);
    CHECK_EQUAL(1U, bench.takeSent().size());
    bench.end(1, AttemptOutcome::Cut);
    bench.advance(Duration::seconds(4));
    CHECK_EQUAL(0U, bench.takeSent().size());
    const auto ended = bench.takeEnded();
    CHECK_EQUAL(1U, ended.size());
    CHECK_EQUAL(502, ended[0].status);
}

TEST(Reducer, SendsOneRequestToNoMoreTargetsThanItsRouteAllows)
{
    bench.begin(sampleConfig(), sampleTargets(6));
    bench.request(1);
    for (int i = 0; i < 5; ++i)
        bench.end(1, AttemptOutcome::Cut);
    CHECK_EQUAL(2U, bench.takeSent().size());
}

TEST(Reducer, RefusesAtTheRoutesTimeoutAndCancelsTheAttempt)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.request(1);
    bench.takeSent();
    bench.advance(Duration::millis(1999));
    CHECK_EQUAL(0U, bench.takeEnded().size());
    bench.advance(Duration::millis(2));
    const auto ended = bench.takeEnded();
    CHECK_EQUAL(1U, ended.size());
    CHECK_EQUAL(504, ended[0].status);
    CHECK_EQUAL(1U, bench.takeCancelled().size());
}

TEST(Reducer, CancelsTheAttemptOfADisconnectedCaller)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.request(1);
    bench.reduce(CallerDisconnected { RequestId(1) });
    CHECK_EQUAL(1U, bench.takeCancelled().size());
    bench.end(1, AttemptOutcome::Answered, 200);
    const auto ended = bench.takeEnded();
    CHECK_EQUAL(1U, ended.size());
    CHECK(!ended[0].isForwarded);
}

TEST(Reducer, UsesRoutesAndKeysOfTheNewestConfigurationOnly)
{
    bench.begin(sampleConfig(5), sampleTargets(3));
    auto without = sampleConfig(9);
    without->hosts[0].rules.erase(without->hosts[0].rules.begin() + 2); // "/swap/"
    without->teams[0].keys = { "another" };
    auto fresh = std::make_shared<TrafficConfig>();
    fresh->version = without->version;
    fresh->hosts = without->hosts;
    fresh->services = without->services;
    fresh->teams = without->teams;
    fresh->index();
    bench.putConfig(fresh);
    bench.request(1, swapPath);
    bench.request(2, readPath);
    auto ended = bench.takeEnded();
    CHECK_EQUAL(404, ended[0].status);
    CHECK_EQUAL(401, ended[1].status);
    bench.putConfig(sampleConfig(7)); // an older one that arrives late
    bench.request(3, readPath);
    ended = bench.takeEnded();
    CHECK_EQUAL(1U, ended.size());
    CHECK_EQUAL(401, ended[0].status);
}

TEST(Reducer, SendsNothingToADrainingTarget)
{
    const auto targets = sampleTargets(3);
    bench.begin(sampleConfig(), targets);
    Target draining = targets[0];
    draining.isDraining = true;
    bench.putTarget(draining);
    CHECK_EQUAL(0U, targetsInUse(60, 100).count("t0"));
}

TEST(Reducer, SendsNothingToAnEvacuatedDomain)
{
    bench.begin(sampleConfig(), sampleTargets(6));
    bench.setEvacuated("near-1", true);
    const auto used = targetsInUse(60, 100);
    CHECK_EQUAL(0U, used.count("t0"));
    CHECK_EQUAL(0U, used.count("t3"));
    bench.setEvacuated("near-1", false);
    bench.advance(Duration::seconds(4)); // they are considered cold first
    CHECK(targetsInUse(60, 300).count("t0") > 0);
}

// Guards against losing live targets, or using dead ones for too long, after an outage of
// the store: a target whose entry lapsed meanwhile is used until the end of the grace period
// for registering again, and no longer.
TEST(Reducer, UsesALapsedTargetExactlyUntilTheGracePeriodEnds)
{
    bench.begin(sampleConfig(), sampleTargets(2));
    bench.setStoreDown(true);
    bench.advance(Duration::seconds(5));
    bench.removeTarget(TargetId("t0"));
    bench.setStoreDown(false);
    Instant regained = Instant::never();
    for (int i = 0; i < 100 && regained == Instant::never(); ++i) {
        bench.advance(Duration::millis(10));
        for (const core::LogRecord &record : bench.logs()) {
            if (record.event.number == core::log::storeRegained.number)
                regained = bench.now();
        }
    }
    CHECK(regained != Instant::never());
    bench.advance(Duration::millis(200)); // the targets have been listed
    CHECK(targetsInUse(40, 100).count("t0") > 0);
    bench.advance(regained + Duration::millis(2210) - bench.now());
    CHECK_EQUAL(0U, targetsInUse(40, 300).count("t0"));
}

TEST(Reducer, KeepsALapsedTargetThatRegistersAgain)
{
    const auto targets = sampleTargets(2);
    bench.begin(sampleConfig(), targets);
    bench.setStoreDown(true);
    bench.advance(Duration::seconds(5));
    bench.removeTarget(TargetId("t0"));
    bench.setStoreDown(false);
    bench.advance(Duration::millis(1200));
    bench.putTarget(targets[0]);
    bench.advance(Duration::seconds(5));
    CHECK(targetsInUse(40, 100).count("t0") > 0);
}

TEST(Reducer, ServesFromItsLastKnownStateWhileTheStoreIsDown)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.setStoreDown(true);
    bench.advance(Duration::seconds(600));
    bench.request(1);
    CHECK_EQUAL(1U, bench.takeSent().size());
    CHECK(bench.reducer().isReady());
}

TEST(Reducer, ProbesALostStoreWithOneCallAtATimeAndDetectsItsReturnWithinASecond)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.setStoreDown(true);
    bench.advance(Duration::seconds(2));
    const int before = bench.storeCalls();
    bench.advance(Duration::seconds(10));
    const int calls = bench.storeCalls() - before;
    CHECK(calls <= 70); // one at a time, each 10 ms and a pause of at least 150 ms
    bench.setStoreDown(false);
    bench.putConfig(sampleConfig(50));
    bench.advance(Duration::millis(800));
    CHECK_EQUAL(50U, bench.reducer().readings(bench.now()).configVersion);
}

TEST(Reducer, LimitsATeamToItsRateAndRefusesTheRestWithRetryAfter)
{
    bench.begin(sampleConfig(), sampleTargets(200));
    int sent = 0;
    int refused = 0;
    for (int i = 0; i < 3000; ++i) { // 600 a second for 5 s
        bench.request(1000 + static_cast<std::uint64_t>(i), swapPath);
        for (const SendAttempt &attempt : bench.takeSent()) {
            ++sent;
            bench.answer(attempt.request.number(), 200);
        }
        for (const Ended &ended : bench.takeEnded()) {
            if (ended.status != 429)
                continue;
            ++refused;
            CHECK(ended.retryAfter > Duration());
        }
        bench.advance(Duration::micros(1667));
    }
    const FleetBounds bounds;
    const double most = (100 * 5 + 100) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    CHECK(sent <= most);
    CHECK(sent >= 100 * 5 + 100 - 10);
    CHECK_EQUAL(3000, sent + refused);
}

// Guards against a new VM that admits more than its share of a limit, also of requests that
// arrived before it knew the other VMs.
TEST(Reducer, AdmitsOnlyItsShareOfALimitFromTheFirstRequest)
{
    std::vector<VmEntry> vms;
    for (int i = 2; i <= 12; ++i)
        vms.push_back(sampleOptions("vm-" + std::to_string(i)).vm);
    bench.begin(sampleConfig(), sampleTargets(200), vms);
    int sent = 0;
    for (std::uint64_t id = 1; id <= 200; ++id)
        bench.request(id, swapPath);
    sent += static_cast<int>(bench.takeSent().size());
    CHECK(sent <= 25); // of a burst of 100 and a rate of 100, after 2 s
    // Nor does it later, without reports of other VMs: seven seconds of the rate and the burst.
    for (std::uint64_t id = 201; id <= 700; ++id) {
        bench.advance(Duration::millis(10));
        bench.request(id, swapPath);
    }
    sent += static_cast<int>(bench.takeSent().size());
    CHECK(sent <= ((100 * 7 + 100) * 1.1 + 20) / 12);
}

TEST(Reducer, ServesForAWhileAfterAStopRequestAndThenExits)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.request(1);
    bench.reduce(StopRequested { Duration::seconds(6) });
    CHECK(!bench.reducer().isReady());
    bench.request(2);
    CHECK_EQUAL(2U, bench.takeSent().size());
    bench.answer(2, 200);
    bench.advance(Duration::millis(1900));
    bench.answer(1, 200);
    bench.takeEnded();
    CHECK(!bench.hasExited());
    bench.advance(Duration::millis(1300));
    CHECK(bench.hasExited());
}

TEST(Reducer, LooksUpOnlyLiveVms)
{
    std::vector<VmEntry> vms;
    for (int i = 2; i <= 5; ++i) {
        VmEntry vm = sampleOptions("vm-" + std::to_string(i)).vm;
        vm.callers = { "10.0.1." + std::to_string(i), 80 };
        vms.push_back(vm);
    }
    bench.begin(sampleConfig(), sampleTargets(3), vms);
    VmReport report;
    report.isReady = true;
    for (int reportAll = 1; reportAll <= 12; ++reportAll) {
        report.sequence = static_cast<std::uint64_t>(reportAll);
        for (const VmEntry &vm : vms) {
            if (vm.id != VmId("vm-5") || reportAll <= 6)
                bench.reduce(PeerReportReceived { vm.id, vm.incarnation, report });
        }
        bench.advance(Duration::millis(500));
    }
    const auto addresses =
        bench.reducer().addressesFor(RegionId("near"), FailureDomainId("near-1"), bench.now());
    CHECK_EQUAL(4U, addresses.size()); // itself, vm-2, vm-3, vm-4
    for (const Endpoint &address : addresses)
        CHECK(address.address != "10.0.1.5");
}

namespace {

// A VM of a fleet in which two other VMs read the store for it.
class Follower
{
public:
    Follower()
    {
        std::vector<VmEntry> vms;
        for (int i = 2; i <= 30; ++i) {
            vms.push_back(sampleOptions("vm-" + std::to_string(i)).vm);
            vms.back().callers = { "10.0.1." + std::to_string(i), 80 };
        }
        peers_ = vms;
        bench_.begin(sampleConfig(), sampleTargets(3), vms);
        reportAll(4);
    }

    // All VMs report, the readers with the revision of the last change of targets.
    void reportAll(int times)
    {
        for (; times > 0; --times) {
            VmReport report;
            report.sequence = ++sequence_;
            report.isReady = true;
            for (const VmEntry &vm : peers_) {
                report.readsStore = vm.id == VmId("vm-2") || vm.id == VmId("vm-3");
                report.registryRevisions = { 0, targetsRevision_, 0 };
                bench_.reduce(PeerReportReceived { vm.id, vm.incarnation, report });
            }
            bench_.advance(Duration::millis(250));
        }
    }

    // A reader sends a new target, or announces only its revision.
    void join(const std::string &id, std::uint64_t revision, std::uint64_t after, bool hasUpdate)
    {
        targetsRevision_ = revision;
        if (!hasUpdate)
            return;
        core::TargetChange change;
        change.name = id;
        change.revision = Revision(revision);
        change.target = sampleTargets(1)[0];
        change.target.id = TargetId(id);
        TargetUpdate update { Revision(after), Revision(revision), { change } };
        bench_.reduce(PeerTargetUpdateReceived { VmId("vm-2"), update });
    }

    GatewayBench bench_ { sampleOptions() };

private:
    std::vector<VmEntry> peers_;
    std::uint64_t sequence_ = 0;
    std::uint64_t targetsRevision_ = 0;
};

constexpr std::uint64_t knownRevision = 1000; // beyond the bench's own

} // namespace

TEST(Reducer, AFollowerAppliesReceivedChangesWithoutAStoreCall)
{
    Follower follower;
    follower.reportAll(4);
    const int calls = follower.bench_.storeCalls();
    const std::size_t targets = follower.bench_.reducer().readings(follower.bench_.now()).targets;
    follower.join("told", knownRevision, 1, true);
    follower.join("told-next", knownRevision + 5, knownRevision, true);
    follower.reportAll(3);
    CHECK_EQUAL(targets + 2, follower.bench_.reducer().readings(follower.bench_.now()).targets);
    CHECK_EQUAL(calls, follower.bench_.storeCalls());
}

TEST(Reducer, AFollowerCallsTheStoreForChangesItDidNotReceive)
{
    for (const bool hasUpdate : { false, true }) {
        Follower follower;
        follower.reportAll(4);
        const int calls = follower.bench_.storeCalls();
        // It receives changes after a revision that it has not reached, or none.
        follower.join("missed", knownRevision + 5, knownRevision, hasUpdate);
        follower.reportAll(3);
        CHECK(follower.bench_.storeCalls() > calls);
    }
}

// Guards against a slow start of a fleet: VMs that start together must find each other by
// their lists within a second or two.
TEST(Reducer, ListsVmsMoreOftenWhileNewOnesAppear)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    const auto known = [&] { return bench.reducer().readings(bench.now()).vms; };
    for (std::size_t i = 2; i <= 5; ++i) {
        bench.putVm(sampleOptions("vm-" + std::to_string(i)).vm);
        // The first is found by a list that was already scheduled.
        const Duration most =
            i == 2 ? StoreLink::pollInterval : StoreLink::pollIntervalWhileGrowing;
        Duration waited;
        for (; known() < i && waited <= most; waited = waited + Duration::millis(10))
            bench.advance(Duration::millis(10));
        CHECK_EQUAL(i, known());
    }
}

// Guards against a scan of the queues for each entry of a batch: it stalls a small VM when many
// targets change at once, and may send a request to a target that left in the same batch.
TEST(Reducer, TriesQueuedRequestsOnceAllEntriesOfABatchAreApplied)
{
    bench.begin(sampleConfig(), sampleTargets(1));
    const Target brief = sampleTargets(2)[1];
    bench.putTarget(sampleTargets(1)[0]); // ends the watch: the next changes come together
    bench.putTarget(brief);
    bench.removeTarget(brief.id);
    bench.advance(StoreLink::changeBatchTime - Duration::millis(50));
    std::uint64_t id = 1;
    do
        bench.request(id++);
    while (!bench.takeSent().empty());
    bench.advance(Duration::millis(60));
    CHECK_EQUAL(0U, targetsOf(bench.takeSent()).count(brief.id.text()));
}

// Pattern: sustained overload of a service. A request that can't expect its turn in the queue is
// told at once when to come back, so that those ahead of it wait less; a more urgent one still
// waits.
TEST(Reducer, RefusesAtOnceWhatCannotExpectItsTurnUnderOverload)
{
    bench.begin(sampleConfig(), sampleTargets(1));
    std::uint64_t id = 0;
    do
        bench.request(++id);
    while (!bench.takeSent().empty());
    bench.takeEnded();
    constexpr std::size_t more = 20;
    for (std::size_t i = 0; i < more; ++i)
        bench.request(++id);
    const std::vector<Ended> refused = bench.takeEnded();
    CHECK(refused.size() >= more - Dispatcher::minQueue);
    for (const Ended &one : refused) {
        CHECK_EQUAL(503, one.status);
        CHECK(one.retryAfter > Duration());
    }
    bench.request(++id, swapPath);
    CHECK_EQUAL(0U, bench.takeEnded().size());
    bench.answer(1, 200);
    const auto sent = bench.takeSent();
    CHECK_EQUAL(1U, sent.size());
    CHECK(sent[0].request == RequestId(id));
}

// Guards against a belief about a target's load that nothing compares with the target's own report.
TEST(Reducer, LogsTheExpectedLoadOfATargetBesideTheReportedOne)
{
    bench.begin(sampleConfig(), sampleTargets(2));
    bench.request(1);
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::Answered;
    ended.status = 200;
    ended.isAuthentic = true;
    ended.load = LoadReport { 2, 3, 2, std::nullopt };
    bench.finish(1, ended);
    const std::map<std::string, std::string> expected = { { "expectedLoad", "0.00" },
                                                          { "reportedLoad", "2.50" },
                                                          { "expectedWarmth", "no-object" },
                                                          { "foundWarmth", "unknown" } };
    std::map<std::string, std::string> logged;
    for (const core::LogRecord &record : bench.logs()) {
        if (record.event.number != core::log::requestAnswered.number)
            continue;
        for (const core::LogField &field : record.fields) {
            if (expected.count(field.name) > 0)
                logged[field.name] = field.value;
        }
    }
    CHECK(logged == expected);
}
