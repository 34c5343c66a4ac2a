// The gateway's parts by themselves, most of them against a slower, plainer version.
#include "bluebellshift/gateway/hashing.h"
#include "bluebellshift/gateway/regionflow.h"
#include "bluebellshift/gateway/repeatallowance.h"
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

TargetPool makePool(const GatewayOptions &options, std::size_t vmsInRegion = 1,
                    double regionPart = 0.5)
{
    TargetPool pool(options,
                    { [](std::uint32_t, Instant) { return 0; },
                      [](std::uint64_t, Instant) { return std::size_t { 0 }; },
                      [vmsInRegion](Instant) { return vmsInRegion; },
                      [regionPart] { return regionPart; }, [](const core::LogRecord &) {} });
    pool.setConfig(sampleConfig());
    return pool;
}

Wish wishFor(std::uint64_t object)
{
    Wish wish;
    wish.service = ServiceId("s");
    wish.route = "read";
    wish.object = object;
    wish.foundFreeSlot = true;
    return wish;
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

TEST(GatewayParts, RouteWithTheLongestPrefixIsFound)
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

TEST(GatewayParts, SplitGivesEachServiceItsWeightToWithinOneRequest)
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

// Random requests and repeats of 12 VMs, against every sliding window of the bound.
TEST(GatewayParts, RepeatsOfAllVmsStayWithinTheBound)
{
    const FleetBounds bounds;
    constexpr std::size_t vms = 12;
    std::vector<RepeatAllowance> allowances(vms, RepeatAllowance(bounds));
    std::mt19937 random(7);
    std::vector<int> requests;
    std::vector<int> repeats;
    for (int tick = 0; tick < 600; ++tick) { // of 100 ms
        int asked = 0;
        int taken = 0;
        const int rate = tick % 200 < 100 ? 10 : 1;
        for (RepeatAllowance &allowance : allowances) {
            const Instant now = begin + Duration::millis(100 * tick + random() % 100);
            for (int i = 0; i < rate; ++i) {
                allowance.noteRequest(now);
                ++asked;
            }
            for (int i = 0; i < 20; ++i)
                taken += allowance.take(vms, now) ? 1 : 0;
        }
        requests.push_back(asked);
        repeats.push_back(taken);
    }
    for (std::size_t end = 200; end <= requests.size(); ++end) {
        const auto sum = [](const std::vector<int> &counts, std::size_t from, std::size_t to) {
            int total = 0;
            for (std::size_t i = from; i < to; ++i)
                total += counts[i];
            return total;
        };
        // The users count the requests of the window, the one before it or half before.
        const int asked =
            std::max({ sum(requests, end - 100, end), sum(requests, end - 150, end - 50),
                       sum(requests, end - 200, end - 100) });
        CHECK(sum(repeats, end - 100, end) <= bounds.repeatRatio * asked + bounds.repeatSlack);
    }
}

// VMs that hear of no keeper, under any load, against every window.
TEST(GatewayParts, EvenSharesOfAllVmsStayWithinTheBound)
{
    const FleetBounds bounds;
    constexpr std::size_t vms = 12;
    std::vector<std::unique_ptr<TeamQuotas>> quotas;
    const auto config = sampleConfig();
    const TeamId team("a");
    std::mt19937 random(11);
    for (std::size_t i = 0; i < vms; ++i) {
        quotas.push_back(std::make_unique<TeamQuotas>(bounds));
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
    TargetPool pool = makePool(options);
    for (const Target &target : sampleTargets(30))
        pool.put(target, begin);
    for (std::uint64_t object = 1; object <= 40; ++object)
        pool.onSent(TargetId("t0"), wishFor(mixHashes(object, 99)), begin);
    std::map<std::uint64_t, std::string> homes;
    for (int round = 0; round < 5; ++round) {
        for (std::uint64_t object = 1; object <= 40; ++object) {
            const Instant now = begin + Duration::seconds(1 + round);
            const Wish wish = wishFor(mixHashes(object, 99));
            const Choice choice = pool.choose(wish, object * 31 + round, now);
            CHECK(choice.target != nullptr);
            const std::string id = choice.target->id.text();
            CHECK(homes.emplace(object, id).first->second == id);
            CHECK(choice.warmth > 0);
        }
    }
}

TEST(GatewayParts, TwoVmsOfARegionChooseTheSameHomes)
{
    const GatewayOptions first = sampleOptions("vm-1");
    GatewayOptions second = sampleOptions("vm-2");
    second.vm.failureDomain = FailureDomainId("near-2");
    TargetPool a = makePool(first);
    TargetPool b = makePool(second);
    for (const Target &target : sampleTargets(30)) {
        a.put(target, begin);
        b.put(target, begin);
    }
    int same = 0;
    for (std::uint64_t object = 1; object <= 200; ++object) {
        const Wish wish = wishFor(mixHashes(object, 5));
        for (TargetPool *pool : { &a, &b })
            pool->onSent(TargetId("t29"), wish, begin);
    }
    for (std::uint64_t object = 1; object <= 200; ++object) {
        const Wish wish = wishFor(mixHashes(object, 5));
        const Instant now = begin + Duration::seconds(20);
        same += a.choose(wish, object, now).target == nullptr ? 0
            : a.choose(wish, object, now).target->id == b.choose(wish, object + 7, now).target->id
            ? 1
            : 0;
    }
    CHECK(same >= 190);
}

// 29 VMs that do alike fill the near region long before one VM's own requests show it.
TEST(GatewayParts, AVmTakesTheOthersOfItsRegionToDoAsItDoes)
{
    const GatewayOptions options = sampleOptions();
    for (const std::size_t vms : { std::size_t { 1 }, std::size_t { 29 } }) {
        TargetPool pool = makePool(options, vms);
        for (const Target &target : sampleTargets(30)) // 20 of them near, with two slots each
            pool.put(target, begin);
        int far = 0;
        for (int i = 0; i < 12; ++i) { // a request every 100 ms, none of which ends
            const Instant now = begin + Duration::millis(100 * i);
            const Choice choice = pool.choose(wishFor(0), i, now);
            far += choice.target->failureDomain == FailureDomainId("far-1") ? 1 : 0;
            pool.onSent(choice.target->id, wishFor(0), now);
        }
        CHECK(vms == 1 ? far == 0 : far >= 3);
    }
}

// A region with a sixth of the slots that gets most of the requests: it must not begin by
// taking all and then send many away.
TEST(GatewayParts, ASmallRegionSendsAPartAwayFromTheFirstSecondOn)
{
    GatewayOptions options = sampleOptions();
    options.vm.failureDomain = FailureDomainId("far-1");
    options.vm.region = RegionId("far");
    TargetPool pool = makePool(options, 10, 0.8);
    std::vector<Target> targets = sampleTargets(120); // a third of them far
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (i % 6 != 2) // half of those are left out
            targets[i].failureDomain = FailureDomainId(i % 2 == 0 ? "near-1" : "near-2");
        pool.put(targets[i], begin);
    }
    std::vector<int> atHome(4); // in each half second
    for (int i = 0; i < 80; ++i) {
        const Instant now = begin + Duration::millis(25 * i);
        const Choice choice = pool.choose(wishFor(0), i, now);
        const bool isHome = choice.target->failureDomain == options.vm.failureDomain;
        atHome[static_cast<std::size_t>(i / 20)] += isHome ? 1 : 0;
        pool.onSent(choice.target->id, wishFor(0), now);
        AttemptEnded ended = success();
        pool.onEnded(choice.target->id, wishFor(0), ended, Duration(), now);
    }
    for (const int count : atHome) {
        CHECK(count >= 4);
        CHECK(count <= 14); // of 20
    }
}

TEST(GatewayParts, AColdTargetGetsNoMoreThanItsBoundFromThoseThatMaySend)
{
    const GatewayOptions options = sampleOptions();
    TargetPool pool = makePool(options);
    Target cold = sampleTargets(1)[0];
    cold.slots = 1000;
    cold.warmupLeft = Duration::seconds(3);
    pool.put(cold, begin);
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        const Instant now = begin + Duration::millis(i);
        const Choice choice = pool.choose(wishFor(0), i, now);
        if (choice.target == nullptr)
            continue;
        pool.onSent(choice.target->id, wishFor(0), now);
        ++sent;
    }
    const double bound = 4 * options.bounds.coldOverage + options.bounds.coldSlack;
    CHECK(sent > 0);
    CHECK(sent * TargetPool::coldSendersMost <= bound);
}

