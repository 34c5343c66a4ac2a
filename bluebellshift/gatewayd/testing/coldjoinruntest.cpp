// Guards against more requests to a cold target than it tolerates, from VMs that are replaced all
// at once: as long as none of them knew another, each took itself for the one that may send.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "bluebellshift/gatewayd/testing/fleetrun.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gatewayd::testing;
using std::chrono::milliseconds;

namespace {

constexpr double coldPerSecond = 3.6;           // cold_per_s
constexpr double boundInSecond = 3.6 * 1.5 + 5; // with cold_overage and cold_slack
constexpr double coldSeconds = 12;
constexpr milliseconds beatInterval { 500 }; // of a target that warms up
constexpr char vmKind[] = "bluebellshift-vms";

int maxInSecond(const ListedTarget &target)
{
    std::vector<TestClock::time_point> times;
    for (const ListedTarget::Arrival &arrival : target.arrivals())
        times.push_back(arrival.at);
    int most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= milliseconds(1000))
            ++first;
        most = std::max(most, static_cast<int>(last - first + 1));
    }
    return most;
}

} // namespace

TEST_GROUP(ColdJoinRun) {};

TEST(ColdJoinRun, ReplacedVmsKeepTheBoundOfAColdTarget)
{
    FleetRunOptions options;
    options.targets = 6;
    options.restartInterval = milliseconds(60);
    FleetRun run(options);
    run.config().setColdRate(coldPerSecond);
    CHECK(run.start());
    run.publish();
    run.runFor(contactTime + milliseconds(2500));
    const std::size_t old = run.targets().size();
    for (int i = 0; i < 6; ++i)
        run.addTarget(coldSeconds);
    double left = coldSeconds;
    run.every(beatInterval, [&] {
        left -= 0.5;
        for (std::size_t i = old; i < run.targets().size(); ++i)
            run.targets()[i]->setWarmup(left);
        return left > 0.5;
    });
    for (std::size_t i = 0; i < old; ++i)
        run.targets()[i]->leave();
    run.runFor(milliseconds(800));
    for (std::size_t vm = 0; vm < run.vmCount(); ++vm) {
        run.kill(vm);
        run.store().remove(vmKind, "vm-" + std::to_string(vm));
    }
    run.runFor(milliseconds(static_cast<int>(left * 1000) - 1000)); // they are cold until then
    std::size_t arrived = 0;
    int most = 0;
    for (std::size_t i = old; i < run.targets().size(); ++i) {
        arrived += run.targets()[i]->arrivals().size();
        most = std::max(most, maxInSecond(*run.targets()[i]));
    }
    const FleetRun::Result result = run.finish();
    const std::string text = std::to_string(arrived) + " requests at cold targets, at most "
        + std::to_string(most) + " in a second at one; " + result.text();
    CHECK_TEXT(arrived > 0 && most <= boundInSecond && result.ownEnds.empty(), text.c_str());
    UT_PRINT(text.c_str());
}
