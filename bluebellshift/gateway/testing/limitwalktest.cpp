// Simulates a fleet of gateways under load whose target names a limit, and checks what all VMs
// together send there.
#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr std::size_t domainCount = 6;
constexpr int targetCount = 6;
constexpr int targetSlots = 400; // no target is ever full
constexpr Duration serviceTime = Duration::millis(100);
constexpr Duration boundWindow = Duration::seconds(4);
// A request counts if its VM had passed on a response with the limit this long before.
constexpr Duration boundDelay = Duration::millis(500);
const TargetId limitedTarget { "t0" };

class LimitWalk
{
public:
    // Without other targets, the VMs ask for more than any limit.
    LimitWalk(std::size_t vmCount, std::uint64_t seed, bool hasOtherTargets)
        : fleet_({ vmCount, domainCount, seed })
        , due_(vmCount)
        , toldAt_(vmCount, Instant::never())
    {
        std::vector<Target> targets = sampleTargets(targetCount);
        for (std::size_t i = 0; i < vmCount; ++i) {
            for (std::size_t t = 0; t < targets.size(); ++t) {
                targets[t].slots = targetSlots;
                targets[t].failureDomain =
                    FailureDomainId("domain-" + std::to_string(t % domainCount));
                if (t == 0 || hasOtherTargets)
                    fleet_.vm(i).putTarget(targets[t]);
                else
                    fleet_.vm(i).removeTarget(targets[t].id);
            }
        }
        fleet_.run(Duration::seconds(4));
        now_ = fleet_.vm(0).now();
    }

    void setLimit(std::optional<double> perSecond) { limit_ = perSecond; }
    FleetWalk &fleet() { return fleet_; }
    // Counts only what arrives from now on.
    void resetArrivals() { arrivals_.clear(); }

    // Each VM gets `perSecond` requests, evenly spaced.
    void run(Duration time, double perSecond)
    {
        for (Duration passed; passed < time; passed = passed + FleetWalk::step) {
            answerDue();
            for (std::size_t i = 0; i < fleet_.size(); ++i) {
                if (!fleet_.isAlive(i))
                    continue;
                due_[i] += perSecond * FleetWalk::step.toSeconds();
                for (; due_[i] >= 1; due_[i] -= 1)
                    fleet_.vm(i).request(++lastRequest_, openPath);
                takeSent(i);
            }
            fleet_.run(FleetWalk::step);
            now_ = now_ + FleetWalk::step;
        }
    }

    // The most requests that the target got in a window, of those that the bound counts.
    std::size_t maxCounted() const
    {
        std::deque<Instant> window;
        std::size_t most = 0;
        for (const Arrival &arrival : arrivals_) {
            if (!arrival.isCounted)
                continue;
            window.push_back(arrival.at);
            while (arrival.at - window.front() >= boundWindow)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }
    // The requests that the target got in the last `time`.
    std::size_t arrivedIn(Duration time) const
    {
        return static_cast<std::size_t>(
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [&](const Arrival &arrival) { return now_ - arrival.at < time; }));
    }

private:
    struct Arrival
    {
        Instant at;
        bool isCounted = false;
    };
    struct Running
    {
        std::size_t vm = 0;
        std::uint64_t request = 0;
        bool isLimited = false;
    };

    void takeSent(std::size_t vm)
    {
        for (const SendAttempt &sent : fleet_.vm(vm).takeSent()) {
            const bool isLimited = sent.target == limitedTarget;
            running_[now_ + serviceTime].push_back({ vm, sent.request.number(), isLimited });
            const bool isTold = toldAt_[vm] != Instant::never() && now_ - toldAt_[vm] >= boundDelay;
            if (isLimited)
                arrivals_.push_back({ now_, isTold });
        }
    }

    void answerDue()
    {
        while (!running_.empty() && running_.begin()->first <= now_) {
            for (const Running &one : running_.begin()->second) {
                if (!fleet_.isAlive(one.vm))
                    continue;
                const bool namesLimit = one.isLimited && limit_.has_value();
                fleet_.vm(one.vm).answerWithLimit(one.request, namesLimit ? limit_ : std::nullopt);
                if (namesLimit && toldAt_[one.vm] == Instant::never())
                    toldAt_[one.vm] = now_;
                takeSent(one.vm);
            }
            running_.erase(running_.begin());
        }
    }

    FleetWalk fleet_;
    std::vector<double> due_;
    std::vector<Instant> toldAt_;
    std::optional<double> limit_;
    std::map<Instant, std::vector<Running>> running_; // by when they end
    std::vector<Arrival> arrivals_;
    Instant now_;
    std::uint64_t lastRequest_ = 0;
};

// What a target may get in a window of the bound.
double boundOf(double limit)
{
    return 1.5 * limit * boundWindow.toSeconds() + 5;
}

