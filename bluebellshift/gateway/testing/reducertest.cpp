// The gateway's promises, each driven through the whole reducer.
#include "bluebellshift/gateway/storelink.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// How an attempt ends, and what may follow of it.
struct EndCase
{
    const char *name;
    AttemptOutcome outcome;
    int status;
    bool saysNotRun;
    bool hasRun; // as far as the gateway can know, it may have
    bool repeatedIfSafe;
    bool repeatedIfUnsafe;
};

const EndCase endCases[] = {
    { "connect failed", AttemptOutcome::ConnectFailed, 0, false, false, true, true },
    { "shed", AttemptOutcome::Answered, 503, true, false, true, true },
    { "another target", AttemptOutcome::Answered, 421, true, false, true, true },
    { "cut", AttemptOutcome::Cut, 0, false, true, true, false },
    { "malformed", AttemptOutcome::Malformed, 0, false, true, true, false },
    { "own error", AttemptOutcome::Answered, 500, false, true, true, false },
    { "503 that promises nothing", AttemptOutcome::Answered, 503, false, true, true, false },
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

    // Sends `count` requests that are answered at once and returns the targets used.
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

TEST(Reducer, AnswersNothingBeforeItKnowsAConfiguration)
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

TEST(Reducer, ServesWhatArrivedJustBeforeItKnewEnough)
{
    bench.begin(nullptr, sampleTargets(3));
    bench.request(1);
    bench.request(2);
    bench.reduce(CallerGone { RequestId(2) });
    bench.advance(Duration::millis(300));
    bench.putConfig(sampleConfig());
    const auto sent = bench.takeSent();
    CHECK_EQUAL(1U, sent.size());
    CHECK(sent[0].request == RequestId(1));
    bench.answer(1, 200);
    CHECK(bench.takeEnded().back().isPassed);
}

TEST(Reducer, EndsEveryAttemptAsTheTableSays)
{
    for (const EndCase &one : endCases) {
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
                CHECK_TEXT(!isPromise(ended[0].status), one.name);
        }
    }
}

TEST(Reducer, NeverRepeatsARequestThatMayHaveRunWhateverComesAfter)
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

TEST(Reducer, AnswersAtTheRoutesTimeoutAndFreesTheTarget)
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

TEST(Reducer, CancelsTheAttemptOfACallerThatLeft)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.request(1);
    bench.reduce(CallerGone { RequestId(1) });
    CHECK_EQUAL(1U, bench.takeCancelled().size());
    bench.end(1, AttemptOutcome::Answered, 200);
    const auto ended = bench.takeEnded();
    CHECK_EQUAL(1U, ended.size());
    CHECK(!ended[0].isPassed);
}

TEST(Reducer, KnowsRoutesAndKeysOfTheNewestConfigurationOnly)
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

TEST(Reducer, SendsNothingToATargetThatDrains)
{
    const auto targets = sampleTargets(3);
    bench.begin(sampleConfig(), targets);
    Target draining = targets[0];
    draining.isDraining = true;
    bench.putTarget(draining);
    CHECK_EQUAL(0U, targetsInUse(60, 100).count("t0"));
}

TEST(Reducer, SendsNothingIntoAnEvacuatedDomain)
{
    bench.begin(sampleConfig(), sampleTargets(6));
    bench.setEvacuated("near-1", true);
    const auto used = targetsInUse(60, 100);
    CHECK_EQUAL(0U, used.count("t0"));
    CHECK_EQUAL(0U, used.count("t3"));
    bench.setEvacuated("near-1", false);
    bench.advance(Duration::seconds(4)); // they count as cold first
    CHECK(targetsInUse(60, 300).count("t0") > 0);
}

// A target whose entry lapsed while the store was away is used until it had its time
// to come back, and not one moment longer.
TEST(Reducer, UsesALapsedTargetExactlyUntilItHadItsTimeToReturn)
{
    bench.begin(sampleConfig(), sampleTargets(2));
    bench.setStoreAway(true);
    bench.advance(Duration::seconds(5));
    bench.removeTarget(TargetId("t0"));
    bench.setStoreAway(false);
    Instant regained = Instant::never();
    for (int i = 0; i < 100 && regained == Instant::never(); ++i) {
        bench.advance(Duration::millis(10));
        for (const core::LogRecord &record : bench.logs()) {
            if (record.event.number == core::log::storeRegained.number)
                regained = bench.now();
        }
    }
    CHECK(regained != Instant::never());
    bench.advance(Duration::millis(200)); // it has been listed
    CHECK(targetsInUse(40, 100).count("t0") > 0);
    bench.advance(regained + Duration::millis(2210) - bench.now());
    CHECK_EQUAL(0U, targetsInUse(40, 300).count("t0"));
}

TEST(Reducer, KeepsALapsedTargetThatReturns)
{
    const auto targets = sampleTargets(2);
    bench.begin(sampleConfig(), targets);
    bench.setStoreAway(true);
    bench.advance(Duration::seconds(5));
    bench.removeTarget(TargetId("t0"));
    bench.setStoreAway(false);
    bench.advance(Duration::millis(1200));
    bench.putTarget(targets[0]);
    bench.advance(Duration::seconds(5));
    CHECK(targetsInUse(40, 100).count("t0") > 0);
}

