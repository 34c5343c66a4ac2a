// Checks, at each step, the bound on a team's requests over all VMs while VMs are cut off from each
// other, lose power and start again around a jump of the team's demand. Load that this answers: a
// team sends many times its usual at the moment at which a part of the fleet is cut off.
#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>
#include <deque>
#include <random>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr double usualShare = 0.6; // of the team's rate
constexpr double jump = 8;         // by which its demand grows

// The team that `swapPath` belongs to.
const Team &sampleTeam()
{
    static const auto config = sampleConfig();
    return config->teams.front();
}

// The most of its requests that all VMs together may send within the window.
double maxAllowed()
{
    const FleetBounds bounds;
    const double window = sampleTeam().ratePerSecond * bounds.quotaWindow.toSeconds();
    return (window + sampleTeam().burst) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
}

class PartitionedTeam
{
public:
    PartitionedTeam(std::size_t vmCount, std::uint64_t seed)
        : walk_({ vmCount, 6, seed })
        , random_(seed)
        , sideOf_(vmCount)
    {
        walk_.setPath([this](std::size_t from, std::size_t to) {
            return sideOf_[from] == sideOf_[to] || (isOneWay_ && sideOf_[from] < sideOf_[to]);
        });
    }

    std::mt19937_64 &random() { return random_; }
    std::size_t size() const { return sideOf_.size(); }

    void cut(bool isOneWay)
    {
        isOneWay_ = isOneWay;
        for (int &side : sideOf_)
            side = random_() % 3 == 0 ? 1 : 0;
    }
    void heal() { std::fill(sideOf_.begin(), sideOf_.end(), 0); }
    void loseOne() { walk_.kill(random_() % size(), false); }

    // Returns the most that was sent within a window that ends in this time.
    std::size_t run(Duration time, double perSecond)
    {
        std::poisson_distribution<int> arrivals(perSecond * FleetWalk::step.toSeconds());
        std::size_t most = 0;
        for (Duration passed; passed < time; passed = passed + FleetWalk::step) {
            for (int count = arrivals(random_); count > 0; --count)
                offer(random_() % size());
            walk_.run(FleetWalk::step);
            while (!sent_.empty() && walk_.now() - sent_.front() >= FleetBounds().quotaWindow)
                sent_.pop_front();
            most = std::max(most, sent_.size());
        }
        return most;
    }

private:
    void offer(std::size_t vm)
    {
        if (!walk_.isAlive(vm))
            return;
        GatewayBench &bench = walk_.vm(vm);
        bench.request(++lastRequest_, swapPath);
        for (const SendAttempt &attempt : bench.takeSent()) {
            sent_.push_back(walk_.now());
            bench.answer(attempt.request.number(), 200);
        }
        bench.takeEnded();
    }

    FleetWalk walk_;
    std::mt19937_64 random_;
    std::vector<int> sideOf_;
    bool isOneWay_ = false;
    std::deque<Instant> sent_;
    std::uint64_t lastRequest_ = 0;
};

// Cuts and losses before, at and after the jump. Returns the most in a window.
std::size_t playSeed(std::size_t vmCount, std::uint64_t seed)
{
    PartitionedTeam team(vmCount, seed);
    const double usual = usualShare * sampleTeam().ratePerSecond;
    std::size_t most = team.run(Duration::seconds(7), usual);
    const auto step = [&](int mostMillis, double perSecond) {
        const auto millis =
            static_cast<std::int64_t>(team.random()() % static_cast<unsigned>(mostMillis));
        most = std::max(most, team.run(Duration::millis(millis), perSecond));
    };
    if (team.random()() % 2 == 0) {
        team.cut(team.random()() % 3 == 0);
        step(3000, usual);
    }
    for (int round = 0; round < 3; ++round) {
        step(1000, jump * usual);
        if (team.random()() % 3 == 0)
            team.loseOne();
        team.cut(team.random()() % 3 == 0);
        step(4000, jump * usual);
        if (team.random()() % 2 == 0)
            team.heal();
        step(2000, jump * usual);
    }
    return most;
}

void playSeeds(std::size_t vmCount, std::uint64_t seeds)
{
    std::string broken;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::size_t most = playSeed(vmCount, seed);
        if (static_cast<double>(most) > maxAllowed())
            broken += fmt::format("{} VMs, seed {}: {} of {}\n", vmCount, seed, most, maxAllowed());
    }
    STRCMP_EQUAL("", broken.c_str());
}

} // namespace

TEST_GROUP(QuotaPartition) {};

// Guards against an account that is spent on both sides of a cut, on the word of an owner that is
// out of reach.
TEST(QuotaPartition, TheBoundHoldsAtEachStepOverCutsAndLosses)
{
    playSeeds(12, 20);
}

TEST(QuotaPartition, TheBoundHoldsAtEachStepInALargeFleet)
{
    playSeeds(60, 4);
}
