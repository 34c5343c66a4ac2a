// Twelve gateways that tell each other their demand, under loads that jump and move,
// against the bound on a team's requests over all of them.
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <deque>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr std::size_t vmCount = 12;
constexpr Duration step = Duration::millis(10);
constexpr Duration reportDelay = Duration::millis(70); // between regions, and to be handled

class QuotaWalk
{
public:
    QuotaWalk()
    {
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
            vms_.back()->begin(sampleConfig(), sampleTargets(120), entries);
            entries_ = entries;
        }
    }

    // Lets every VM get `perSecond[i]` requests of the team for a time.
    void run(Duration time, const std::vector<double> &perSecond)
    {
        for (Duration passed; passed < time; passed = passed + step) {
            for (std::size_t i = 0; i < vmCount; ++i) {
                due_[i] += perSecond[i] * step.toSeconds();
                for (; due_[i] >= 1; due_[i] -= 1)
                    vms_[i]->request(++lastRequest_, swapPath);
            }
            pass();
        }
    }

    int mostInWindow() const
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
    int totalSent() const
    {
        int total = 0;
        for (const int count : sent_)
            total += count;
        return total;
    }

private:
    struct OnItsWay
    {
        Instant at;
        std::size_t from;
        VmReport report;
    };

    void pass()
    {
        int count = 0;
        const Instant now = vms_[0]->now();
        for (std::size_t i = 0; i < vmCount; ++i) {
            for (const SendAttempt &attempt : vms_[i]->takeSent()) {
                ++count;
                vms_[i]->answer(attempt.request.number(), 200);
            }
            for (VmReport &report : vms_[i]->takeReports())
                reports_.push_back({ now + reportDelay, i, std::move(report) });
        }
        sent_.push_back(count);
        while (!reports_.empty() && reports_.front().at <= now) {
            const OnItsWay &one = reports_.front();
            for (std::size_t to = 0; to < vmCount; ++to) {
                if (to != one.from)
                    vms_[to]->reduce(PeerSaid { entries_[one.from].id,
                                                entries_[one.from].incarnation, one.report });
            }
            reports_.pop_front();
        }
        for (const auto &vm : vms_)
            vm->advance(step);
    }

    std::vector<std::unique_ptr<GatewayBench>> vms_;
    std::vector<VmEntry> entries_;
    std::deque<OnItsWay> reports_;
    std::vector<double> due_ = std::vector<double>(vmCount);
    std::vector<int> sent_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace

TEST_GROUP(QuotaWalk) {};

TEST(QuotaWalk, TheTeamsBoundHoldsThroughJumpsOfItsDemand)
{
    const FleetBounds bounds;
    const double most = (100 * 5 + 100) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    QuotaWalk walk;
    walk.run(Duration::seconds(4), std::vector<double>(vmCount, 5));
    walk.run(Duration::seconds(6), std::vector<double>(vmCount, 75)); // everywhere at once
    std::mt19937 random(5);
    for (int round = 0; round < 12; ++round) { // to some VMs and then to others
        std::vector<double> perSecond(vmCount, 0);
        for (int i = 0; i < 3; ++i)
            perSecond[random() % vmCount] = 200;
        walk.run(Duration::millis(700), perSecond);
    }
    CHECK(walk.mostInWindow() <= most);
    // And it gets most of what it may have.
    walk.run(Duration::seconds(10), std::vector<double>(vmCount, 20));
    CHECK(walk.totalSent() >= 100 * 20);
}
