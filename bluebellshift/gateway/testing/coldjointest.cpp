// What all VMs together send to a cold target while VMs start, join, are killed and hear of each
// other late. Load that this answers: a fleet that is killed, or grows, while targets return.
#include "bluebellshift/gateway/testing/storefleet.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr Duration serviceTime = Duration::millis(150);
constexpr double demandPerVm = 15; // requests a second
constexpr Duration coldTime = Duration::seconds(12);

// The requests that a cold target may get in one second, from all VMs together.
double boundInSecond()
{
    const FleetBounds bounds;
    return sampleConfig()->services[0].coldRequestsPerSecond * bounds.coldRateFactor
        + bounds.coldSlack;
}

// A fleet whose service has one target, which is cold.
class ColdFleet
{
public:
    ColdFleet(std::size_t vmCount, std::uint64_t seed)
        : fleet_(vmCount, seed)
        , due_(vmCount)
    {
        for (int i = 0; i < StoreFleet::targetCount; ++i)
            fleet_.removeTarget(StoreFleet::target(i));
    }

    StoreFleet &fleet() { return fleet_; }
    FleetWalk &walk() { return fleet_.walk(); }

    void startTarget()
    {
        Target target = StoreFleet::target(0);
        target.id = TargetId("cold");
        target.slots = 400;
        target.warmupLeft = coldTime;
        fleet_.putTarget(target);
        coldUntil_ = fleet_.now() + coldTime;
    }

    void run(Duration time)
    {
        for (Duration passed; passed < time; passed = passed + FleetWalk::step) {
            const Instant now = fleet_.now();
            for (; !running_.empty() && running_.begin()->first <= now;
                 running_.erase(running_.begin())) {
                const auto &[vm, process, request] = running_.begin()->second;
                if (walk().isAlive(vm) && process == walk().entry(vm).incarnation)
                    walk().vm(vm).answer(request, 200);
            }
            for (std::size_t vm = 0; vm < fleet_.size(); ++vm) {
                if (walk().isAlive(vm))
                    offer(vm, now);
            }
            fleet_.run(FleetWalk::step);
        }
    }

    std::size_t sent() const { return arrivals_.size(); }
    std::size_t maxInSecond() const
    {
        std::deque<Instant> window;
        std::size_t most = 0;
        for (const Instant at : arrivals_) {
            window.push_back(at);
            while (at - window.front() >= Duration::seconds(1))
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }

private:
    struct Running
    {
        std::size_t vm;
        Incarnation process;
        std::uint64_t request;
    };

    void offer(std::size_t vm, Instant now)
    {
        GatewayBench &bench = walk().vm(vm);
        due_[vm] += demandPerVm * FleetWalk::step.toSeconds();
        for (; due_[vm] >= 1; due_[vm] -= 1)
            bench.request(++lastRequest_, openPath);
        for (const SendAttempt &sent : bench.takeSent()) {
            if (now < coldUntil_)
                arrivals_.push_back(now);
            running_.insert(
                { now + serviceTime, { vm, walk().entry(vm).incarnation, sent.request.number() } });
        }
        bench.takeEnded();
        bench.takeCancelled();
    }

    StoreFleet fleet_;
    std::vector<double> due_;
    std::multimap<Instant, Running> running_; // by when they end
    std::vector<Instant> arrivals_;
    std::uint64_t lastRequest_ = 0;
    Instant coldUntil_ = Instant::never();
};

Duration between(std::mt19937_64 &random, int from, int to)
{
    return Duration::millis(
        from + static_cast<std::int64_t>(random() % static_cast<unsigned>(to - from)));
}

std::string verdict(const ColdFleet &cold, const char *order, std::size_t vmCount,
                    std::uint64_t seed)
{
    if (static_cast<double>(cold.maxInSecond()) <= boundInSecond() && cold.sent() > 0)
        return "";
    return fmt::format("{}, {} VMs, seed {}: {} in a second, {} in all", order, vmCount, seed,
                       cold.maxInSecond(), cold.sent());
}

// All VMs are killed and start one after the other, twice, and get the list of VMs late.
std::string playHerdKill(std::size_t vmCount, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ColdFleet cold(vmCount, seed);
    cold.run(Duration::seconds(8));
    cold.startTarget();
    cold.run(between(random, 100, 1500));
    if (random() % 2 == 0)
        cold.fleet().store().delayNewClients(Registry::Vms, between(random, 50, 900));
    for (int kills = 0; kills < 2; ++kills) {
        std::vector<std::size_t> order;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            if (cold.walk().isAlive(vm))
                cold.walk().kill(vm, random() % 2 == 0);
            order.push_back(vm);
        }
        std::shuffle(order.begin(), order.end(), random);
        cold.run(between(random, 20, 600));
        const int spread = random() % 2 == 0 ? 21 : 200;
        for (const std::size_t vm : order) {
            cold.walk().restart(vm);
            if (random() % 3 == 0)
                cold.run(between(random, 20, spread));
        }
        cold.run(between(random, 100, 2500));
    }
    cold.run(Duration::seconds(5));
    return verdict(cold, "herd kill", vmCount, seed);
}

// Most VMs of the fleet join one after the other, under names that no VM knows.
std::string playJoin(std::size_t vmCount, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ColdFleet cold(vmCount, seed);
    const std::size_t old = vmCount / 3;
    for (std::size_t vm = old; vm < vmCount; ++vm)
        cold.walk().kill(vm, true); // before it has registered
    cold.run(Duration::seconds(8));
    cold.startTarget();
    cold.run(between(random, 100, 1500));
    const int spread = random() % 2 == 0 ? 21 : 300;
    for (std::size_t vm = old; vm < vmCount; ++vm) {
        cold.walk().restart(vm);
        if (random() % 2 == 0)
            cold.run(between(random, 20, spread));
    }
    cold.run(Duration::seconds(8));
    return verdict(cold, "join", vmCount, seed);
}

// All VMs are killed and replaced: the store has no entry of those that start.
std::string playReplacement(std::size_t vmCount, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ColdFleet cold(vmCount, seed);
    cold.run(Duration::seconds(8));
    cold.startTarget();
    cold.run(between(random, 100, 1500));
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        cold.walk().kill(vm, true);
        cold.fleet().store().remove(Registry::Vms, cold.walk().entry(vm).id.text(),
                                    cold.fleet().now());
    }
    cold.run(between(random, 20, 600));
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        cold.walk().restart(vm);
        if (random() % 2 == 0)
            cold.run(between(random, 20, 100));
    }
    cold.run(Duration::seconds(8));
    return verdict(cold, "replacement", vmCount, seed);
}

void playSeeds(std::string (*play)(std::size_t vmCount, std::uint64_t seed))
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
        STRCMP_EQUAL("", play(12, seed).c_str());
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
        STRCMP_EQUAL("", play(60, seed).c_str());
}

} // namespace

TEST_GROUP(ColdJoin) {};

// Guards against VMs that are replaced all at once and do not know of each other: each of them took
// itself for the one that may send.
TEST(ColdJoin, VmsThatAreReplacedAtOnceKeepTheBound)
{
    playSeeds(playReplacement);
}

// Guards against more senders than the bound is divided among, as each VM that joins outranks some
// that do not know it yet.
TEST(ColdJoin, VmsThatJoinOneAfterTheOtherKeepTheBound)
{
    playSeeds(playJoin);
}

// Guards against two runs of a VM that both send, and against VMs that serve without the others.
TEST(ColdJoin, VmsThatAreKilledTwiceKeepTheBound)
{
    playSeeds(playHerdKill);
}
