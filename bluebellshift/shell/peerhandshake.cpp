// A frame is a CBOR array followed by its 32-byte proof. The role's label goes
// into each proof, so that a VM's own proof can't be reflected to it.
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
constexpr std::size_t helloFields = 7;
constexpr char diallerLabel[] = "bluebellshift dialler proof";
constexpr char acceptorLabel[] = "bluebellshift acceptor proof";
constexpr char diallerFrames[] = "bluebellshift dialler frames";
constexpr char acceptorFrames[] = "bluebellshift acceptor frames";

// Each part goes in with its length, so that no two transcripts collide.
std::string join(std::initializer_list<std::string> parts)
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
    if (isDone_ || frame.size() > handshakeFrameMost)
        return absl::InvalidArgumentError("unexpected frame in the handshake");
    if (!isDialler_)
        return checkDialler(frame);
    return challenge_.empty() ? answerChallenge(frame) : checkAcceptor(frame);
}

std::string PeerHandshake::makeHello(const core::VmId &to) const
{
    return writeCbor({ self_.version, self_.versionLeast, toJson(self_.vm), toJson(to),
                       self_.incarnation.number(), toJson(nonce_), toJson(keyId_) });
}

absl::StatusOr<PeerHandshake::Hello> PeerHandshake::parseHello(const std::string &frame)
{
    if (frame.size() <= digestBytes)
        return absl::InvalidArgumentError("hello is too short");
    Hello hello;
    hello.body = frame.substr(0, frame.size() - digestBytes);
    hello.proof = frame.substr(frame.size() - digestBytes);
    const absl::StatusOr<json> parsed = parseCbor(hello.body);
    if (!parsed.ok())
        return parsed.status();
    const json &array = *parsed;
    const bool isHello = array.is_array() && array.size() >= helloFields
        && fromJson(array[0], &hello.from.version) && fromJson(array[1], &hello.from.versionLeast)
        && fromJson(array[2], &hello.from.vm) && fromJson(array[3], &hello.to)
        && fromJson(array[4], &hello.from.incarnation) && fromJson(array[5], &hello.nonce)
        && fromJson(array[6], &hello.keyId);
    if (!isHello || hello.nonce.size() != nonceBytes || hello.from.vm.isEmpty())
        return absl::InvalidArgumentError("hello has a missing or wrong field");
    return hello;
}

// What must hold whoever the sender is; called after its proof was checked.
absl::Status PeerHandshake::checkHello(const Hello &hello) const
{
    if (hello.to != self_.vm)
        return absl::PermissionDeniedError(
            fmt::format("VM \"{}\" meant VM \"{}\"", hello.from.vm.text(), hello.to.text()));
    if (hello.from.vm == self_.vm)
        return absl::PermissionDeniedError("the other end claims to be this VM");
    if (hello.from.version < self_.versionLeast || self_.version < hello.from.versionLeast)
        return absl::FailedPreconditionError(
            fmt::format("VM \"{}\" speaks version {}, at least {}; this VM {}, at least {}",
                        hello.from.vm.text(), hello.from.version, hello.from.versionLeast,
                        self_.version, self_.versionLeast));
    return absl::OkStatus();
}

absl::StatusOr<std::string> PeerHandshake::answerChallenge(const std::string &frame)
{
    if (frame.size() != nonceBytes)
        return absl::InvalidArgumentError("the challenge has a wrong length");
    challenge_ = frame;
    diallerHello_ = makeHello(expected_);
    const std::string proof =
        hmacSha256(keys_.front().secret, join({ diallerLabel, challenge_, diallerHello_ }));
    return diallerHello_ + proof;
}

absl::StatusOr<std::string> PeerHandshake::checkDialler(const std::string &frame)
{
    const absl::StatusOr<Hello> hello = parseHello(frame);
    if (!hello.ok())
        return hello.status();
    const PeerKey *key = findPeerKey(keys_, hello->keyId);
    if (key == nullptr)
        return absl::PermissionDeniedError("the dialler names a key that is not known here");
    const std::string proof = hmacSha256(key->secret, join({ diallerLabel, nonce_, hello->body }));
    if (!equalConstantTime(proof, hello->proof))
        return absl::PermissionDeniedError("the dialler's proof is wrong");
    const absl::Status status = checkHello(*hello);
    if (!status.ok())
        return status;
    keyId_ = key->id;
    const std::string body = makeHello(hello->from.vm);
    const std::string transcript = join({ nonce_, hello->body, body });
    finish(*hello, key->secret, transcript);
    return body + hmacSha256(key->secret, join({ acceptorLabel, transcript }));
}

absl::StatusOr<std::string> PeerHandshake::checkAcceptor(const std::string &frame)
{
    const absl::StatusOr<Hello> hello = parseHello(frame);
    if (!hello.ok())
        return hello.status();
    const std::string transcript = join({ challenge_, diallerHello_, hello->body });
    const std::string &secret = keys_.front().secret;
    const std::string proof = hmacSha256(secret, join({ acceptorLabel, transcript }));
    if (!equalConstantTime(proof, hello->proof))
        return absl::PermissionDeniedError("the acceptor's proof is wrong");
    if (hello->from.vm != expected_ || hello->nonce != challenge_)
        return absl::PermissionDeniedError(fmt::format("VM \"{}\" answers in place of VM \"{}\"",
                                                       hello->from.vm.text(), expected_.text()));
    const absl::Status status = checkHello(*hello);
    if (!status.ok())
        return status;
    finish(*hello, secret, transcript);
    return std::string();
}

void PeerHandshake::finish(const Hello &hello, const std::string &secret,
                           const std::string &transcript)
{
    peer_ = hello.from;
    sendKey_ =
        hmacSha256(secret, join({ isDialler_ ? diallerFrames : acceptorFrames, transcript }));
    receiveKey_ =
        hmacSha256(secret, join({ isDialler_ ? acceptorFrames : diallerFrames, transcript }));
    isDone_ = true;
}

} // namespace bluebellshift::shell
