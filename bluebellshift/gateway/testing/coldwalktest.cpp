// Simulates fleets of gateways under load that have just started, or are cut off from each
// other, and checks what all VMs together send to a cold target.
#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr std::size_t domainCount = 6;
constexpr Duration serviceTime = Duration::millis(150);
constexpr double demandPerVm = 15; // requests a second

class ColdWalk
{
public:
    ColdWalk(std::size_t vmCount, std::uint64_t seed)
        : fleet_({ vmCount, domainCount, seed })
        , due_(vmCount)
        , now_(fleet_.vm(0).now())
    {
        for (std::size_t i = 0; i < vmCount; ++i) {
            for (const Target &target : sampleTargets(6))
                fleet_.vm(i).removeTarget(target.id);
        }
    }

    FleetWalk &fleet() { return fleet_; }

    // Replaces the only target by another one that is cold for `time`.
    void startTarget(Duration time)
    {
        Target target = sampleTargets(1)[0];
        target.slots = 400;
        target.warmupLeft = time;
        const TargetId before = coldTarget_;
        coldTarget_ = TargetId("cold-" + std::to_string(++starts_));
        target.id = coldTarget_;
        coldUntil_ = now_ + time;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (starts_ > 1)
                fleet_.vm(i).removeTarget(before);
            fleet_.vm(i).putTarget(target);
        }
    }

    void run(Duration time)
    {
        for (Duration passed; passed < time; passed = passed + FleetWalk::step) {
            while (!running_.empty() && running_.begin()->first <= now_) {
                const auto [vm, request] = running_.begin()->second;
                running_.erase(running_.begin());
                fleet_.vm(vm).answer(request, 200);
                takeSent(vm);
            }
            for (std::size_t i = 0; i < fleet_.size(); ++i) {
                due_[i] += demandPerVm * FleetWalk::step.toSeconds();
                for (; due_[i] >= 1; due_[i] -= 1)
                    fleet_.vm(i).request(++lastRequest_, openPath);
                takeSent(i);
            }
            fleet_.run(FleetWalk::step);
            now_ = now_ + FleetWalk::step;
        }
    }

    // Of the requests to a target while it was cold.
    std::size_t sent() const { return arrivals_.size(); }
    std::size_t sentBy(std::size_t vm) const
    {
        const auto found = sentBy_.find(vm);
        return found == sentBy_.end() ? 0 : found->second;
    }
    // The most in one second.
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
    void takeSent(std::size_t vm)
    {
        for (const SendAttempt &sent : fleet_.vm(vm).takeSent()) {
            if (sent.target == coldTarget_ && now_ < coldUntil_) {
                arrivals_.push_back(now_);
                ++sentBy_[vm];
            }
            running_.insert({ now_ + serviceTime, { vm, sent.request.number() } });
        }
    }

    FleetWalk fleet_;
    std::vector<double> due_;
    Instant now_;
    std::multimap<Instant, std::pair<std::size_t, std::uint64_t>> running_; // by when they end
    std::vector<Instant> arrivals_;
    std::map<std::size_t, std::size_t> sentBy_;
    std::uint64_t lastRequest_ = 0;
    TargetId coldTarget_;
    Instant coldUntil_ = Instant::never();
    int starts_ = 0;
};

double bound()
{
    const FleetBounds bounds;
    return 4 * bounds.coldRateFactor + bounds.coldSlack;
}

} // namespace

TEST_GROUP(ColdWalk) {};

// Guards against a fleet that was killed and has started again: as long as the VMs had not heard of
// each other, each of them was the first sender to a cold target.
TEST(ColdWalk, VmsThatHaveJustStartedKeepTheBoundOfAColdTarget)
{
    for (const std::size_t vmCount : { std::size_t { 12 }, std::size_t { 60 } }) {
        for (std::uint64_t seed = 1; seed < 5; ++seed) {
            ColdWalk walk(vmCount, seed);
            walk.fleet().setPath([](std::size_t, std::size_t) { return false; });
            walk.startTarget(Duration::seconds(10));
            walk.run(Duration::seconds(1));
            walk.fleet().setPath([](std::size_t, std::size_t) { return true; });
            walk.run(Duration::seconds(4));
            CHECK(static_cast<double>(walk.maxInSecond()) <= bound());
            CHECK(walk.sent() >= 20); // of 41 that the senders' intervals allow
        }
    }
}

// Guards against both sides of a partition that send as if they were the whole fleet.
TEST(ColdWalk, ABoundHoldsOverRandomPartitions)
{
    for (std::uint64_t seed = 1; seed < 9; ++seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        ColdWalk walk(12, seed);
        walk.run(Duration::seconds(4));
        for (int round = 0; round < 6; ++round) {
            const int sides = 1 + static_cast<int>(random() % 3);
            std::vector<int> sideOf;
            for (std::size_t i = 0; i < 12; ++i)
                sideOf.push_back(static_cast<int>(random()) % sides);
            walk.fleet().setPath(
                [=](std::size_t from, std::size_t to) { return sideOf[from] == sideOf[to]; });
            walk.run(Duration::millis(500 + static_cast<std::int64_t>(random() % 4000)));
            walk.startTarget(Duration::seconds(5));
            walk.run(Duration::millis(500 + static_cast<std::int64_t>(random() % 9000)));
            walk.fleet().setPath([](std::size_t, std::size_t) { return true; });
            walk.run(Duration::millis(500 + static_cast<std::int64_t>(random() % 3000)));
            walk.startTarget(Duration::seconds(5));
            walk.run(Duration::seconds(7));
        }
        CHECK(static_cast<double>(walk.maxInSecond()) <= bound());
    }
}

// Guards against VMs that stay cut off and never use a target that stays cold, which no other VM
// can use for their callers.
TEST(ColdWalk, IsolatedVmsUseAColdTargetInPart)
{
    ColdWalk walk(12, 1);
    walk.fleet().setPath([](std::size_t, std::size_t) { return false; });
    walk.startTarget(Duration::seconds(60));
    walk.run(Duration::seconds(40));
    CHECK(static_cast<double>(walk.maxInSecond()) <= bound());
    for (std::size_t i = 0; i < 12; ++i)
        CHECK(walk.sentBy(i) >= 3);
}
