// What a VM learns while it has no path to the store, and in which order it catches up. Load
// that this answers: a VM with a link of 10 Mbit/s is cut off from the store while
// configurations of 1,800 routes follow each other and a failure domain is evacuated.
#include "bluebellshift/gateway/storelink.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"
#include "bluebellshift/gateway/testing/storefleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr std::size_t linkBytesPerSecond = 10'000'000 / 8;
constexpr std::size_t configBytes = 1800 * 350; // 1,800 routes
constexpr Duration evacuationBound = Duration::seconds(5);

int configsInForce(const GatewayBench &bench)
{
    return static_cast<int>(
        std::count_if(bench.logs().begin(), bench.logs().end(), [](const core::LogRecord &record) {
            return record.event.number == core::log::configInForce.number;
        }));
}

// Sends requests that need most of the slots at once, and returns whether one went to a
// target of the domain.
bool sendsTo(GatewayBench &bench, const std::vector<Target> &targets, const FailureDomainId &domain,
             std::uint64_t firstRequest)
{
    constexpr std::uint64_t requestCount = 8;
    for (std::uint64_t id = firstRequest; id < firstRequest + requestCount; ++id)
        bench.request(id, openPath);
    bool isUsed = false;
    for (const SendAttempt &attempt : bench.takeSent()) {
        const auto target = std::find_if(targets.begin(), targets.end(), [&](const Target &one) {
            return one.id == attempt.target;
        });
        isUsed = isUsed || target->failureDomain == domain;
        bench.answer(attempt.request.number(), 200);
    }
    bench.takeSent();
    return isUsed;
}

// Reports of a VM that reads the store for others.
class ReaderVm
{
public:
    explicit ReaderVm(GatewayBench &bench)
        : bench_(bench)
    {
        entry_ = sampleOptions("vm-2").vm;
    }

    const VmEntry &entry() const { return entry_; }

    void report(std::uint64_t evacuationsRevision, std::vector<FailureDomainId> evacuated)
    {
        VmReport report;
        report.sequence = ++sequence_;
        report.isReady = true;
        report.readsStore = true;
        report.registryRevisions = { 0, 0, evacuationsRevision };
        report.evacuated = std::move(evacuated);
        bench_.reduce(PeerReportReceived { entry_.id, entry_.incarnation, report });
    }

private:
    GatewayBench &bench_;
    VmEntry entry_;
    std::uint64_t sequence_ = 0;
};

const FailureDomainId near2("near-2");

} // namespace

TEST_GROUP(StoreOutage)
{
    GatewayBench bench;
    std::vector<Target> targets = sampleTargets(6);
};

TEST(StoreOutage, AVmWithoutTheStoreLearnsEvacuationsFromReports)
{
    ReaderVm reader(bench);
    bench.begin(sampleConfig(), targets, { reader.entry() });
    CHECK(sendsTo(bench, targets, near2, 1));
    bench.setStoreDown(true);
    bench.advance(Duration::seconds(3));
    reader.report(1000, { near2 });
    CHECK_FALSE(sendsTo(bench, targets, near2, 100));
    reader.report(999, {}); // older than what is known
    CHECK_FALSE(sendsTo(bench, targets, near2, 200));
    reader.report(1001, {});
    bench.advance(Duration::seconds(6)); // the domain's targets count as cold for a while
    CHECK(sendsTo(bench, targets, near2, 300));
}

TEST(StoreOutage, AVmThatReturnsReadsTheNewestConfigurationOnlyAndEvacuationsFirst)
{
    bench.begin(sampleConfig(1), targets);
    bench.setLink(linkBytesPerSecond, configBytes);
    bench.setStoreDown(true);
    bench.advance(Duration::seconds(4));
    for (std::uint64_t version = 2; version <= 12; ++version) {
        bench.putConfig(sampleConfig(version));
        bench.advance(Duration::millis(500));
    }
    bench.setEvacuated(near2.text(), true);
    const int before = configsInForce(bench);
    bench.setStoreDown(false);
    bench.advance(Duration::seconds(1));
    CHECK_FALSE(sendsTo(bench, targets, near2, 1));
    bench.advance(evacuationBound - Duration::seconds(1));
    CHECK_EQUAL(12U, bench.reducer().readings(bench.now()).configVersion);
    CHECK_EQUAL(1, configsInForce(bench) - before);
}

TEST(StoreOutage, AFollowerThatLosesTheStoreProbesItUntilItReturns)
{
    std::vector<VmEntry> vms;
    for (int i = 2; i <= 30; ++i)
        vms.push_back(sampleOptions("vm-" + std::to_string(i)).vm);
    bench.begin(sampleConfig(), targets, vms);
    VmReport report;
    report.isReady = true;
    report.registryRevisions = { 0, 1, 0 };
    const auto reportAll = [&](int times) {
        for (; times > 0; --times) {
            ++report.sequence;
            for (const VmEntry &vm : vms) {
                report.readsStore = vm.id == VmId("vm-2") || vm.id == VmId("vm-3");
                bench.reduce(PeerReportReceived { vm.id, vm.incarnation, report });
            }
            bench.advance(Duration::millis(250));
        }
    };
    reportAll(8);
    bench.setStoreDown(true);
    report.registryRevisions = { 0, 5000, 0 }; // the calls for the missed change fail
    reportAll(8);
    CHECK(bench.reducer().readings(bench.now()).isStoreLost);
    report.registryRevisions = { 0, 5000, 6000 }; // evacuations need no call
    report.evacuated = { near2 };
    reportAll(4);
    bench.setStoreDown(false);
    reportAll(4);
    CHECK_FALSE(bench.reducer().readings(bench.now()).isStoreLost);
}

// Guards against a VM that counts the store as lost after a short silence, and then waits for a
// watch that goes on before it calls the store again.
TEST(StoreOutage, AVmReadsWhatItMissedInAShortSilence)
{
    for (std::int64_t phase = 0; phase < 3000; phase += 60) {
        StoreFleet fleet(1, 1);
        fleet.run(Duration::millis(6000 + phase));
        // The watches of these begin anew right before the silence, others at another time.
        fleet.putTarget(StoreFleet::target(StoreFleet::targetCount));
        fleet.putConfig(2);
        fleet.run(StoreLink::changeBatchTime + Duration::millis(40));
        const Duration silence = Duration::millis(400);
        fleet.store().setAway(fleet.now(), silence, StoreModel::Fault::Silent);
        fleet.run(silence);
        fleet.putConfig(3);
        fleet.run(StoreFleet::contact);
        CHECK_EQUAL(3U, fleet.versionOf(0));
    }
}
