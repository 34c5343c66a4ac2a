// The keys with which VMs authenticate each other, from the file that the settings
// name:
//
//   [[key]]
//   id = "2026-12"
//   secret = "..."  # 32 bytes in hexadecimal
//
// The first key signs; every key verifies. docs/operators/keys.md describes how to
// rotate a key without downtime.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/shell/tomlreader.h"

namespace bluebellshift::shell {

struct PeerKey
{
    std::string id;
    std::string secret; // 32 bytes
};

// Requires at least one key and distinct ids.
absl::StatusOr<std::vector<PeerKey>> parsePeerKeys(const std::string &file, const std::string &text,
                                                   std::vector<SettingsFault> *faults = nullptr);
absl::StatusOr<std::vector<PeerKey>> loadPeerKeys(const std::string &path,
                                                  std::vector<SettingsFault> *faults = nullptr);

// Returns null if no key has this id.
const PeerKey *findPeerKey(const std::vector<PeerKey> &keys, const std::string &id);

} // namespace bluebellshift::shell