struct LimitCase
{
    const char *name;
    std::size_t vms;
    double limit; // requests a second
};

const LimitCase limitCases[] = {
    { "several a second for each VM", 12, 24 },
    { "less than one a second for each VM", 12, 7.7 },
    { "a few a second for all", 12, 1.5 },
    { "less than one a second for all", 12, 0.4 },
    { "nothing at all", 12, 0 },
    { "one VM", 1, 7.7 },
    { "a fleet with relays, less than one a second for all", 60, 0.4 },
    { "a fleet with relays", 60, 7.7 },
};

constexpr double demandPerVm = 20; // a second
// Fraction of a limit that the VMs have to use where they ask for more.
constexpr double minUse = 0.8;

} // namespace

TEST_GROUP(LimitWalk) {};

// Guards against a target that gets more requests from all VMs together than the limit it names.
TEST(LimitWalk, ATargetGetsNoMoreThanTheLimitThatItNames)
{
    for (const LimitCase &one : limitCases) {
        for (const bool hasOtherTargets : { true, false }) {
            LimitWalk walk(one.vms, 1, hasOtherTargets);
            walk.run(Duration::seconds(2), demandPerVm);
            walk.setLimit(one.limit);
            walk.run(Duration::seconds(15), demandPerVm);
            CHECK_TEXT(static_cast<double>(walk.maxCounted()) <= boundOf(one.limit), one.name);
        }
    }
}

// Guards against a limit of which the VMs leave a large part unused.
TEST(LimitWalk, TheVmsUseALimitThatIsBelowTheirDemand)
{
    for (const LimitCase &one : limitCases) {
        LimitWalk walk(one.vms, 2, false);
        walk.setLimit(one.limit);
        walk.run(Duration::seconds(4), demandPerVm);
        walk.resetArrivals();
        walk.run(Duration::seconds(20), demandPerVm);
        const double arrived = static_cast<double>(walk.arrivedIn(Duration::seconds(20)));
        CHECK_TEXT(arrived >= std::floor(minUse * one.limit * 20), one.name);
    }
}

// Guards against a target that stays unused after it has ended its limit.
TEST(LimitWalk, AllVmsUseATargetAgainThatNamesNoLimitAnyMore)
{
    LimitWalk walk(12, 3, false);
    walk.run(Duration::seconds(4), demandPerVm);
    const std::size_t before = walk.arrivedIn(Duration::seconds(3));
    walk.setLimit(1.5);
    walk.run(Duration::seconds(8), demandPerVm);
    walk.setLimit(std::nullopt);
    walk.run(Duration::seconds(8), demandPerVm);
    CHECK(static_cast<double>(walk.arrivedIn(Duration::seconds(3)))
          >= minUse * static_cast<double>(before));
}

// Guards against a lowered limit that some VMs don't follow.
TEST(LimitWalk, ATargetGetsNoMoreThanALoweredLimit)
{
    LimitWalk walk(12, 4, false);
    walk.setLimit(30);
    walk.run(Duration::seconds(6), demandPerVm);
    walk.setLimit(3);
    walk.run(Duration::seconds(1), demandPerVm);
    walk.resetArrivals();
    walk.run(Duration::seconds(10), demandPerVm);
    CHECK(static_cast<double>(walk.maxCounted()) <= boundOf(3));
}

// Guards against a limit that is exceeded, or lost, as VMs die: silent ones still hold their share
// for a while, and the others take it over.
TEST(LimitWalk, ALimitHoldsAndIsUsedAsVmsDie)
{
    for (const bool isNoticed : { true, false }) {
        for (std::uint64_t seed = 5; seed < 9; ++seed) {
            constexpr double limit = 6;
            LimitWalk walk(12, seed, false);
            walk.setLimit(limit);
            walk.run(Duration::seconds(5), demandPerVm);
            for (std::size_t vm = 0; vm < 4; ++vm) {
                walk.fleet().kill(vm * 3, isNoticed);
                walk.run(Duration::seconds(2), demandPerVm);
            }
            walk.run(Duration::seconds(8), demandPerVm);
            const double arrived = static_cast<double>(walk.arrivedIn(Duration::seconds(5)));
            CHECK(static_cast<double>(walk.maxCounted()) <= boundOf(limit));
            CHECK(arrived >= minUse * limit * 5);
        }
    }
}

// Guards against a number of senders that overflows.
TEST(LimitWalk, ALimitBeyondAnyRateIsServed)
{
    LimitWalk walk(12, 10, false);
    walk.setLimit(1e300);
    walk.run(Duration::seconds(6), demandPerVm);
    CHECK(walk.arrivedIn(Duration::seconds(1)) > 0);
}
