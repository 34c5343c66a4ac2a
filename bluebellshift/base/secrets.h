// Digests and random bytes, by GnuTLS.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellshift::base {

// Lower-case hex SHA-256.
std::string sha256Hex(std::string_view text);

// Bytes fit for keys.
std::string randomBytes(std::size_t count);

// A number fit for nonces.
std::uint64_t randomNumber();

} // namespace bluebellshift::base
