// Checks, in virtual time, that an idle VM of the Association sends at most 4 KiB/s
// to the other 11 VMs.
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/testing/fleetworld.h"
#include "bluebellshift/shell/crypto.h"
#include "bluebellshift/shell/messagecodec.h"

using namespace bluebellshift::core;
using namespace bluebellshift::shell;

namespace {

constexpr std::int64_t maxBytesPerSecond = 4096;
constexpr int targetCount = 47;

// Returns the limits of 8 teams, 47 targets, 3 regions and the links between them.
std::vector<AccountLimit> associationLimits()
{
    std::vector<AccountLimit> limits;
    for (int team = 1; team <= 8; ++team)
        limits.push_back({ teamAccount(TeamId(fmt::format("team-{}", team))), 300, 600 });
    for (int target = 1; target <= targetCount; ++target) {
        const TargetId id(fmt::format("rota-{:02}", target));
        limits.push_back({ slotAccount(id), 0, 3 });
        limits.push_back({ connectionAccount(id), 0, 400 });
    }
    const RegionId regions[] = { RegionId("punjab"), RegionId("kpk"), RegionId("sindh") };
    for (const RegionId &from : regions) {
        limits.push_back({ regionAccount(from), 2400, 240 });
        for (const RegionId &to : regions) {
            if (from != to)
                limits.push_back({ linkAccount(from, to), 5e8, 5e7 });
        }
    }
    return limits;
}

} // namespace

TEST_GROUP(ControlTraffic) {};

TEST(ControlTraffic, AnIdleVmStaysWithinItsTrafficBound)
{
    FleetWorldOptions options;
    options.vms = makeVms(2);
    options.storeRegion = options.vms[0].region;
    options.limits = associationLimits();
    options.sizeOf = [](const Message &message) {
        return encodeMessage(message).size() + FrameSealer::overheadBytes;
    };
    FleetWorld world(options);
    world.startAll();
    world.run(Duration::seconds(60)); // lets the shares settle
    world.resetTraffic();
    const std::int64_t seconds = 20;
    world.run(Duration::seconds(seconds));
    for (std::size_t vm = 0; vm < world.size(); ++vm) {
        std::int64_t bytes = 0;
        for (const auto &[kind, count] : world.traffic(vm).bytes)
            bytes += count;
        CHECK_TEXT(bytes / seconds <= maxBytesPerSecond,
                   fmt::format("VM {} sends {} bytes/s", vm, bytes / seconds).c_str());
    }
}
