#include "bluebellshift/base/secrets.h"

#include <array>
#include <cstdlib>
#include <cstring>

#include <gnutls/crypto.h>

namespace bluebellshift::base {

namespace {

constexpr std::size_t sha256Bytes = 32;

// GnuTLS's random source is not expected to fail on a running system. Without it no
// secret can be generated, so a failure aborts the process.
void fillRandom(void *data, std::size_t size)
{
    if (gnutls_rnd(GNUTLS_RND_KEY, data, size) != 0)
        std::abort();
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, sha256Bytes> digest {};
    if (gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data()) != 0)
        std::abort();
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 0xf]);
    }
    return hex;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    fillRandom(bytes.data(), bytes.size());
    return bytes;
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    fillRandom(&number, sizeof number);
    return number;
}

} // namespace bluebellshift::base
