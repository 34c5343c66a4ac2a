// If a primitive of the library fails on valid arguments, confidentiality can't be
// guaranteed, so the process aborts.
#include "bluebellshift/shell/crypto.h"
#include "bluebellshift/base/hex.h"

#include <array>
#include <cstdlib>
#include <cstring>

#include <fmt/format.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace bluebellshift::shell {
namespace {

constexpr std::size_t nonceBytes = 12;

void abortUnless(bool holds, const char *what)
{
    if (holds)
        return;
    fmt::print(stderr, "GnuTLS failed: {}\n", what);
    std::abort();
}

std::array<unsigned char, nonceBytes> frameNonce(std::uint64_t number)
{
    std::array<unsigned char, nonceBytes> nonce {};
    for (std::size_t i = 0; i < sizeof(number); ++i)
        nonce[nonceBytes - 1 - i] = static_cast<unsigned char>(number >> (8 * i));
    return nonce;
}

} // namespace

std::string toHex(std::string_view bytes)
{
    static const char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

absl::StatusOr<std::string> fromHex(std::string_view hex)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        const int high = base::hexValue(hex[i]);
        const int low = base::hexValue(hex[i + 1]);
        if (high < 0 || low < 0)
            return absl::InvalidArgumentError("not hexadecimal digits");
        bytes += static_cast<char>(high * 16 + low);
    }
    if (hex.size() % 2 != 0)
        return absl::InvalidArgumentError("an odd number of hexadecimal digits");
    return bytes;
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::string mac(digestBytes, '\0');
    abortUnless(gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), bytes.data(),
                                 bytes.size(), mac.data())
                    == 0,
                "gnutls_hmac_fast");
    return mac;
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && gnutls_memcmp(a.data(), b.data(), a.size()) == 0;
}

struct FrameSealer::Cipher
{
    gnutls_aead_cipher_hd_t handle = nullptr;
    ~Cipher() { gnutls_aead_cipher_deinit(handle); }
};

FrameSealer::FrameSealer(const std::string &key)
    : cipher_(std::make_unique<Cipher>())
{
    std::string copy = key;
    const gnutls_datum_t datum { reinterpret_cast<unsigned char *>(copy.data()),
                                 static_cast<unsigned>(copy.size()) };
    abortUnless(gnutls_aead_cipher_init(&cipher_->handle, GNUTLS_CIPHER_AES_256_GCM, &datum) == 0,
                "gnutls_aead_cipher_init");
}

FrameSealer::~FrameSealer() = default;
FrameSealer::FrameSealer(FrameSealer &&) noexcept = default;
FrameSealer &FrameSealer::operator=(FrameSealer &&) noexcept = default;

std::string FrameSealer::seal(std::string_view frame)
{
    const auto nonce = frameNonce(nextFrameNumber_++);
    std::string sealed(frame.size() + overheadBytes, '\0');
    std::size_t length = sealed.size();
    const int result = gnutls_aead_cipher_encrypt(cipher_->handle, nonce.data(), nonce.size(),
                                                  nullptr, 0, overheadBytes, frame.data(),
                                                  frame.size(), sealed.data(), &length);
    abortUnless(result == 0 && length == sealed.size(), "gnutls_aead_cipher_encrypt");
    return sealed;
}

absl::StatusOr<std::string> FrameSealer::open(std::string_view sealed)
{
    if (sealed.size() < overheadBytes)
        return absl::PermissionDeniedError("frame is shorter than its authentication tag");
    const auto nonce = frameNonce(nextFrameNumber_);
    std::string frame(sealed.size() - overheadBytes + 1, '\0');
    std::size_t length = sealed.size() - overheadBytes;
    const int result = gnutls_aead_cipher_decrypt(cipher_->handle, nonce.data(), nonce.size(),
                                                  nullptr, 0, overheadBytes, sealed.data(),
                                                  sealed.size(), frame.data(), &length);
    if (result != 0)
        return absl::PermissionDeniedError(
            "frame does not decrypt as the next frame of this session");
    ++nextFrameNumber_;
    frame.resize(length);
    return frame;
}

} // namespace bluebellshift::shell
