// What the log and the readings tell of a VM whose knowledge of the store is older than that of
// others, or newer than what the store sends.
#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/gateway/storelink.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

std::vector<core::LogRecord> linesOf(const GatewayBench &bench, const core::LogEvent &event)
{
    std::vector<core::LogRecord> lines;
    std::copy_if(bench.logs().begin(), bench.logs().end(), std::back_inserter(lines),
                 [&](const auto &record) { return record.event.number == event.number; });
    return lines;
}

std::string field(const core::LogRecord &record, const std::string &name)
{
    for (const core::LogField &one : record.fields) {
        if (one.name == name)
            return one.value;
    }
    return {};
}

// A list of targets as of `revision`, as a response to a call of this VM.
RegistryListed targetsAsOf(std::uint64_t revision, StoreEra era)
{
    RegistryListed listed;
    listed.registry = Registry::Targets;
    listed.at = Revision(revision);
    listed.era = era;
    for (const Target &target : sampleTargets(3))
        listed.entries.push_back({ target.id.text(), Revision(revision), false, target });
    return listed;
}

} // namespace

TEST_GROUP(StoreObservation)
{
    GatewayBench bench;

    void setup() override
    {
        bench.begin(sampleConfig(1), sampleTargets(3), { sampleOptions("vm-2").vm });
    }
    void report(std::uint64_t sequence, std::uint64_t configVersion)
    {
        VmReport report;
        report.sequence = sequence;
        report.isReady = true;
        report.configVersion = configVersion;
        bench.reduce(PeerReportReceived { VmId("vm-2"), Incarnation(7), report });
    }
};

TEST(StoreObservation, OlderDataIsCountedAndLoggedOnceASecond)
{
    for (int i = 0; i < 10; ++i)
        bench.reduce(targetsAsOf(5, StoreEra()));
    const auto lines = linesOf(bench, core::log::storeDataIgnored);
    CHECK_EQUAL(1, lines.size());
    STRCMP_EQUAL("targets", field(lines[0], "registry").c_str());
    STRCMP_EQUAL("5", field(lines[0], "revision").c_str());
    STRCMP_EQUAL("0", field(lines[0], "era").c_str());
    STRCMP_EQUAL("0", field(lines[0], "knownEra").c_str());
    CHECK(std::stoull(field(lines[0], "known")) > 5);
    CHECK(bench.reducer().readings(bench.now()).ignoredStoreData >= 10);
    bench.advance(StoreLink::ignoredLogInterval);
    bench.reduce(targetsAsOf(5, StoreEra()));
    CHECK_EQUAL(2, linesOf(bench, core::log::storeDataIgnored).size());
}

TEST(StoreObservation, AChangedEraIsLoggedAndRead)
{
    CHECK_EQUAL(0, linesOf(bench, core::log::storeEraChanged).size());
    bench.reduce(targetsAsOf(501, StoreEra(3)));
    bench.reduce(targetsAsOf(501, StoreEra(3)));
    bench.reduce(targetsAsOf(90, StoreEra(4)));
    const auto lines = linesOf(bench, core::log::storeEraChanged);
    CHECK_EQUAL(2, lines.size());
    STRCMP_EQUAL("4", field(lines[1], "era").c_str());
    STRCMP_EQUAL("3", field(lines[1], "previous").c_str());
    CHECK_EQUAL(4, bench.reducer().readings(bench.now()).storeEra);
}

TEST(StoreObservation, AVmSaysOnceThatAnotherHasANewerConfiguration)
{
    for (std::uint64_t i = 1; i <= 8; ++i) {
        report(i, 9);
        bench.advance(Duration::millis(500));
    }
    const auto lines = linesOf(bench, core::log::configBehind);
    CHECK_EQUAL(1, lines.size());
    STRCMP_EQUAL("1", field(lines[0], "config").c_str());
    STRCMP_EQUAL("9", field(lines[0], "reported").c_str());
    CHECK_EQUAL(9, bench.reducer().readings(bench.now()).reportedConfigVersion);
}

TEST(StoreObservation, AVmThatCatchesUpWithinASecondSaysNothing)
{
    report(1, 9);
    bench.advance(Duration::millis(500));
    bench.putConfig(sampleConfig(9));
    bench.advance(Duration::seconds(3));
    CHECK_EQUAL(0, linesOf(bench, core::log::configBehind).size());
}

// Guards against a reader of an earlier version of the program, which goes by the state before the
// store was restored, and tells no era.
TEST(StoreObservation, AReportWithoutAnEraIsNotOfARestoredStore)
{
    bench.reduce(targetsAsOf(501, StoreEra(2)));
    bench.setEvacuated("near-2", true);
    bench.advance(Duration::seconds(2));
    CHECK_EQUAL(1, linesOf(bench, core::log::domainEvacuated).size());
    VmReport report;
    report.sequence = 1;
    report.isReady = true;
    report.readsStore = true;
    report.registryRevisions = { 0, 0, 9999 };
    bench.reduce(PeerReportReceived { VmId("vm-2"), Incarnation(7), report });
    bench.advance(Duration::seconds(1));
    CHECK_EQUAL(0, linesOf(bench, core::log::domainReturned).size());
}
