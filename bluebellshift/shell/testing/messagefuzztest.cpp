// Frames of peers with damaged or random content, decoded and handed to a gateway as its process
// does. Guards against a frame that ends the process: at most the message or the session ends.
#include "bluebellshift/shell/messagecodec.h"

#include <random>
#include <variant>

#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;
using shell::decodeMessage;
using shell::encodeMessage;

namespace {

constexpr int rounds = 20'000;
constexpr int roundsPerBench = 200; // a new gateway after each of these

const VmId peer("vm-2");
constexpr Incarnation peerIncarnation(7);

VmReport sampleReport()
{
    VmReport report;
    report.sequence = 1;
    report.isReady = true;
    report.configVersion = 1;
    report.uses = { { 1, 2 }, { 3, 4 } };
    report.readsStore = true;
    report.registryRevisions = { 1, 2, 3 };
    report.admissions = { { 1, 1000, 10 } };
    report.evacuated = { core::FailureDomainId("near-2") };
    report.targetLimits = { { 1, true, 4000, 10 } };
    report.leavingTargets = { { 1, 1775742164080, 10 } };
    report.regionRequests = { 20, 30 };
    report.failedRequests = 2;
    report.hasNoticedFault = true;
    report.faultAgeMillis = 300;
    report.arrivedRequests = 41;
    return report;
}

std::vector<core::Message> sampleMessages()
{
    const Target target = sampleTargets(1).front();
    const VmEntry vm = sampleOptions("vm-3").vm;
    const core::TargetUpdate targets { core::RevisionNumber(1),
                                       core::RevisionNumber(9),
                                       { { "t0", core::RevisionNumber(9), false, "", target } } };
    const core::VmUpdate vms { core::RevisionNumber(1),
                               core::RevisionNumber(9),
                               { { "vm-3", core::RevisionNumber(9), false, vm } } };
    const core::SpendingReport spending { { { 1, 20, 10, 5 } } };
    // After a restore of the store.
    VmReport laterReport = sampleReport();
    laterReport.storeEra = core::StoreEra(2);
    core::TargetUpdate laterTargets = targets;
    laterTargets.era = core::StoreEra(2);
    laterTargets.isComplete = true;
    core::VmUpdate laterVms = vms;
    laterVms.era = core::StoreEra(2);
    laterVms.isComplete = true;
    return { core::Heartbeat(),
             core::BorrowRequest(),
             core::ViewReply(),
             core::RelayRequest(),
             core::RelayReply(),
             sampleReport(),
             spending,
             targets,
             core::RelayedReports { { { VmId("vm-3"), peerIncarnation, 5, sampleReport() } } },
             core::RelayedSpending { VmId("vm-1"), peer, peerIncarnation, spending },
             vms,
             laterReport,
             laterTargets,
             laterVms };
}

// As gatewayd does with a message of a peer.
void handle(GatewayBench &bench, const core::Message &message)
{
    if (const auto *report = std::get_if<core::VmReport>(&message))
        bench.reduce(PeerReportReceived { peer, peerIncarnation, *report });
    else if (const auto *spending = std::get_if<core::SpendingReport>(&message))
        bench.reduce(PeerSpendingReceived { peer, peerIncarnation, *spending });
    else if (const auto *reports = std::get_if<core::RelayedReports>(&message))
        bench.reduce(PeerReportsRelayed { peer, *reports });
    else if (const auto *passed = std::get_if<core::RelayedSpending>(&message))
        bench.reduce(PeerSpendingRelayed { peer, *passed });
    else if (const auto *targets = std::get_if<core::TargetUpdate>(&message))
        bench.reduce(PeerTargetUpdateReceived { peer, *targets });
    else if (const auto *vms = std::get_if<core::VmUpdate>(&message))
        bench.reduce(PeerVmUpdateReceived { peer, *vms });
}

class Fuzz
{
public:
    explicit Fuzz(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::string damage(std::string bytes)
    {
        // Heads of long, indefinite and nested items, floating-point numbers, tags and breaks.
        static const unsigned char heads[] = { 0x1b, 0x3b, 0x5b, 0x5f, 0x7b, 0x7f, 0x9b, 0x9f,
                                               0xbb, 0xbf, 0xc0, 0xf9, 0xfa, 0xfb, 0xff, 0x80 };
        for (std::size_t i = random_() % 2 + 1; i > 0; --i) {
            const std::size_t at = random_() % bytes.size();
            switch (random_() % 8) {
            case 0:
            case 1:
            case 2:
            case 3:
                bytes[at] = static_cast<char>(random_());
                break;
            case 4:
                bytes[at] = static_cast<char>(random_() % 24); // a small number
                break;
            case 5:
                bytes[at] = static_cast<char>(heads[random_() % std::size(heads)]);
                break;
            case 6:
                bytes.insert(at, 1 + random_() % 9, static_cast<char>(random_()));
                break;
            default:
                bytes.erase(at, 1 + random_() % 3);
                bytes += '\0'; // never empty
            }
        }
        return bytes;
    }
    std::size_t below(std::size_t end) { return random_() % end; }

private:
    std::mt19937_64 random_;
};

} // namespace

TEST_GROUP(MessageFuzz) {};

TEST(MessageFuzz, AGatewayOutlivesDamagedMessages)
{
    Fuzz fuzz(20261206);
    const std::vector<core::Message> samples = sampleMessages();
    int decoded = 0;
    for (int begin = 0; begin < rounds; begin += roundsPerBench) {
        GatewayBench bench;
        bench.begin(sampleConfig(), sampleTargets(4), { sampleOptions("vm-2").vm });
        for (int round = 0; round < roundsPerBench; ++round) {
            const core::Message &sample = samples[fuzz.below(samples.size())];
            const auto message = decodeMessage(fuzz.damage(encodeMessage(sample)));
            if (!message.ok())
                continue;
            ++decoded;
            encodeMessage(*message); // it may be passed on
            handle(bench, *message);
            bench.request(static_cast<std::uint64_t>(begin + round + 1), openPath);
            bench.advance(core::Duration::millis(50));
        }
    }
    CHECK(decoded > rounds / 10); // the damage is not so heavy that nothing is handled
}

// A string of indefinite length may contain others, and nlohmann/json reads each with a recursive
// call: a frame of 4 MB exhausted the stack.
TEST(MessageFuzz, NestedStringsOfIndefiniteLengthAreRefused)
{
    for (const char head : { '\x5f', '\x7f' }) {
        CHECK(!decodeMessage(std::string(shell::maxMessageBytes, head)).ok());
        const std::string one = std::string("\x82\x00", 2) + head + '\xff';
        CHECK(!decodeMessage(one).ok());
    }
}
