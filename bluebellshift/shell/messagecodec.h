// Encodes the messages between VMs as CBOR.
//
//   std::string bytes = encodeMessage(message);
//   absl::StatusOr<core::Message> decoded = decodeMessage(bytes);
//
// A message is an array: the number of its type, then its fields in the order of
// core/message.h. Trailing fields with their default value are omitted. The
// decoder ignores additional fields and gives missing fields their default value,
// so that a field can be added at the end of a struct while VMs one version apart
// still understand each other.
//
// The decoder accepts untrusted bytes: it does not throw, and it allocates at most
// a small multiple of the input's size.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "bluebellshift/core/message.h"

namespace bluebellshift::shell {

// Sent in the handshake. A VM accepts peers of `minProtocolVersion` or later.
inline constexpr int protocolVersion = 1;
inline constexpr int minProtocolVersion = 1;

inline constexpr std::size_t maxMessageBytes = 4 * 1024 * 1024;

std::string encodeMessage(const core::Message &message);

// InvalidArgument: not a valid message; Unimplemented: a type of a later version.
absl::StatusOr<core::Message> decodeMessage(std::string_view bytes);

} // namespace bluebellshift::shell
