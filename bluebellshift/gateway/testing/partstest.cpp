// Tests of the reducer's components, where possible against a simpler reference computation.
#include "bluebellshift/gateway/hashing.h"
#include "bluebellshift/gateway/regionflow.h"
#include "bluebellshift/gateway/retrybudget.h"
#include "bluebellshift/gateway/servicesplit.h"
#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/teamquotas.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <cmath>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

const Instant begin = Instant::fromMicros(5'000'000'000);

struct NoFaults
{
    regions::FaultWatch faults { { [](Instant) { return 0.0; }, [](const core::LogRecord &) {} } };
};

class SamplePool : private NoFaults, public TargetPool
{
public:
    explicit SamplePool(const GatewayOptions &options, std::size_t vmsInRegion = 1,
                        double regionShare = 0.5)
        : TargetPool(options, faults,
                     { [](std::uint32_t, Instant) { return 0; }, [](Instant) { return Duration(); },
                       [](std::uint64_t, Instant) { return ColdSenderRank(); },
                       [](TargetHash, const RegionId &, Instant) { return SenderRank(); },
                       [vmsInRegion](Instant) { return vmsInRegion; },
                       [own = options.vm.region, regionShare] {
                           const RegionId other(own == RegionId("near") ? "far" : "near");
                           return std::map<RegionId, double> { { own, regionShare },
                                                               { other, 1 - regionShare } };
                       },
                       [](Instant) { return std::vector<double>(); },
                       [](Instant) { return std::map<RegionId, double>(); },
                       [](const core::LogRecord &) {} })
    {
        setConfig(sampleConfig());
    }
};

TargetCriteria criteriaFor(std::uint64_t object)
{
    TargetCriteria criteria;
    criteria.service = ServiceId("s");
    criteria.route = "read";
    criteria.object = object;
    criteria.foundFreeSlot = true;
    return criteria;
}

AttemptEnded success()
{
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::Answered;
    ended.status = 200;
    return ended;
}

} // namespace

TEST_GROUP(GatewayParts) {};

TEST(GatewayParts, FindsTheRouteWithTheLongestPrefix)
{
    auto config = sampleConfig();
    RouteRule longer = config->hosts[0].rules[1];
    longer.name = "longer";
    longer.pathPrefix = "/read/deep/";
    config->hosts[0].rules.push_back(longer);
    config->index();
    STRCMP_EQUAL("longer", config->findRoute(sampleHost, "/read/deep/x")->name.c_str());
    STRCMP_EQUAL("read", config->findRoute("HOST.example:80", "/read/deep")->name.c_str());
    CHECK(config->findRoute(sampleHost, "/rea") == nullptr);
    CHECK(config->findRoute("other.example", "/read/x") == nullptr);
}

TEST(GatewayParts, ServiceSplitFollowsTheWeightsToWithinOneRequest)
{
    RouteRule route;
    route.name = "r";
    route.services = { { ServiceId("a"), 90 }, { ServiceId("b"), 7 }, { ServiceId("c"), 3 } };
    ServiceSplit split;
    std::map<std::string, int> counts;
    for (int n = 1; n <= 1000; ++n) {
        ++counts[split.next(route).text()];
        for (const WeightedService &part : route.services)
            CHECK(std::abs(counts[part.service.text()] - part.weight * n / 100) < 1.5);
    }
}

// Guards against a Retry-After and a choice of targets that count on room which a limit takes away.
TEST(GatewayParts, ALimitedTargetCountsAsTheSlotsThatItsRequestsNeed)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options);
    Target target = sampleTargets(1)[0];
    target.slots = 8;
    pool.put(target, begin);
    CHECK_EQUAL(8, pool.usableSlots(target.service, begin));
    AttemptEnded ended = success();
    ended.isAuthentic = true;
    ended.limitPerSecond = 4;
    pool.onSent(target.id, criteriaFor(0), begin);
    pool.onEnded(target.id, criteriaFor(0), ended, Duration::millis(500), begin);
    CHECK_EQUAL(2, pool.usableSlots(target.service, begin));
    ended.limitPerSecond.reset();
    pool.onSent(target.id, criteriaFor(0), begin);
    pool.onEnded(target.id, criteriaFor(0), ended, Duration::millis(500), begin);
    CHECK_EQUAL(8, pool.usableSlots(target.service, begin));
}

