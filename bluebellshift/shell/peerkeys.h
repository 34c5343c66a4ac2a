// The keys by which VMs know each other, from the file that the settings name:
//
//   [[key]]
//   id = "2026-12"
//   secret = "..."  # 32 bytes in hexadecimal
//
// The first key signs; every key verifies. docs/operators/keys.md tells how to
// renew one without a stop.
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

// At least one key; ids differ.
absl::StatusOr<std::vector<PeerKey>> parsePeerKeys(const std::string &file, const std::string &text,
                                                   std::vector<SettingsFault> *faults = nullptr);
absl::StatusOr<std::vector<PeerKey>> loadPeerKeys(const std::string &path,
                                                  std::vector<SettingsFault> *faults = nullptr);

// Null if there is none.
const PeerKey *findPeerKey(const std::vector<PeerKey> &keys, const std::string &id);

} // namespace bluebellshift::shell
