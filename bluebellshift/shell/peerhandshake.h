// Mutual authentication of two VMs by a common key, independent of sockets.
//
//   acceptor                                        dialler
//   start()          --- challenge: a nonce  --->   receive()
//   receive()        <-- hello and proof     ---
//                    --- hello and proof     --->   receive()
//   isDone()                                        isDone()
//
// A proof is an HMAC-SHA256 under the named key over both nonces, both VM ids,
// both incarnations, the versions and the role. The keys for the session's two
// directions are derived from the same input. Until the dialler is authenticated,
// the acceptor reveals nothing but a random nonce.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/shell/peerkeys.h"

namespace bluebellshift::shell {

inline constexpr std::size_t maxHandshakeFrameBytes = 512;

struct PeerIdentity
{
    core::VmId vm;
    core::Incarnation incarnation;
    int version = 0;
    int minVersion = 0; // the oldest supported version
};

class PeerHandshake
{
public:
    // `keys` must not be empty; `nonce` is 32 random bytes that are used only once.
    static PeerHandshake accept(PeerIdentity self, std::vector<PeerKey> keys, std::string nonce);
    // The other end must be the VM `expected`.
    static PeerHandshake dial(PeerIdentity self, core::VmId expected, std::vector<PeerKey> keys,
                              std::string nonce);

    // The acceptor's first frame.
    std::string start() const { return nonce_; }
    // Processes a frame from the other end and returns the frame to send, or an
    // empty string if there is none. PermissionDenied: the other end failed
    // authentication; InvalidArgument: not a handshake frame; FailedPrecondition: no
    // common version.
    absl::StatusOr<std::string> receive(const std::string &frame);

    bool isDone() const { return isDone_; }
    // The following are valid once isDone() returns true.
    const PeerIdentity &peer() const { return peer_; }
    const std::string &keyId() const { return keyId_; }
    const std::string &sendKey() const { return sendKey_; }
    const std::string &receiveKey() const { return receiveKey_; }

private:
    PeerHandshake(bool isDialler, PeerIdentity self, core::VmId expected, std::vector<PeerKey> keys,
                  std::string nonce);
    struct Hello;
    std::string makeHello(const core::VmId &to) const;
    static absl::StatusOr<Hello> parseHello(const std::string &frame);
    absl::Status checkHello(const Hello &hello) const;
    absl::StatusOr<std::string> answerChallenge(const std::string &frame);
    absl::StatusOr<std::string> verifyDialler(const std::string &frame);
    absl::StatusOr<std::string> verifyAcceptor(const std::string &frame);
    void deriveSessionKeys(const Hello &hello, const std::string &secret,
                           const std::string &transcript);

    bool isDialler_;
    PeerIdentity self_;
    core::VmId expected_;
    std::vector<PeerKey> keys_;
    std::string nonce_;
    std::string challenge_;    // dialler: the acceptor's nonce
    std::string diallerHello_; // without its proof
    std::string keyId_;
    bool isDone_ = false;
    PeerIdentity peer_;
    std::string sendKey_;
    std::string receiveKey_;
};

} // namespace bluebellshift::shell