// Guards against targets without a limit that are overloaded because the load of the other VMs is
// taken to be spread over the limited ones too.
TEST(GatewayParts, TheOthersAreExpectedAtTargetsWithoutALimit)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options, 5);
    std::vector<Target> targets;
    for (int i = 0; i < 6; ++i) {
        targets.push_back(sampleTargets(6)[static_cast<std::size_t>(i)]);
        targets.back().failureDomain = FailureDomainId("near-1");
        targets.back().slots = 8;
        pool.put(targets.back(), begin);
    }
    AttemptEnded limited = success();
    limited.limitPerSecond = 0;
    for (int i = 2; i < 6; ++i) {
        pool.onSent(targets[static_cast<std::size_t>(i)].id, criteriaFor(0), begin);
        pool.onEnded(targets[static_cast<std::size_t>(i)].id, criteriaFor(0), limited, Duration(),
                     begin);
    }
    pool.onSent(targets[0].id, criteriaFor(0), begin);
    pool.onSent(targets[1].id, criteriaFor(0), begin);
    TargetSelection selection;
    for (int tick = 10; tick < 60; ++tick) // until the smoothed load has settled
        selection = pool.select(criteriaFor(0), 7, begin + Duration::millis(100 * tick));
    CHECK(selection.target != nullptr);
    CHECK_EQUAL(1, selection.ownInFlight);
    CHECK(selection.othersInFlight >= 3); // four VMs with one request at each, less rounding
}

// Guards against VMs that together exceed the retry bound: random requests and retries of
// 12 VMs, checked for every sliding window.
TEST(GatewayParts, RetriesOfAllVmsStayWithinTheBound)
{
    const FleetBounds bounds;
    constexpr std::size_t vms = 12;
    std::vector<RetryBudget> budgets(vms, RetryBudget(bounds, begin));
    std::mt19937 random(7);
    std::vector<int> requests;
    std::vector<int> retries;
    for (int tick = 0; tick < 600; ++tick) { // of 100 ms
        int asked = 0;
        int taken = 0;
        const int rate = tick % 200 < 100 ? 10 : 1;
        for (RetryBudget &budget : budgets) {
            const Instant now = begin + Duration::millis(100 * tick + random() % 100);
            for (int i = 0; i < rate; ++i) {
                budget.recordRequest(now);
                ++asked;
            }
            for (int i = 0; i < 20; ++i)
                taken += budget.take(vms, now) ? 1 : 0;
        }
        requests.push_back(asked);
        retries.push_back(taken);
    }
    for (std::size_t end = 200; end <= requests.size(); ++end) {
        const auto sum = [](const std::vector<int> &counts, std::size_t from, std::size_t to) {
            int total = 0;
            for (std::size_t i = from; i < to; ++i)
                total += counts[i];
            return total;
        };
        // The users' bound uses the requests of this window, the previous one or the one halfway
        // between, whichever has the most.
        const int asked =
            std::max({ sum(requests, end - 100, end), sum(requests, end - 150, end - 50),
                       sum(requests, end - 200, end - 100) });
        CHECK(sum(retries, end - 100, end) <= bounds.retryRatio * asked + bounds.retrySlack);
    }
}