TEST(Reducer, ServesOnWhatItKnowsWhileTheStoreIsAway)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.setStoreAway(true);
    bench.advance(Duration::seconds(600));
    bench.request(1);
    CHECK_EQUAL(1U, bench.takeSent().size());
    CHECK(bench.reducer().isReady());
}

TEST(Reducer, AsksALostStoreOneCallAtATimeAndHearsItsReturnWithinASecond)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.setStoreAway(true);
    bench.advance(Duration::seconds(2));
    const int before = bench.storeCalls();
    bench.advance(Duration::seconds(10));
    const int calls = bench.storeCalls() - before;
    CHECK(calls <= 70); // one at a time, each 10 ms and a pause of 150 ms at least
    bench.setStoreAway(false);
    bench.putConfig(sampleConfig(50));
    bench.advance(Duration::millis(800));
    CHECK_EQUAL(50U, bench.reducer().readings(bench.now()).configVersion);
}

TEST(Reducer, HoldsATeamToItsRateAndRefusesTheRestWithATimeToComeBack)
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

// A VM that starts anew among others takes no more of a limit than its part, also of
// what arrived before it knew them.
TEST(Reducer, TakesOnlyItsPartOfALimitFromTheFirstRequest)
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
    // Nor does it later on, though it hears nobody: of seven seconds and the burst.
    for (std::uint64_t id = 201; id <= 700; ++id) {
        bench.advance(Duration::millis(10));
        bench.request(id, swapPath);
    }
    sent += static_cast<int>(bench.takeSent().size());
    CHECK(sent <= ((100 * 7 + 100) * 1.1 + 20) / 12);
}

TEST(Reducer, StopsByServingThenRefusingThenLeaving)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    bench.request(1);
    bench.reduce(StopAsked { Duration::seconds(6) });
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

TEST(Reducer, LooksUpOnlyVmsThatAreHeard)
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
    for (int beat = 1; beat <= 12; ++beat) {
        report.sequence = static_cast<std::uint64_t>(beat);
        for (const VmEntry &vm : vms) {
            if (vm.id != VmId("vm-5") || beat <= 6)
                bench.reduce(PeerSaid { vm.id, vm.incarnation, report });
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

// A VM of a fleet in which two others read the store for it.
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
        beat(4);
    }

    // Every VM reports, the readers with the revision of the last change of targets.
    void beat(int times)
    {
        for (; times > 0; --times) {
            VmReport report;
            report.sequence = ++sequence_;
            report.isReady = true;
            for (const VmEntry &vm : peers_) {
                report.readsStore = vm.id == VmId("vm-2") || vm.id == VmId("vm-3");
                report.newsRevisions = { 0, news_, 0 };
                bench_.reduce(PeerSaid { vm.id, vm.incarnation, report });
            }
            bench_.advance(Duration::millis(250));
        }
    }

    // A reader tells of a new target, or only that there is one.
    void join(const std::string &id, std::uint64_t revision, std::uint64_t after, bool isTold)
    {
        news_ = revision;
        if (!isTold)
            return;
        core::TargetChange change;
        change.name = id;
        change.revision = Revision(revision);
        change.target = sampleTargets(1)[0];
        change.target.id = TargetId(id);
        TargetUpdate news { Revision(after), Revision(revision), { change } };
        bench_.reduce(PeerTold { VmId("vm-2"), news });
    }

    GatewayBench bench_ { sampleOptions() };

private:
    std::vector<VmEntry> peers_;
    std::uint64_t sequence_ = 0;
    std::uint64_t news_ = 0;
};

constexpr std::uint64_t knownRevision = 1000; // beyond the bench's own

} // namespace

TEST(Reducer, AFollowerTakesWhatItIsToldWithoutACall)
{
    Follower follower;
    follower.beat(4);
    const int calls = follower.bench_.storeCalls();
    const std::size_t targets = follower.bench_.reducer().readings(follower.bench_.now()).targets;
    follower.join("told", knownRevision, 1, true);
    follower.join("told-next", knownRevision + 5, knownRevision, true);
    follower.beat(3);
    CHECK_EQUAL(targets + 2, follower.bench_.reducer().readings(follower.bench_.now()).targets);
    CHECK_EQUAL(calls, follower.bench_.storeCalls());
}

TEST(Reducer, AFollowerAsksTheStoreForWhatItIsNotTold)
{
    for (const bool isTold : { false, true }) {
        Follower follower;
        follower.beat(4);
        const int calls = follower.bench_.storeCalls();
        // Told of changes after a revision that it has not reached, or of nothing.
        follower.join("missed", knownRevision + 5, knownRevision, isTold);
        follower.beat(3);
        CHECK(follower.bench_.storeCalls() > calls);
    }
}

// A fleet that starts together finds itself by its lists within a second or two.
TEST(Reducer, ListsVmsAgainSoonWhileNewOnesAppear)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    const auto known = [&] { return bench.reducer().readings(bench.now()).vms; };
    for (std::size_t i = 2; i <= 5; ++i) {
        bench.putVm(sampleOptions("vm-" + std::to_string(i)).vm);
        // The first is found by a list whose time was set before.
        const Duration most = i == 2 ? StoreLink::pollInterval : StoreLink::pollWhileNew;
        Duration waited;
        for (; known() < i && waited <= most; waited = waited + Duration::millis(10))
            bench.advance(Duration::millis(10));
        CHECK_EQUAL(i, known());
    }
}