TEST(GatewayParts, AFreshTargetUnderAnOldIdKeepsNothingOfBefore)
{
    const GatewayOptions options = sampleOptions();
    TargetPool pool = makePool(options);
    Target target = sampleTargets(1)[0];
    target.startUnixMillis = 1;
    pool.put(target, begin);
    pool.onSent(target.id, wishFor(0), begin);
    CHECK_EQUAL(1, pool.uses()[0].inFlight);
    target.startUnixMillis = 2;
    pool.put(target, begin);
    CHECK_EQUAL(0U, pool.uses().size());
}

TEST(GatewayParts, ATargetThatCannotBeConnectedToIsLeftAloneForAWhile)
{
    const GatewayOptions options = sampleOptions();
    TargetPool pool = makePool(options);
    pool.put(sampleTargets(1)[0], begin);
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::ConnectFailed;
    pool.onSent(TargetId("t0"), wishFor(0), begin);
    pool.onEnded(TargetId("t0"), wishFor(0), ended, Duration(), begin);
    CHECK(pool.choose(wishFor(0), 1, begin + Duration::millis(100)).target == nullptr);
    CHECK(pool.choose(wishFor(0), 1, begin + Duration::millis(600)).target != nullptr);
}

TEST(GatewayParts, LearnsHowLongWorkTakesThroughWarmAndColdAnswers)
{
    const GatewayOptions options = sampleOptions();
    TargetPool pool = makePool(options);
    pool.put(sampleTargets(1)[0], begin);
    std::mt19937 random(3);
    for (int i = 0; i < 400; ++i) {
        const bool isWarm = i % 4 != 0;
        const double spread = 0.9 + 0.2 * (random() % 1000) / 1000.0;
        const auto took = static_cast<std::int64_t>((isWarm ? 192 : 640) * spread);
        const Wish wish = wishFor(1);
        const Instant now = begin + Duration::millis(700 * i);
        pool.onSent(TargetId("t0"), wish, now);
        pool.onEnded(TargetId("t0"), wish, success(), Duration::millis(took), now);
    }
    const double usual = pool.expectedWork("read").toSeconds() * 1000;
    CHECK(usual > 540);
    CHECK(usual < 760);
}

