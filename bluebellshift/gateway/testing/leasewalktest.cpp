// Simulates fleets of gateways that are cut off from each other at random while a team sends
// many times its rate, and checks the team's bound over all VMs; and that no lease ends by mistake
// in a calm fleet, with and without relays.
#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr std::size_t domainCount = 6;
constexpr std::size_t windowSteps = 250; // 5 s

class LeaseWalk
{
public:
    LeaseWalk(std::size_t vmCount, double ratePerSecond, std::uint64_t seed)
        : fleet_({ vmCount, domainCount, seed })
        , random_(static_cast<unsigned>(seed))
        , weights_(vmCount, 1)
    {
        std::vector<Target> targets = sampleTargets(6);
        for (std::size_t i = 0; i < targets.size(); ++i) {
            targets[i].slots = 4000; // never full
            targets[i].failureDomain = FailureDomainId("domain-" + std::to_string(i));
        }
        const auto config = sampleConfig(2);
        config->teams[0].ratePerSecond = ratePerSecond;
        config->teams[0].burst = ratePerSecond;
        config->index();
        for (std::size_t i = 0; i < vmCount; ++i) {
            for (const Target &target : targets)
                fleet_.vm(i).putTarget(target);
            fleet_.vm(i).putConfig(config);
        }
        run(Duration::seconds(8), 0); // the VMs know each other
    }

    FleetWalk &fleet() { return fleet_; }
    std::mt19937 &random() { return random_; }
    // The part of the requests that each VM gets.
    void setWeights(std::vector<double> weights) { weights_ = std::move(weights); }

    // Sends requests at random times, `perSecond` in total.
    void run(Duration time, double perSecond)
    {
        std::discrete_distribution<std::size_t> choose(weights_.begin(), weights_.end());
        std::poisson_distribution<int> arrivals(
            std::max(1e-9, perSecond * FleetWalk::step.toSeconds()));
        for (Duration passed; passed < time; passed = passed + FleetWalk::step) {
            for (int count = arrivals(random_); count > 0; --count) {
                const std::size_t vm = choose(random_);
                if (fleet_.isRunning(vm)) {
                    ++requests_;
                    fleet_.vm(vm).request(++lastRequest_, swapPath);
                }
            }
            int sent = 0;
            for (std::size_t i = 0; i < fleet_.size(); ++i) {
                for (const SendAttempt &attempt : fleet_.vm(i).takeSent()) {
                    ++sent;
                    fleet_.vm(i).answer(attempt.request.number(), 200);
                }
            }
            sent_.push_back(sent);
            fleet_.run(FleetWalk::step);
        }
    }

    int requests() const { return requests_; }
    int totalSent() const
    {
        int total = 0;
        for (const int count : sent_)
            total += count;
        return total;
    }
    int maxInWindow() const
    {
        int sum = 0;
        int most = 0;
        for (std::size_t i = 0; i < sent_.size(); ++i) {
            sum += sent_[i] - (i >= windowSteps ? sent_[i - windowSteps] : 0);
            most = std::max(most, sum);
        }
        return most;
    }

private:
    FleetWalk fleet_;
    std::mt19937 random_;
    std::vector<double> weights_;
    std::vector<int> sent_; // in each step
    int requests_ = 0;
    std::uint64_t lastRequest_ = 0;
};

double maxAllowed(double ratePerSecond)
{
    const FleetBounds bounds;
    return (ratePerSecond * 5 + ratePerSecond) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
}

// Divides the VMs into random sides. Returns whether a VM's messages reach another.
std::function<bool(std::size_t, std::size_t)> randomPaths(std::size_t vms, std::mt19937 &random)
{
    const unsigned sides = 1 + static_cast<unsigned>(random() % 3);
    const unsigned share = 1 + static_cast<unsigned>(random() % 5); // of 6: in the first side
    const bool isOneWay = random() % 4 == 0;
    std::vector<unsigned> sideOf;
    for (std::size_t i = 0; i < vms; ++i)
        sideOf.push_back(random() % 6 < share ? 0 : static_cast<unsigned>(random()) % sides);
    return [=](std::size_t from, std::size_t to) {
        return sideOf[from] == sideOf[to] || (isOneWay && sideOf[from] < sideOf[to]);
    };
}

