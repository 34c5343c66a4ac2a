// Simulates gateways that exchange their admissions, under sudden changes of load and with
// VMs that die, and checks the bound on a team's requests over all of them.
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr std::size_t smallFleet = 12;
constexpr std::size_t largeFleet = 60;
constexpr Duration step = Duration::millis(10);
constexpr Duration reportDelay = Duration::millis(70); // transfer between regions and processing

class QuotaWalk
{
public:
    explicit QuotaWalk(std::size_t vmCount, double ratePerSecond = 100)
        : due_(vmCount)
        , isDead_(vmCount)
    {
        const auto config = sampleConfig();
        for (Team &team : config->teams) {
            team.ratePerSecond = team.ratePerSecond > 0 ? ratePerSecond : 0;
            team.burst = team.ratePerSecond;
        }
        config->index();
        const char *domains[] = { "near-1", "near-2", "far-1" };
        std::vector<VmEntry> entries;
        std::vector<GatewayOptions> options;
        for (std::size_t i = 0; i < vmCount; ++i) {
            GatewayOptions one = sampleOptions("vm-" + std::to_string(i));
            one.vm.failureDomain = FailureDomainId(domains[i % 3]);
            one.vm.region = one.regionOf.at(one.vm.failureDomain);
            one.vm.callers.port = static_cast<std::uint16_t>(100 + i);
            options.push_back(one);
            entries.push_back(one.vm);
        }
        for (const GatewayOptions &one : options) {
            vms_.push_back(std::make_unique<GatewayBench>(one));
            vms_.back()->begin(config, sampleTargets(120), entries);
        }
        entries_ = entries;
    }

    // Sends `perSecond[i]` requests of the team to VM i for `time`.
    void run(Duration time, const std::vector<double> &perSecond)
    {
        for (Duration passed; passed < time; passed = passed + step) {
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                due_[i] += perSecond[i] * step.toSeconds();
                for (; due_[i] >= 1; due_[i] -= 1)
                    request(i);
            }
            exchangeMessages();
        }
    }

    // Sends requests at random times to random VMs, `perSecond` in total.
    void runByChance(Duration time, double perSecond, std::mt19937 &random)
    {
        std::poisson_distribution<int> arrivals(perSecond * step.toSeconds());
        for (Duration passed; passed < time; passed = passed + step) {
            for (int count = arrivals(random); count > 0; --count)
                request(random() % vms_.size());
            exchangeMessages();
        }
    }

    // Stops a VM: it sends no messages and gets no requests. With `isNoticed`, its connections
    // close as well.
    void kill(std::size_t vm, bool isNoticed)
    {
        isDead_[vm] = true;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (isNoticed && !isDead_[i])
                vms_[i]->reduce(PeerDisconnected { entries_[vm].id });
        }
    }

    // No message arrives from now on, so that no VM knows another to be live.
    void cutAll() { isCut_ = true; }

    int maxInWindow() const
    {
        const std::size_t window = 500; // 5 s
        int sum = 0;
        int most = 0;
        for (std::size_t i = 0; i < sent_.size(); ++i) {
            sum += sent_[i] - (i >= window ? sent_[i - window] : 0);
            most = std::max(most, sum);
        }
        return most;
    }
    int requestCount() const { return static_cast<int>(lastRequest_); }
    int totalSent() const
    {
        int total = 0;
        for (const int count : sent_)
            total += count;
        return total;
    }

private:
    struct MessageInTransit
    {
        Instant at;
        std::size_t to;
        EventBody body;
    };

    void request(std::size_t vm)
    {
        if (!isDead_[vm])
            vms_[vm]->request(++lastRequest_, swapPath);
    }

    std::size_t indexOf(const VmId &vm) const
    {
        return static_cast<std::size_t>(std::find_if(entries_.begin(), entries_.end(),
                                                     [&](const VmEntry &e) { return e.id == vm; })
                                        - entries_.begin());
    }

    void exchangeMessages()
    {
        int count = 0;
        const Instant now = vms_[0]->now();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            for (const SendAttempt &attempt : vms_[i]->takeSent()) {
                ++count;
                vms_[i]->answer(attempt.request.number(), 200);
            }
            send(i, now + reportDelay);
        }
        sent_.push_back(count);
        while (!inTransit_.empty() && inTransit_.front().at <= now) {
            MessageInTransit one = std::move(inTransit_.front());
            inTransit_.pop_front();
            if (!isDead_[one.to])
                vms_[one.to]->reduce(std::move(one.body));
        }
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (!isDead_[i])
                vms_[i]->advance(step);
        }
    }

    void send(std::size_t from, Instant at)
    {
        for (Outgoing &message : vms_[from]->takeOutgoing()) {
            if (!isCut_)
                inTransit_.push_back({ at, indexOf(message.to), std::move(message.event) });
        }
    }

    std::vector<std::unique_ptr<GatewayBench>> vms_;
    std::vector<VmEntry> entries_;
    std::deque<MessageInTransit> inTransit_;
    std::vector<double> due_;
    std::vector<bool> isDead_;
    bool isCut_ = false;
    std::vector<int> sent_;
    std::uint64_t lastRequest_ = 0;
};

