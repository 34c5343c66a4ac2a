// Message authentication and authenticated encryption, by GnuTLS. All byte
// sequences are held in std::string.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace bluebellshift::shell {

inline constexpr std::size_t digestBytes = 32; // SHA-256

std::string toHex(std::string_view bytes);
// InvalidArgument if `hex` is not an even number of hexadecimal digits.
absl::StatusOr<std::string> fromHex(std::string_view hex);

std::string hmacSha256(std::string_view key, std::string_view bytes);
// Takes the same time whether and wherever the two differ.
bool equalConstantTime(std::string_view a, std::string_view b);

// One direction of a session: AES-256-GCM with the frame's number as nonce, so
// that a frame repeated, left out or out of order does not open.
//
//   FrameSealer sealer(key);   FrameSealer opener(key);
//   opener.open(sealer.seal("frame 0"));
class FrameSealer
{
public:
    explicit FrameSealer(const std::string &key); // 32 bytes, never used before
    ~FrameSealer();
    FrameSealer(FrameSealer &&) noexcept;
    FrameSealer &operator=(FrameSealer &&) noexcept;

    static constexpr std::size_t overheadBytes = 16;

    std::string seal(std::string_view frame);
    // PermissionDenied unless `sealed` is the next frame of the sender.
    absl::StatusOr<std::string> open(std::string_view sealed);

private:
    struct Cipher;
    std::unique_ptr<Cipher> cipher_;
    std::uint64_t next_ = 0;
};

} // namespace bluebellshift::shell
