// Digests and cryptographically secure random values, based on GnuTLS.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellshift::base {

// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

// Returns random bytes that are suitable for keys.
std::string randomBytes(std::size_t count);

// Returns a random number that is suitable for nonces.
std::uint64_t randomNumber();

} // namespace bluebellshift::base