// Maximum number of a team's requests that all VMs together may send within a window.
double maxAllowed(double ratePerSecond)
{
    const FleetBounds bounds;
    return (ratePerSecond * 5 + ratePerSecond) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
}

} // namespace

TEST_GROUP(QuotaWalk) {};

TEST(QuotaWalk, TheBoundHoldsWhenATeamsDemandJumps)
{
    const double most = maxAllowed(100);
    QuotaWalk walk(smallFleet);
    walk.run(Duration::seconds(4), std::vector<double>(smallFleet, 5));
    walk.run(Duration::seconds(6), std::vector<double>(smallFleet, 75)); // on all VMs at once
    std::mt19937 random(5);
    for (int round = 0; round < 12; ++round) { // on changing VMs
        std::vector<double> perSecond(smallFleet, 0);
        for (int i = 0; i < 3; ++i)
            perSecond[random() % smallFleet] = 200;
        walk.run(Duration::millis(700), perSecond);
    }
    CHECK(walk.maxInWindow() <= most);
    // The team also gets most of its limit.
    walk.run(Duration::seconds(10), std::vector<double>(smallFleet, 20));
    CHECK(walk.totalSent() >= 100 * 20);
}

// Guards against refusing a small team: each VM gets one of its requests about every 20 s, so
// that an even share of the rate would admit few of them.
TEST(QuotaWalk, ASmallTeamOfALargeFleetIsServedWithinItsRate)
{
    QuotaWalk walk(largeFleet, 5);
    std::mt19937 random(3);
    walk.runByChance(Duration::seconds(6), 0, random);
    walk.runByChance(Duration::seconds(20), 3, random);
    CHECK(walk.requestCount() > 40);
    CHECK_EQUAL(walk.requestCount(), walk.totalSent());
}

TEST(QuotaWalk, TheBoundHoldsInALargeFleetWhenATeamSendsManyTimesItsRate)
{
    for (const double rate : { 5.0, 40.0, 340.0 }) {
        QuotaWalk walk(largeFleet, rate);
        std::mt19937 random(7);
        walk.runByChance(Duration::seconds(7), rate / 1.6, random);
        walk.runByChance(Duration::seconds(7), rate * 4.7, random);
        CHECK(walk.maxInWindow() <= maxAllowed(rate));
        CHECK(walk.totalSent() >= rate * 11);
    }
}

// Guards against losing track of spending: owners of the account die while the team sends
// many times its rate.
TEST(QuotaWalk, TheBoundHoldsWhileOwnersOfTheAccountDie)
{
    for (const bool isNoticed : { true, false }) {
        QuotaWalk walk(smallFleet, 100);
        std::mt19937 random(9);
        walk.runByChance(Duration::seconds(7), 60, random);
        for (std::size_t vm = 0; vm < smallFleet - 2; ++vm) {
            walk.runByChance(Duration::millis(900), 470, random);
            walk.kill(vm, isNoticed);
        }
        walk.runByChance(Duration::seconds(6), 470, random);
        CHECK(walk.maxInWindow() <= maxAllowed(100));
    }
}

// Guards against refusing nearly all requests of a large fleet that has just started: each VM
// knows no other to be live, and its even share of the rate is one request in 12 s.
TEST(QuotaWalk, ALargeFleetThatHasJustStartedServesATeamInPart)
{
    constexpr double rate = 5;
    for (const double demand : { 0.8 * rate, 10 * rate }) {
        QuotaWalk walk(largeFleet, rate);
        walk.cutAll();
        std::mt19937 random(11);
        walk.runByChance(Duration::seconds(15), demand, random);
        CHECK(walk.totalSent() >= 0.4 * std::min(demand, rate) * 15);
        CHECK(walk.maxInWindow() <= maxAllowed(rate));
    }
}
