// Message authentication and authenticated encryption with GnuTLS. All byte
// sequences are stored in std::string.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace bluebellshift::shell {

inline constexpr std::size_t digestBytes = 32; // SHA-256

std::string toHex(std::string_view bytes);
// InvalidArgument unless `hex` is an even number of hexadecimal digits.
absl::StatusOr<std::string> fromHex(std::string_view hex);

std::string hmacSha256(std::string_view key, std::string_view bytes);
// The time taken does not depend on whether or where strings of equal length differ.
bool equalConstantTime(std::string_view a, std::string_view b);

// Encrypts or decrypts one direction of a session with AES-256-GCM. The frame number
// is the nonce, so a repeated, omitted or reordered frame fails to open.
//
//   FrameSealer sealer(key);   FrameSealer opener(key);
//   opener.open(sealer.seal("frame 0"));
class FrameSealer
{
public:
    explicit FrameSealer(
        const std::string &key); // 32 bytes; must not be used for anything else before
    ~FrameSealer();
    FrameSealer(FrameSealer &&) noexcept;
    FrameSealer &operator=(FrameSealer &&) noexcept;

    static constexpr std::size_t overheadBytes = 16;

    std::string seal(std::string_view frame);
    // PermissionDenied unless `sealed` is the sender's next frame.
    absl::StatusOr<std::string> open(std::string_view sealed);

private:
    struct Cipher;
    std::unique_ptr<Cipher> cipher_;
    std::uint64_t nextFrameNumber_ = 0;
};

} // namespace bluebellshift::shell