// Guards against VMs that are killed and forget the retries that they spent: two or three runs of
// each within one window.
TEST(GatewayParts, RetriesOfVmsThatAreKilledAndStartAgainStayWithinTheBound)
{
    const FleetBounds bounds;
    constexpr std::size_t vms = 12;
    for (const int killCount : { 1, 2 }) {
        int asked = 0;
        int taken = 0;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            // An hour before the window.
            RetryBudget budget(bounds, begin - Duration::seconds(3600));
            for (int tick = 0; tick < 100; ++tick) { // of 100 ms
                const Instant now = begin + Duration::millis(100 * tick);
                if (tick > 0 && tick % 30 == 0 && tick / 30 <= killCount)
                    budget = RetryBudget(bounds, now);
                if (tick % 10 == 0) {
                    budget.recordRequest(now);
                    ++asked;
                }
                for (int i = 0; i < 5; ++i)
                    taken += budget.take(vms, now) ? 1 : 0;
            }
        }
        CHECK(taken <= bounds.retryRatio * asked + bounds.retrySlack);
        CHECK(taken >= 0.5 * bounds.retrySlack);
    }
}

// Guards against VMs that together exceed a team's limit when no owner of its account is
// known: random load, checked for every window.
TEST(GatewayParts, EvenSharesOfAllVmsStayWithinTheBound)
{
    const FleetBounds bounds;
    constexpr std::size_t vms = 12;
    std::vector<std::unique_ptr<TeamQuotas>> quotas;
    const auto config = sampleConfig();
    const TeamId team("a");
    std::mt19937 random(11);
    for (std::size_t i = 0; i < vms; ++i) {
        quotas.push_back(std::make_unique<TeamQuotas>(bounds, i));
        quotas.back()->setVmCount(vms, begin);
        quotas.back()->setConfig(*config, begin);
    }
    std::vector<int> admitted;
    for (int tick = 0; tick < 400; ++tick) { // of 100 ms
        const Instant now = begin + Duration::millis(100 * tick);
        int count = 0;
        for (const auto &quota : quotas) {
            for (std::size_t i = random() % 20; i > 0; --i)
                count += quota->take(team, now) ? 1 : 0;
        }
        admitted.push_back(count);
    }
    const double most = (100 * 5 + 100) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    for (std::size_t end = 50; end <= admitted.size(); ++end) {
        int sum = 0;
        for (std::size_t i = end - 50; i < end; ++i)
            sum += admitted[i];
        CHECK(sum <= most);
    }
}

TEST(GatewayParts, RequestsForOneObjectGoToOneTargetWhileItHasRoom)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options);
    for (const Target &target : sampleTargets(30))
        pool.put(target, begin);
    for (std::uint64_t object = 1; object <= 40; ++object)
        pool.onSent(TargetId("t0"), criteriaFor(mixHashes(object, 99)), begin);
    std::map<std::uint64_t, std::string> homes;
    for (int round = 0; round < 5; ++round) {
        for (std::uint64_t object = 1; object <= 40; ++object) {
            const Instant now = begin + Duration::seconds(1 + round);
            const TargetCriteria criteria = criteriaFor(mixHashes(object, 99));
            const TargetSelection selection = pool.select(criteria, object * 31 + round, now);
            CHECK(selection.target != nullptr);
            const std::string id = selection.target->id.text();
            CHECK(homes.emplace(object, id).first->second == id);
            CHECK(selection.warmth > 0);
        }
    }
}

TEST(GatewayParts, TwoVmsOfARegionPreferTheSameTargets)
{
    const GatewayOptions first = sampleOptions("vm-1");
    GatewayOptions second = sampleOptions("vm-2");
    second.vm.failureDomain = FailureDomainId("near-2");
    SamplePool a(first);
    SamplePool b(second);
    for (const Target &target : sampleTargets(30)) {
        a.put(target, begin);
        b.put(target, begin);
    }
    int same = 0;
    for (std::uint64_t object = 1; object <= 200; ++object) {
        const TargetCriteria criteria = criteriaFor(mixHashes(object, 5));
        for (TargetPool *pool : { &a, &b })
            pool->onSent(TargetId("t29"), criteria, begin);
    }
    for (std::uint64_t object = 1; object <= 200; ++object) {
        const TargetCriteria criteria = criteriaFor(mixHashes(object, 5));
        const Instant now = begin + Duration::seconds(20);
        same += a.select(criteria, object, now).target == nullptr ? 0
            : a.select(criteria, object, now).target->id
                == b.select(criteria, object + 7, now).target->id
            ? 1
            : 0;
    }
    CHECK(same >= 190);
}

