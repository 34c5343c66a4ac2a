#include "bluebellshift/shell/peerhandshake.h"

#include <random>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/shell/crypto.h"

using bluebellshift::base::randomBytes;
using namespace bluebellshift::core;
using namespace bluebellshift::shell;

namespace {

PeerKey key(char fill)
{
    return { std::string("key-") + fill, std::string(32, fill) };
}

PeerIdentity identity(const char *vm, std::uint64_t incarnation, int version = 2,
                      int minVersion = 1)
{
    return { VmId(vm), Incarnation(incarnation), version, minVersion };
}

PeerHandshake acceptor(std::vector<PeerKey> keys, int version = 2, int minVersion = 1)
{
    return PeerHandshake::accept(identity("b", 22, version, minVersion), std::move(keys),
                                 randomBytes(32));
}

PeerHandshake dialler(std::vector<PeerKey> keys, const char *expected = "b", int version = 2,
                      int minVersion = 1)
{
    return PeerHandshake::dial(identity("a", 11, version, minVersion), VmId(expected),
                               std::move(keys), randomBytes(32));
}

// Runs the handshake; returns the first failure of either end.
absl::Status shakeHands(PeerHandshake *accepting, PeerHandshake *dialling)
{
    const auto hello = dialling->receive(accepting->start());
    if (!hello.ok())
        return hello.status();
    const auto answer = accepting->receive(*hello);
    if (!answer.ok())
        return answer.status();
    return dialling->receive(*answer).status();
}

} // namespace

TEST_GROUP(PeerHandshake) {};

TEST(PeerHandshake, BothEndsProveThemselvesAndShareSessionKeys)
{
    PeerHandshake b = acceptor({ key('x') });
    PeerHandshake a = dialler({ key('x') });
    CHECK(shakeHands(&b, &a).ok());
    CHECK(a.isDone() && b.isDone());
    CHECK(a.peer().vm == VmId("b") && a.peer().incarnation == Incarnation(22));
    CHECK(b.peer().vm == VmId("a") && b.peer().incarnation == Incarnation(11));
    CHECK(a.sendKey() == b.receiveKey() && a.receiveKey() == b.sendKey());
    CHECK(a.sendKey() != a.receiveKey());
}

TEST(PeerHandshake, KeysAreChosenByIdWhileOneIsRenewed)
{
    const struct
    {
        std::vector<PeerKey> accepting;
        std::vector<PeerKey> dialling;
        bool works;
        const char *keyId;
    } cases[] = {
        { { key('o') }, { key('o') }, true, "key-o" },
        { { key('o'), key('n') }, { key('o') }, true, "key-o" },
        { { key('o') }, { key('o'), key('n') }, true, "key-o" },
        { { key('o'), key('n') }, { key('n'), key('o') }, true, "key-n" },
        { { key('n'), key('o') }, { key('o'), key('n') }, true, "key-o" },
        { { key('n') }, { key('n'), key('o') }, true, "key-n" },
        { { key('n') }, { key('o') }, false, "" },
        { { { "key-o", std::string(32, 'z') } }, { key('o') }, false, "" },
    };
    for (const auto &c : cases) {
        PeerHandshake b = acceptor(c.accepting);
        PeerHandshake a = dialler(c.dialling);
        LONGS_EQUAL(c.works, shakeHands(&b, &a).ok());
        LONGS_EQUAL(c.works, b.isDone());
        if (c.works)
            STRCMP_EQUAL(c.keyId, b.keyId().c_str());
    }
}

TEST(PeerHandshake, VersionsMustOverlap)
{
    const struct
    {
        int version, minVersion, otherVersion, otherMinVersion;
        bool works;
    } cases[] = { { 2, 1, 1, 1, true },
                  { 1, 1, 2, 1, true },
                  { 2, 2, 1, 1, false },
                  { 1, 1, 3, 2, false },
                  { 3, 2, 2, 1, true } };
    for (const auto &c : cases) {
        PeerHandshake b = acceptor({ key('x') }, c.version, c.minVersion);
        PeerHandshake a = dialler({ key('x') }, "b", c.otherVersion, c.otherMinVersion);
        const absl::Status status = shakeHands(&b, &a);
        LONGS_EQUAL(c.works, status.ok());
        if (!c.works)
            CHECK(status.code() == absl::StatusCode::kFailedPrecondition);
    }
}

