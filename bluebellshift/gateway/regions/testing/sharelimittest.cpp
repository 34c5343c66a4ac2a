#include "bluebellshift/gateway/regions/sharelimit.h"

#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::regions;

namespace {

constexpr std::size_t far = 0; // the regions of sampleOptions() by name
constexpr std::size_t near = 1;
constexpr Duration gap = Duration::millis(20); // between requests

} // namespace

TEST_GROUP(ShareLimit)
{
    GatewayOptions options_ = gateway::testing::sampleOptions();
    Instant now_ = Instant::fromMicros(7'000'000'000);
    RegionValues others_;
    bool isNearFault_ = false;
    RegionValues slots_ { 100, 100 };
    std::size_t vms_ = 10;
    ShareLimit limit_ {
        options_,
        { [this](Instant) { return others_; }, [this](Instant) { return isNearFault_; },
          [this](Instant) { return slots_; }, [this](Instant) { return vms_; }, [] { return 0.5; } }
    };

    // The other VMs do the same as this one and report it each second.
    void reportAlike()
    {
        const std::vector<std::uint32_t> own = limit_.report(now_);
        others_.assign(own.begin(), own.end());
        for (double &requests : others_)
            requests *= static_cast<double>(vms_ - 1);
    }

    // Sends requests for `time`, to `wanted` if it is open; returns the share that went there.
    double send(std::size_t wanted, Duration time)
    {
        int all = 0;
        int there = 0;
        for (Duration passed; passed < time; passed = passed + gap) {
            const ShareLimit::Open open = limit_.openRegions(now_);
            const std::size_t to = limit_.isOpen(open, wanted) ? wanted : 1 - wanted;
            CHECK(limit_.isOpen(open, to));
            limit_.onSent(to, now_);
            ++all;
            there += to == wanted ? 1 : 0;
            now_ = now_ + gap;
        }
        return static_cast<double>(there) / all;
    }
};

// Guards against all VMs of a region that turn to another one at the same moment.
TEST(ShareLimit, AShareGrowsByLittleInAWindow)
{
    for (const std::size_t vms : { std::size_t { 1 }, std::size_t { 10 } }) {
        vms_ = vms;
        for (int second = 0; second < 8; ++second) {
            CHECK(send(near, Duration::seconds(1)) > 0.8);
            reportAlike();
        }
        double before = 0;
        for (int window = 0; window < 8; ++window) {
            double share = 0;
            for (int second = 0; second < 2; ++second) {
                share += send(far, Duration::seconds(1)) / 2;
                reportAlike();
            }
            CHECK(share - before <= 0.15);
            before = share;
        }
        CHECK(before > 0.4);
        send(near, ShareLimit::window * 20);
    }
}

// Guards against a VM with few requests that follows its own past and not its region's.
TEST(ShareLimit, TheShareOfTheWholeRegionCounts)
{
    others_ = { 100, 900 };
    CHECK(send(far, ShareLimit::window) < 0.25);
    others_ = { 600, 400 };
    CHECK(send(far, ShareLimit::window * 2) > 0.4);
}

// Guards against callers whose region lost its targets and who wait for the others to open.
TEST(ShareLimit, ARegionThatLosesItsSlotsGivesUpItsRequestsAtOnce)
{
    send(near, ShareLimit::window * 4);
    slots_ = { 100, 0 };
    CHECK(send(far, ShareLimit::window) > 0.9);
}

TEST(ShareLimit, SharesAreFreeWhileManyRequestsFail)
{
    send(near, ShareLimit::window * 4);
    isNearFault_ = true;
    CHECK(send(far, ShareLimit::window) > 0.4);
}

// Guards against requests that a target rejected and that count as if they had run.
TEST(ShareLimit, ARequestThatDidNotRunIsTakenBack)
{
    send(near, ShareLimit::window * 4);
    const std::vector<std::uint32_t> before = limit_.report(now_);
    limit_.onSent(far, now_);
    CHECK(limit_.report(now_) != before);
    limit_.onNotRun(far, now_);
    CHECK(limit_.report(now_) == before);
}

TEST(ShareLimit, FewRequestsAreNotLimited)
{
    vms_ = 1;
    CHECK(send(far, gap * 8) == 1);
}

TEST(ShareLimit, TheFirstSharesFollowTheSlotsAndTheCallersOfTheRegions)
{
    const struct
    {
        RegionValues slots;
        double regionShare;
        RegionValues expected;
    } cases[] = {
        { { 50, 50 }, 0.5, { 0, 1 } },
        { { 80, 20 }, 0.4, { 0.5, 0.5 } },
        { { 60, 30, 10 }, 0.6, { 0.25, 0.5, 0.25 } }, // 90 slots elsewhere, own: 30
        { { 0, 0 }, 0.5, { 0, 1 } },
    };
    for (const auto &one : cases) {
        const RegionValues shares = ShareLimit::expectedShares(one.slots, near, one.regionShare);
        double all = 0;
        for (const double share : shares)
            all += share;
        DOUBLES_EQUAL(1, all, 1e-9);
        DOUBLES_EQUAL(one.expected[near], shares[near], 1e-9);
    }
}