// Guards against overloading the near region: 29 VMs that behave alike fill it long before
// one VM's own requests show that. The requests name their regions, so that ShareLimit, which has
// tests of its own, does not hold them back.
TEST(GatewayParts, AVmAssumesThatTheOthersOfItsRegionBehaveAlike)
{
    const GatewayOptions options = sampleOptions();
    const std::vector<RegionId> regions { RegionId("near"), RegionId("far") };
    TargetCriteria criteria = criteriaFor(0);
    criteria.routeRegions = &regions;
    for (const std::size_t vms : { std::size_t { 1 }, std::size_t { 29 } }) {
        SamplePool pool(options, vms);
        for (const Target &target : sampleTargets(30)) // 20 of them near, with two slots each
            pool.put(target, begin);
        int far = 0;
        for (int i = 0; i < 12; ++i) { // a request every 100 ms, none of which ends
            const Instant now = begin + Duration::millis(100 * i);
            const TargetSelection selection = pool.select(criteria, i, now);
            far += selection.target->failureDomain == FailureDomainId("far-1") ? 1 : 0;
            pool.onSent(selection.target->id, criteria, now);
        }
        CHECK(vms == 1 ? far == 0 : far >= 3);
    }
}

// Guards against a sudden shift at the start: a region with a sixth of the slots gets most
// of the requests and must not serve all of them first and then send many away.
TEST(GatewayParts, ASmallRegionSendsAShareToOthersFromTheFirstSecond)
{
    GatewayOptions options = sampleOptions();
    options.vm.failureDomain = FailureDomainId("far-1");
    options.vm.region = RegionId("far");
    SamplePool pool(options, 10, 0.8);
    std::vector<Target> targets = sampleTargets(120); // a third of them far
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (i % 6 != 2) // moves half of the far ones
            targets[i].failureDomain = FailureDomainId(i % 2 == 0 ? "near-1" : "near-2");
        pool.put(targets[i], begin);
    }
    std::vector<int> atHome(4); // in each half second
    for (int i = 0; i < 80; ++i) {
        const Instant now = begin + Duration::millis(25 * i);
        const TargetSelection selection = pool.select(criteriaFor(0), i, now);
        const bool isHome = selection.target->failureDomain == options.vm.failureDomain;
        atHome[static_cast<std::size_t>(i / 20)] += isHome ? 1 : 0;
        pool.onSent(selection.target->id, criteriaFor(0), now);
        AttemptEnded ended = success();
        pool.onEnded(selection.target->id, criteriaFor(0), ended, Duration(), now);
    }
    for (const int count : atHome) {
        CHECK(count >= 4);
        CHECK(count <= 14); // of 20
    }
}

// Uploads: a body takes one round trip for each window of bytes, so that a free target in
// another region is slower for it than a full one nearby.
TEST(GatewayParts, ALargeBodyStaysNearItsCaller)
{
    const GatewayOptions options = sampleOptions();
    for (const std::size_t bodyBytes : { std::size_t { 400 }, std::size_t { 60'000 } }) {
        SamplePool pool(options);
        std::vector<Target> targets = sampleTargets(3);
        pool.put(targets[0], begin); // near-1
        pool.put(targets[2], begin); // far-1
        TargetCriteria criteria = criteriaFor(0);
        criteria.bodyBytes = bodyBytes;
        for (int i = 0; i < targets[0].slots; ++i)
            pool.onSent(targets[0].id, criteria, begin);
        const TargetId &expected = bodyBytes < 1000 ? targets[2].id : targets[0].id;
        CHECK(pool.select(criteria, 1, begin).target->id == expected);
    }
}

TEST(GatewayParts, AColdTargetGetsAtMostItsBoundFromTheVmsThatMaySend)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options);
    Target cold = sampleTargets(1)[0];
    cold.slots = 1000;
    cold.warmupLeft = Duration::seconds(3);
    pool.put(cold, begin);
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        const Instant now = begin + Duration::millis(i);
        const TargetSelection selection = pool.select(criteriaFor(0), i, now);
        if (selection.target == nullptr)
            continue;
        pool.onSent(selection.target->id, criteriaFor(0), now);
        ++sent;
    }
    const double bound = 4 * options.bounds.coldRateFactor + options.bounds.coldSlack;
    CHECK(sent > 0);
    CHECK(sent * targets::ColdSenders::maxSenders <= bound);
}