TEST(GatewayParts, FewRequestsTellHowManyObjectsThereAre)
{
    std::mt19937 random(17);
    for (const std::size_t all : { 40, 340, 700 }) {
        for (const std::size_t requests : { std::size_t { 120 }, std::size_t { 700 } }) {
            double sum = 0; // one VM may be off by a third; many are not on average
            for (int vm = 0; vm < 40; ++vm) {
                ObjectCount objects;
                for (std::size_t i = 0; i < requests; ++i)
                    objects.note(random() % all + 1, begin + Duration::millis(10 * i));
                sum += std::log(objects.estimate());
            }
            const double mean = std::exp(sum / 40);
            CHECK(mean > 0.7 * static_cast<double>(all));
            CHECK(mean < 1.4 * static_cast<double>(all));
        }
    }
}

TEST(GatewayParts, RegionFlowPushesBackOnlyBeyondItsTolerance)
{
    RegionFlow flow;
    const RegionId near("near");
    const RegionId far("far");
    // Two windows alike cost nothing.
    for (int i = 0; i < 400; ++i)
        flow.note(i % 4 == 0 ? far : near, begin + Duration::millis(10 * i));
    const Instant now = begin + Duration::millis(4000);
    DOUBLES_EQUAL(0, flow.penalty(far, now), 1);
    // A jump to the far region costs there and is made good near.
    for (int i = 0; i < 200; ++i)
        flow.note(far, now + Duration::millis(5 * i));
    const Instant later = now + Duration::millis(1000);
    CHECK(flow.penalty(far, later) > 50);
    CHECK(flow.penalty(near, later) < -50);
}