TEST(PeerHandshake, AnotherVmThanTheOneDialledIsRefused)
{
    PeerHandshake b = acceptor({ key('x') });
    PeerHandshake a = dialler({ key('x') }, "c");
    CHECK(absl::IsPermissionDenied(shakeHands(&b, &a)));
}

TEST(PeerHandshake, ARecordedHelloDoesNotWorkAgain)
{
    PeerHandshake b = acceptor({ key('x') });
    PeerHandshake a = dialler({ key('x') });
    const auto hello = a.receive(b.start());
    CHECK(b.receive(*hello).ok());
    PeerHandshake later = acceptor({ key('x') });
    CHECK(absl::IsPermissionDenied(later.receive(*hello).status()));
}

TEST(PeerHandshake, AnEndsOwnProofDoesNotWorkWhenReflected)
{
    PeerHandshake a = dialler({ key('x') });
    const std::string challenge = randomBytes(32);
    const auto hello = a.receive(challenge);
    CHECK(!a.receive(*hello).ok());
    CHECK(!a.isDone());
}

TEST(PeerHandshake, GarbageIsRefused)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 3000; ++round) {
        PeerHandshake b = acceptor({ key('x') });
        PeerHandshake a = dialler({ key('x') });
        std::string frame = *a.receive(b.start());
        if (round % 3 == 0)
            frame.resize(random() % frame.size());
        else if (round % 3 == 1)
            frame[random() % frame.size()] ^= static_cast<char>(1 + random() % 255);
        else
            for (char &c : frame)
                c = static_cast<char>(random());
        CHECK(!b.receive(frame).ok());
        CHECK(!b.isDone());
    }
    CHECK(!acceptor({ key('x') }).receive(std::string(100'000, '\x81')).ok());
}

TEST(PeerHandshake, SealedFramesOpenOnceAndInOrder)
{
    FrameSealer sealer(std::string(32, 'k'));
    FrameSealer opener(std::string(32, 'k'));
    const std::string first = sealer.seal("first");
    const std::string second = sealer.seal("");
    const std::string third = sealer.seal("third");
    CHECK(*opener.open(first) == "first");
    CHECK(!opener.open(first).ok());
    CHECK(!opener.open(third).ok());
    std::string damaged = second;
    damaged.back() ^= 1;
    CHECK(!opener.open(damaged).ok());
    CHECK(!opener.open("short").ok());
    CHECK(*opener.open(second) == "");
    CHECK(*opener.open(third) == "third");
    CHECK(!FrameSealer(std::string(32, 'l')).open(first).ok());
}

TEST(PeerHandshake, KeysFileIsReadStrictly)
{
    const std::string good = "[[key]]\nid = \"k\"\nsecret = \"" + std::string(64, 'a') + "\"\n";
    const auto keys = parsePeerKeys(
        "f", good + "[[key]]\nid = \"l\"\nsecret = \"" + std::string(64, 'B') + "\"\n");
    CHECK_TEXT(keys.ok(), keys.status().ToString().c_str());
    LONGS_EQUAL(2, keys->size());
    CHECK(keys->at(0).secret == std::string(32, '\xaa'));
    const struct
    {
        std::string text;
        const char *message;
    } cases[] = {
        { good + good, "f:5: key.id \"k\" is not unique" },
        { "[[key]]\nid = \"k\"\nsecret = \"1234\"", "f:3: key.secret of key \"k\" must be 64" },
        { "", "at least one table [[key]]" },
        { good + "secrets = 1", "unknown key key.secrets 1" },
    };
    for (const auto &c : cases) {
        const std::string message(parsePeerKeys("f", c.text).status().message());
        STRCMP_CONTAINS(c.message, message.c_str());
        CHECK(message.find("1234") == std::string::npos);
    }
    CHECK(loadPeerKeys("deploy/association/peer-keys.toml").ok());
    CHECK(loadPeerKeys("deploy/kolednik/peer-keys.toml").ok());
}