struct Load
{
    std::size_t vms;
    double ratePerSecond;
    int seeds;
};

constexpr Load partitionedLoads[] = { { 12, 100, 12 }, { 12, 20, 6 }, { 60, 340, 2 } };

} // namespace

TEST_GROUP(LeaseWalk) {};

// Guards against an owner out of reach that is still followed: both sides of a partition spend
// the same account.
TEST(LeaseWalk, ABoundHoldsAsATeamsDemandJumpsWhileTheFleetIsCutInTwo)
{
    for (std::uint64_t seed = 1; seed < 9; ++seed) {
        LeaseWalk walk(12, 100, seed);
        walk.run(Duration::seconds(4), 50);
        const std::size_t cut = 2 + seed % 5;
        walk.fleet().setPath(
            [=](std::size_t from, std::size_t to) { return (from < cut) == (to < cut); });
        walk.run(Duration::seconds(10), 800);
        walk.fleet().setPath([](std::size_t, std::size_t) { return true; });
        walk.run(Duration::seconds(6), 800);
        const std::string text = fmt::format("seed {}: {}", seed, walk.maxInWindow());
        CHECK_TEXT(walk.maxInWindow() <= maxAllowed(100), text.c_str());
        CHECK(walk.totalSent() >= 12 * 100); // of 20 s
    }
}

// The same over random partitions, also one way, with VMs that pause and die.
TEST(LeaseWalk, ABoundHoldsOverRandomPartitionsPausesAndKills)
{
    for (const Load &load : partitionedLoads) {
        for (int i = 1; i <= load.seeds; ++i) {
            LeaseWalk walk(load.vms, load.ratePerSecond, static_cast<std::uint64_t>(i));
            std::mt19937 &random = walk.random();
            std::size_t killed = 0;
            for (int round = 0; round < 10; ++round) {
                if (random() % 4 == 0)
                    walk.fleet().setPath([](std::size_t, std::size_t) { return true; });
                else
                    walk.fleet().setPath(randomPaths(load.vms, random));
                const std::size_t vm = random() % load.vms;
                const bool isPaused = random() % 3 == 0 && walk.fleet().isRunning(vm);
                if (isPaused)
                    walk.fleet().pause(vm);
                else if (random() % 6 == 0 && killed++ < load.vms / 4)
                    walk.fleet().kill(vm, random() % 2 == 0);
                std::vector<double> weights(load.vms, random() % 2 == 0 ? 1 : 0.1);
                for (int few = 0; few < 3; ++few)
                    weights[random() % load.vms] = 1;
                walk.setWeights(weights);
                const double factors[] = { 0.5, 0.9, 2, 8 };
                const double demand = factors[random() % 4] * load.ratePerSecond;
                const auto millis = 300 + static_cast<std::int64_t>(random() % 5000);
                walk.run(Duration::millis(millis), demand);
                if (isPaused)
                    walk.fleet().resume(vm);
            }
            const std::string text = fmt::format("{} VMs, rate {}, seed {}: {}", load.vms,
                                                 load.ratePerSecond, i, walk.maxInWindow());
            CHECK_TEXT(walk.maxInWindow() <= maxAllowed(load.ratePerSecond), text.c_str());
        }
    }
}

// Guards against leases that end between two reports, and parts that are too small: a team within
// its rate would be refused.
TEST(LeaseWalk, ATeamWithinItsRateIsRefusedNothingInACalmFleet)
{
    const Load loads[] = { { 12, 100, 2 }, { 12, 5, 2 },  { 30, 40, 1 },
                           { 60, 340, 1 }, { 100, 5, 1 }, { 100, 100, 1 } };
    for (const Load &load : loads) {
        for (int i = 1; i <= load.seeds; ++i) {
            LeaseWalk walk(load.vms, load.ratePerSecond, static_cast<std::uint64_t>(i));
            walk.run(Duration::seconds(20), 0.7 * load.ratePerSecond);
            const std::string text =
                fmt::format("{} VMs, rate {}, seed {}: {} of {}", load.vms, load.ratePerSecond, i,
                            walk.totalSent(), walk.requests());
            CHECK_TEXT(walk.totalSent() == walk.requests(), text.c_str());
        }
    }
}
