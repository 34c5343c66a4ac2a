#include "bluebellshift/shell/peerkeys.h"

#include <fmt/format.h>

#include "bluebellshift/shell/crypto.h"

namespace bluebellshift::shell {
namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::size_t maxIdLength = 64;

// Fault messages never contain the secret.
PeerKey readKey(TomlTable table)
{
    PeerKey key;
    key.id = table.text("id");
    if (key.id.size() > maxIdLength)
        table.fault(
            "id",
            fmt::format("{} is longer than {} characters", table.describe("id"), maxIdLength));
    const auto secret = fromHex(table.text("secret"));
    if (!secret.ok() || secret->size() != secretBytes)
        table.fault("secret",
                    fmt::format("key.secret of key \"{}\" must be {} hexadecimal digits", key.id,
                                2 * secretBytes));
    else
        key.secret = *secret;
    return key;
}

} // namespace

absl::StatusOr<std::vector<PeerKey>> parsePeerKeys(const std::string &file, const std::string &text,
                                                   std::vector<SettingsFault> *faults)
{
    std::vector<SettingsFault> found;
    std::vector<PeerKey> keys;
    TomlDocument document(file, text, &found);
    if (document.isParsed()) {
        TomlTable root = document.root();
        for (TomlTable &table : root.tables("key")) {
            PeerKey key = readKey(table);
            if (findPeerKey(keys, key.id) != nullptr)
                table.fault("id", fmt::format("{} is not unique", table.describe("id")));
            keys.push_back(std::move(key));
        }
        root.finish();
    }
    if (faults != nullptr)
        *faults = found;
    if (!found.empty())
        return faultsToStatus(found);
    return keys;
}

absl::StatusOr<std::vector<PeerKey>> loadPeerKeys(const std::string &path,
                                                  std::vector<SettingsFault> *faults)
{
    std::string text;
    const absl::Status status = readTextFile(path, &text);
    if (!status.ok())
        return status;
    return parsePeerKeys(path, text, faults);
}

const PeerKey *findPeerKey(const std::vector<PeerKey> &keys, const std::string &id)
{
    for (const PeerKey &key : keys) {
        if (key.id == id)
            return &key;
    }
    return nullptr;
}

} // namespace bluebellshift::shell
