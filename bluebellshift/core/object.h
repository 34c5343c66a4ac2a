// What the platform's object API stores, and how a call to it may end.
#pragma once

#include <string>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// Names of the object kinds, shared by daemon, command-line tool and stand-in.
namespace kind {
inline constexpr char bundle[] = "bundle";   // name: bundle version; value: JSON with the TOML text
inline constexpr char rollout[] = "rollout"; // name "current": the bundle in force and its step
inline constexpr char keys[] = "keys";       // name: team; value: JSON list of key digests
inline constexpr char targets[] = "targets"; // name: service; value: JSON list of targets
inline constexpr char vms[] = "vms";         // name "list": the platform's lagging list of VMs
inline constexpr char ledger[] = "ledger";   // name "members": who may hold shares
inline constexpr char audit[] = "audit";     // one object for each administrative change
} // namespace kind

// One stored object. Its version is the store's revision at its last write;
// version 0 means that the object does not exist.
struct Object
{
    std::string kind;
    std::string name;
    Revision version;
    std::string value; // JSON; empty when deleted
    bool deleted = false;
};

// How a call to the platform ended.
enum class PlatformOutcome {
    Done,        // took effect, or was read
    Conflict,    // the condition on the version did not hold; nothing changed
    Missing,     // the object does not exist
    Unknown,     // no reply: a write may or may not have taken effect
    Unreachable, // the call never left this VM
};

} // namespace bluebellshift::core
