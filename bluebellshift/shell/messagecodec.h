// CBOR form of the messages between VMs.
//
//   std::string bytes = encodeMessage(message);
//   absl::StatusOr<core::Message> decoded = decodeMessage(bytes);
//
// A message is an array: its type's number, then its fields in the order of
// core/message.h. Trailing fields that hold their default are left out. The
// decoder ignores fields beyond those it knows and reads missing ones as their
// default, so that a field may be added at the end of a struct and VMs one
// version apart understand each other.
//
// The decoder takes any bytes: it neither throws nor allocates more than a
// small multiple of the input.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "bluebellshift/core/message.h"

namespace bluebellshift::shell {

// Stated in the handshake. A VM talks to those of at least `protocolVersionLeast`.
inline constexpr int protocolVersion = 1;
inline constexpr int protocolVersionLeast = 1;

inline constexpr std::size_t messageBytesMost = 4 * 1024 * 1024;

std::string encodeMessage(const core::Message &message);

// InvalidArgument: not a message; Unimplemented: a type from a later version.
absl::StatusOr<core::Message> decodeMessage(std::string_view bytes);

} // namespace bluebellshift::shell
