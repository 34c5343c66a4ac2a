#include "bluebellshift/shell/messagecodec.h"

#include <random>

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace bluebellshift::core;
using bluebellshift::shell::decodeMessage;
using bluebellshift::shell::encodeMessage;
using bluebellshift::shell::maxMessageBytes;
using nlohmann::json;

namespace {

Heartbeat idleHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.sequence = 100'000;
    heartbeat.echoedSequence = 99'999;
    heartbeat.echoDelay = Duration::micros(123'456);
    heartbeat.viewRevision = Revision(54'321);
    heartbeat.viewAge = Duration::millis(900);
    heartbeat.isReady = true;
    return heartbeat;
}

Heartbeat fullHeartbeat()
{
    Heartbeat heartbeat = idleHeartbeat();
    heartbeat.platformFailing = true;
    heartbeat.platformFailureAge = Duration::millis(3);
    heartbeat.isLeaving = true;
    heartbeat.requestsInFlight = 70'000;
    heartbeat.credits = { { AccountId("team/a"), -5, 6 }, { AccountId("team/b"), 7, 0 } };
    heartbeat.spareHints = { { AccountId("team/a"), 1'000'000'000 } };
    heartbeat.closings = { { VmId("vm-9"), Incarnation(UINT64_MAX), { { AccountId("x"), -1 } } } };
    return heartbeat;
}

RelayRequest relayRequest()
{
    RelayRequest request;
    request.correlation = 77;
    request.method = "POST";
    request.path = "/swap?day=3";
    request.service = ServiceId("rota");
    request.team = TeamId("multan");
    request.keyDigest = KeyDigest(std::string(64, 'a'));
    request.ticket = "ticket";
    request.headers = { { "Content-Type", "text/plain" }, { "X", std::string("\xff\x00", 2) } };
    request.body = std::string("a\0b\xff", 4);
    request.timeLeft = Duration::seconds(4);
    return request;
}

RelayReply relayReply()
{
    RelayReply reply;
    reply.correlation = 78;
    reply.isAnswer = true;
    reply.answer = { 200, { { "A", "b" } }, "body" };
    reply.refusal = { RefusalCode::OverRate, Run::Ran, "text", 12 };
    return reply;
}

std::vector<Message> sampleMessages()
{
    return { idleHeartbeat(),
             fullHeartbeat(),
             BorrowRequest { { { AccountId("team/a"), 3, 4 } }, 7 },
             BorrowReply { { { AccountId("team/a"), 3, 4 } },
                           { { AccountId("b"), 9 } },
                           5,
                           6,
                           7,
                           8,
                           { { AccountId("b"), 10 } } },
             ViewRequest { Revision(9) },
             ViewReply { Revision(9),
                         Duration::millis(5),
                         true,
                         { { "keys", "multan", Revision(8), "{}", false },
                           { "keys", "gone", Revision(9), "", true } } },
             relayRequest(),
             relayReply(),
             RelayCancel { 5 } };
}

constexpr StoreEra someEra(UINT64_MAX);

VmReport reportWithEra()
{
    VmReport report;
    report.sequence = 5;
    report.registryRevisions = { 1, 2, 3 };
    report.arrivedRequests = 41;
    report.storeEra = someEra;
    return report;
}

TargetUpdate targetUpdateWithEra()
{
    TargetUpdate update;
    update.after = RevisionNumber(1);
    update.upTo = RevisionNumber(9);
    update.changes = { { "t0", RevisionNumber(9), true, "", {} } };
    update.era = someEra;
    update.isComplete = true;
    return update;
}

VmUpdate vmUpdateWithEra()
{
    VmUpdate update;
    update.after = RevisionNumber(1);
    update.upTo = RevisionNumber(9);
    update.changes = { { "vm-3", RevisionNumber(9), true, {} } };
    update.era = someEra;
    update.isComplete = true;
    return update;
}

json encodedAsJson(const Message &message)
{
    return json::from_cbor(encodeMessage(message));
}

absl::StatusOr<Message> decodeJson(const json &value)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(value);
    return decodeMessage(std::string(bytes.begin(), bytes.end()));
}

// The message as a version writes it whose struct lacks the last `fields`.
json withoutLast(const Message &message, std::size_t fields)
{
    json value = encodedAsJson(message);
    for (; fields > 0; --fields)
        value.erase(value.size() - 1);
    return value;
}

} // namespace

TEST_GROUP(MessageCodec) {};

TEST(MessageCodec, EveryMessageRoundTrips)
{
    for (const Message &message : sampleMessages()) {
        const std::string bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        CHECK_TEXT(decoded.ok(), decoded.status().ToString().c_str());
        LONGS_EQUAL(message.index(), decoded->index());
        CHECK(bytes == encodeMessage(*decoded));
    }
    // The comparison of bytes above would miss a field that is not in the list of fields.
    const auto request = decodeMessage(encodeMessage(relayRequest()));
    const auto &relay = std::get<RelayRequest>(*request);
    CHECK(relay.body == std::string("a\0b\xff", 4));
    CHECK(relay.headers[1].value == std::string("\xff\x00", 2));
    CHECK(relay.timeLeft == Duration::seconds(4));
    const auto beat = decodeMessage(encodeMessage(fullHeartbeat()));
    const auto &heartbeat = std::get<Heartbeat>(*beat);
    CHECK(heartbeat.closings[0].incarnation == Incarnation(UINT64_MAX));
    CHECK(heartbeat.closings[0].accounts[0].netReceived == -1);
    CHECK(heartbeat.credits[0].shareGiven == -5);
    LONGS_EQUAL(70'000, heartbeat.requestsInFlight);
}

TEST(MessageCodec, IdleHeartbeatIsSmall)
{
    CHECK(encodeMessage(idleHeartbeat()).size() <= 32);
}

TEST(MessageCodec, EveryTruncationIsRefused)
{
    for (const Message &message : sampleMessages()) {
        const std::string bytes = encodeMessage(message);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK(!decodeMessage(std::string_view(bytes).substr(0, length)).ok());
        CHECK(!decodeMessage(bytes + "\x01").ok());
    }
}

TEST(MessageCodec, RandomAndDamagedBytesDoNoHarm)
{
    std::mt19937_64 random(20261204);
    const std::vector<Message> samples = sampleMessages();
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes;
        if (round % 2 == 0) {
            bytes.resize(random() % 64);
            for (char &c : bytes)
                c = static_cast<char>(random());
        } else {
            bytes = encodeMessage(samples[random() % samples.size()]);
            for (int i = 0; i < 3; ++i)
                bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        const auto decoded = decodeMessage(bytes);
        if (decoded.ok())
            encodeMessage(*decoded);
    }
}

TEST(MessageCodec, HostileShapesAreRefused)
{
    const std::string deep(100'000, '\x81');
    CHECK(!decodeMessage(deep).ok());
    const std::string hugeArray("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9);
    CHECK(!decodeMessage(hugeArray).ok());
    const std::string hugeText("\x82\x04\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 11);
    CHECK(!decodeMessage(hugeText).ok());
    const std::string endless("\x9f\x04\x01\xff", 4);
    CHECK(!decodeMessage(endless).ok());
    CHECK(!decodeMessage(std::string(maxMessageBytes + 1, '\x01')).ok());
    std::vector<std::uint8_t> list = json::to_cbor(json { 1, json(std::vector<int>(5000, 1)) });
    CHECK(!decodeMessage(std::string(list.begin(), list.end())).ok());
}

TEST(MessageCodec, OtherVersionsAreUnderstood)
{
    const auto decode = [](const json &value) {
        const std::vector<std::uint8_t> bytes = json::to_cbor(value);
        return decodeMessage(std::string(bytes.begin(), bytes.end()));
    };
    // A later version has additional fields at the end.
    const auto later = decode({ 3, 9, "new", json::array({ 1 }) });
    CHECK(later.ok());
    CHECK(std::get<ViewRequest>(*later).after == Revision(9));
    // An earlier version has fewer fields.
    const auto earlier = decode({ 0, 5, 4 });
    CHECK(earlier.ok());
    LONGS_EQUAL(5, std::get<Heartbeat>(*earlier).sequence);
    CHECK(std::get<Heartbeat>(*earlier).credits.empty());
    // The message type is unknown to this version.
    CHECK(decode({ 200, 1 }).status().code() == absl::StatusCode::kUnimplemented);
    // An unknown refusal code is read as an unknown outcome.
    const auto refusal = decode({ 6, 1, false, json::array(), json::array({ 999, 99 }) });
    CHECK(refusal.ok());
    CHECK(std::get<RelayReply>(*refusal).refusal.code == RefusalCode::OutcomeUnknown);
    CHECK(std::get<RelayReply>(*refusal).refusal.run == Run::Unknown);
}

TEST(MessageCodec, WrongTypesOfFieldsAreRefused)
{
    const json cases[] = {
        { 0, "text" },
        { 0, -1 },
        { 0, 1.5 },
        { 0, 1, 2, 0, 0, UINT64_MAX },
        { 0, 1, 1, 1, 1, 1, 1 },
        { 1, 5 },
        { 3, -1 },
        json::object({ { "a", 1 } }),
        json::array(),
        json::array({ "a" }),
        5,
        { 6, 1, false, { 70000000000 } },
    };
    for (const json &value : cases) {
        const std::vector<std::uint8_t> bytes = json::to_cbor(value);
        const auto decoded = decodeMessage(std::string(bytes.begin(), bytes.end()));
        CHECK_TEXT(!decoded.ok(), value.dump().c_str());
    }
}

TEST(MessageCodec, TheStoresEraOfReportsAndUpdatesRoundTrips)
{
    const auto report = decodeMessage(encodeMessage(reportWithEra()));
    CHECK(std::get<VmReport>(*report).storeEra == someEra);
    CHECK_EQUAL(41U, std::get<VmReport>(*report).arrivedRequests);
    const RelayedReports relayed { { { VmId("vm-3"), Incarnation(7), 5, reportWithEra() } } };
    const auto reports = decodeMessage(encodeMessage(relayed));
    CHECK(std::get<RelayedReports>(*reports).reports[0].report.storeEra == someEra);
    const auto targets = decodeMessage(encodeMessage(targetUpdateWithEra()));
    CHECK(std::get<TargetUpdate>(*targets).era == someEra);
    CHECK(std::get<TargetUpdate>(*targets).isComplete);
    CHECK(std::get<TargetUpdate>(*targets).upTo == RevisionNumber(9));
    const auto vms = decodeMessage(encodeMessage(vmUpdateWithEra()));
    CHECK(std::get<VmUpdate>(*vms).era == someEra);
    CHECK(std::get<VmUpdate>(*vms).isComplete);
    CHECK(std::get<VmUpdate>(*vms).upTo == RevisionNumber(9));
}

// Guards against VMs of two versions that refuse each other's reports during an upgrade.
TEST(MessageCodec, ReportsAndUpdatesWithoutTheStoresEraHaveNone)
{
    const auto report = decodeJson(withoutLast(reportWithEra(), 1));
    CHECK(report.ok());
    CHECK(std::get<VmReport>(*report).storeEra == StoreEra());
    CHECK_EQUAL(41U, std::get<VmReport>(*report).arrivedRequests);
    CHECK_EQUAL(3U, std::get<VmReport>(*report).registryRevisions.size());
    for (const std::size_t lacking : { 1, 2 }) {
        const StoreEra era = lacking == 1 ? someEra : StoreEra();
        const auto targets = decodeJson(withoutLast(targetUpdateWithEra(), lacking));
        CHECK(targets.ok());
        CHECK(std::get<TargetUpdate>(*targets).era == era);
        CHECK(!std::get<TargetUpdate>(*targets).isComplete);
        CHECK_EQUAL(1U, std::get<TargetUpdate>(*targets).changes.size());
        const auto vms = decodeJson(withoutLast(vmUpdateWithEra(), lacking));
        CHECK(vms.ok());
        CHECK(std::get<VmUpdate>(*vms).era == era);
        CHECK(!std::get<VmUpdate>(*vms).isComplete);
        CHECK_EQUAL(1U, std::get<VmUpdate>(*vms).changes.size());
    }
    // Where the store tells no era, the bytes are those of the earlier version.
    VmUpdate update = vmUpdateWithEra();
    update.era = StoreEra();
    update.isComplete = false;
    CHECK(encodedAsJson(update) == withoutLast(vmUpdateWithEra(), 2));
}

TEST(MessageCodec, ErasAndRevisionsOfWrongTypesAreRefused)
{
    const json wrong[] = { -1, 1.5, "7", nullptr, true, json::array({ 1 }) };
    const Message messages[] = { reportWithEra(), targetUpdateWithEra(), vmUpdateWithEra() };
    for (const Message &message : messages) {
        const bool isReport = std::holds_alternative<VmReport>(message);
        for (const json &value : wrong) {
            json damaged = encodedAsJson(message);
            damaged[damaged.size() - (isReport ? 1 : 2)] = value;
            CHECK_TEXT(!decodeJson(damaged).ok(), value.dump().c_str());
            if (isReport)
                continue;
            damaged = encodedAsJson(message);
            damaged[1] = value; // `after`
            CHECK_TEXT(!decodeJson(damaged).ok(), value.dump().c_str());
        }
    }
}
