// A frame is a CBOR array followed by its 32-byte proof. Each proof covers the
// label of the sender's role, so that a VM's own proof can't be reflected to it.
#include "bluebellshift/shell/peerhandshake.h"

#include <algorithm>

#include <fmt/format.h>

#include "bluebellshift/shell/cbor.h"
#include "bluebellshift/shell/crypto.h"
#include "bluebellshift/shell/structcodec.h"

namespace bluebellshift::shell {

struct PeerHandshake::Hello
{
    PeerIdentity from;
    core::VmId to;
    std::string nonce;
    std::string keyId;
    std::string body; // the bytes that the proof covers
    std::string proof;
};

namespace {

constexpr std::size_t nonceBytes = 32;
constexpr std::size_t helloFieldCount = 7;
constexpr char diallerProofLabel[] = "bluebellshift dialler proof";
constexpr char acceptorProofLabel[] = "bluebellshift acceptor proof";
constexpr char diallerFramesLabel[] = "bluebellshift dialler frames";
constexpr char acceptorFramesLabel[] = "bluebellshift acceptor frames";

// Prefixes each part with its length, so that different transcripts never collide.
std::string joinWithLengths(std::initializer_list<std::string> parts)
{
    std::string joined;
    for (const std::string &part : parts)
        joined += fmt::format("{}:", part.size()) + part;
    return joined;
}

} // namespace

PeerHandshake PeerHandshake::accept(PeerIdentity self, std::vector<PeerKey> keys, std::string nonce)
{
    return PeerHandshake(false, std::move(self), core::VmId(), std::move(keys), std::move(nonce));
}

PeerHandshake PeerHandshake::dial(PeerIdentity self, core::VmId expected, std::vector<PeerKey> keys,
                                  std::string nonce)
{
    return PeerHandshake(true, std::move(self), std::move(expected), std::move(keys),
                         std::move(nonce));
}

PeerHandshake::PeerHandshake(bool isDialler, PeerIdentity self, core::VmId expected,
                             std::vector<PeerKey> keys, std::string nonce)
    : isDialler_(isDialler)
    , self_(std::move(self))
    , expected_(std::move(expected))
    , keys_(std::move(keys))
    , nonce_(std::move(nonce))
    , keyId_(keys_.front().id)
{
}

absl::StatusOr<std::string> PeerHandshake::receive(const std::string &frame)
{
    if (isDone_ || frame.size() > maxHandshakeFrameBytes)
        return absl::InvalidArgumentError("unexpected frame in the handshake");
    if (!isDialler_)
        return verifyDialler(frame);
    return challenge_.empty() ? answerChallenge(frame) : verifyAcceptor(frame);
}

std::string PeerHandshake::makeHello(const core::VmId &to) const
{
    return writeCbor({ self_.version, self_.minVersion, toJson(self_.vm), toJson(to),
                       self_.incarnation.number(), toJson(nonce_), toJson(keyId_) });
}

absl::StatusOr<PeerHandshake::Hello> PeerHandshake::parseHello(const std::string &frame)
{
    if (frame.size() <= digestBytes)
        return absl::InvalidArgumentError("the hello is too short");
    Hello hello;
    hello.body = frame.substr(0, frame.size() - digestBytes);
    hello.proof = frame.substr(frame.size() - digestBytes);
    const absl::StatusOr<json> parsed = parseCbor(hello.body);
    if (!parsed.ok())
        return parsed.status();
    const json &array = *parsed;
    const bool isHello = array.is_array() && array.size() >= helloFieldCount
        && fromJson(array[0], &hello.from.version) && fromJson(array[1], &hello.from.minVersion)
        && fromJson(array[2], &hello.from.vm) && fromJson(array[3], &hello.to)
        && fromJson(array[4], &hello.from.incarnation) && fromJson(array[5], &hello.nonce)
        && fromJson(array[6], &hello.keyId);
    if (!isHello || hello.nonce.size() != nonceBytes || hello.from.vm.isEmpty())
        return absl::InvalidArgumentError("the hello has a missing or invalid field");
    return hello;
}

// Checks the addressee, the sender and the versions; called after the proof is verified.
absl::Status PeerHandshake::checkHello(const Hello &hello) const
{
    if (hello.to != self_.vm)
        return absl::PermissionDeniedError(
            fmt::format("the hello of VM \"{}\" is addressed to VM \"{}\"", hello.from.vm.text(),
                        hello.to.text()));
    if (hello.from.vm == self_.vm)
        return absl::PermissionDeniedError("the other end claims to be this VM");
    if (hello.from.version < self_.minVersion || self_.version < hello.from.minVersion)
        return absl::FailedPreconditionError(fmt::format(
            "VM \"{}\" has version {} and accepts {} or later; this VM has {} and accepts {}",
            hello.from.vm.text(), hello.from.version, hello.from.minVersion, self_.version,
            self_.minVersion));
    return absl::OkStatus();
}

absl::StatusOr<std::string> PeerHandshake::answerChallenge(const std::string &frame)
{
    if (frame.size() != nonceBytes)
        return absl::InvalidArgumentError("the challenge has a wrong length");
    challenge_ = frame;
    diallerHello_ = makeHello(expected_);
    const std::string proof = hmacSha256(
        keys_.front().secret, joinWithLengths({ diallerProofLabel, challenge_, diallerHello_ }));
    return diallerHello_ + proof;
}

absl::StatusOr<std::string> PeerHandshake::verifyDialler(const std::string &frame)
{
    const absl::StatusOr<Hello> hello = parseHello(frame);
    if (!hello.ok())
        return hello.status();
    const PeerKey *key = findPeerKey(keys_, hello->keyId);
    if (key == nullptr)
        return absl::PermissionDeniedError("the dialler names a key that is not known here");
    const std::string proof =
        hmacSha256(key->secret, joinWithLengths({ diallerProofLabel, nonce_, hello->body }));
    if (!equalConstantTime(proof, hello->proof))
        return absl::PermissionDeniedError("the dialler's proof is wrong");
    const absl::Status status = checkHello(*hello);
    if (!status.ok())
        return status;
    keyId_ = key->id;
    const std::string body = makeHello(hello->from.vm);
    const std::string transcript = joinWithLengths({ nonce_, hello->body, body });
    deriveSessionKeys(*hello, key->secret, transcript);
    return body + hmacSha256(key->secret, joinWithLengths({ acceptorProofLabel, transcript }));
}

absl::StatusOr<std::string> PeerHandshake::verifyAcceptor(const std::string &frame)
{
    const absl::StatusOr<Hello> hello = parseHello(frame);
    if (!hello.ok())
        return hello.status();
    const std::string transcript = joinWithLengths({ challenge_, diallerHello_, hello->body });
    const std::string &secret = keys_.front().secret;
    const std::string proof =
        hmacSha256(secret, joinWithLengths({ acceptorProofLabel, transcript }));
    if (!equalConstantTime(proof, hello->proof))
        return absl::PermissionDeniedError("the acceptor's proof is wrong");
    if (hello->from.vm != expected_ || hello->nonce != challenge_)
        return absl::PermissionDeniedError(fmt::format("VM \"{}\" answers in place of VM \"{}\"",
                                                       hello->from.vm.text(), expected_.text()));
    const absl::Status status = checkHello(*hello);
    if (!status.ok())
        return status;
    deriveSessionKeys(*hello, secret, transcript);
    return std::string();
}

void PeerHandshake::deriveSessionKeys(const Hello &hello, const std::string &secret,
                                      const std::string &transcript)
{
    peer_ = hello.from;
    sendKey_ = hmacSha256(
        secret,
        joinWithLengths({ isDialler_ ? diallerFramesLabel : acceptorFramesLabel, transcript }));
    receiveKey_ = hmacSha256(
        secret,
        joinWithLengths({ isDialler_ ? acceptorFramesLabel : diallerFramesLabel, transcript }));
    isDone_ = true;
}

} // namespace bluebellshift::shell