TEST(GatewayParts, ARestartedTargetLosesItsEarlierState)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options);
    Target target = sampleTargets(1)[0];
    target.startUnixMillis = 1;
    pool.put(target, begin);
    pool.onSent(target.id, criteriaFor(0), begin);
    CHECK_EQUAL(1, pool.uses()[0].inFlight);
    target.startUnixMillis = 2;
    pool.put(target, begin);
    CHECK_EQUAL(0U, pool.uses().size());
}

TEST(GatewayParts, AnUnreachableTargetIsEjectedForAWhile)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options);
    pool.put(sampleTargets(1)[0], begin);
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::ConnectFailed;
    pool.onSent(TargetId("t0"), criteriaFor(0), begin);
    pool.onEnded(TargetId("t0"), criteriaFor(0), ended, Duration(), begin);
    CHECK(pool.select(criteriaFor(0), 1, begin + Duration::millis(100)).target == nullptr);
    CHECK(pool.select(criteriaFor(0), 1, begin + Duration::millis(600)).target != nullptr);
}

TEST(GatewayParts, LearnsTheServiceTimeFromWarmAndColdResponses)
{
    const GatewayOptions options = sampleOptions();
    SamplePool pool(options);
    pool.put(sampleTargets(1)[0], begin);
    std::mt19937 random(3);
    for (int i = 0; i < 400; ++i) {
        const bool isWarm = i % 4 != 0;
        const double spread = 0.9 + 0.2 * (random() % 1000) / 1000.0;
        const auto took = static_cast<std::int64_t>((isWarm ? 192 : 640) * spread);
        const TargetCriteria criteria = criteriaFor(1);
        const Instant now = begin + Duration::millis(700 * i);
        pool.onSent(TargetId("t0"), criteria, now);
        pool.onEnded(TargetId("t0"), criteria, success(), Duration::millis(took), now);
    }
    const double usual = pool.expectedServiceTime("read").toSeconds() * 1000;
    CHECK(usual > 540);
    CHECK(usual < 760);
}

TEST(GatewayParts, EstimatesTheNumberOfObjectsFromFewRequests)
{
    std::mt19937 random(17);
    for (const std::size_t all : { 40, 340, 700 }) {
        for (const std::size_t requests : { std::size_t { 120 }, std::size_t { 700 } }) {
            double sum = 0; // one VM may deviate by a third, the mean must not
            for (int vm = 0; vm < 40; ++vm) {
                ObjectCount objects;
                for (std::size_t i = 0; i < requests; ++i)
                    objects.record(random() % all + 1, begin + Duration::millis(10 * i));
                sum += std::log(objects.estimate());
            }
            const double mean = std::exp(sum / 40);
            CHECK(mean > 0.7 * static_cast<double>(all));
            CHECK(mean < 1.4 * static_cast<double>(all));
        }
    }
}

TEST(GatewayParts, RegionFlowPenalizesOnlyBeyondItsTolerance)
{
    RegionFlow flow;
    const RegionId near("near");
    const RegionId far("far");
    // Equal windows give no penalty.
    for (int i = 0; i < 400; ++i)
        flow.record(i % 4 == 0 ? far : near, begin + Duration::millis(10 * i));
    const Instant now = begin + Duration::millis(4000);
    DOUBLES_EQUAL(0, flow.penaltyMs(far, now), 1);
    // A sudden shift to the far region gives a penalty there and a bonus near.
    for (int i = 0; i < 200; ++i)
        flow.record(far, now + Duration::millis(5 * i));
    const Instant later = now + Duration::millis(1000);
    CHECK(flow.penaltyMs(far, later) > 50);
    CHECK(flow.penaltyMs(near, later) < -50);
}
