// The objects that the platform's object API stores, and the outcomes of calls to it.
#pragma once

#include <string>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// The object kinds, shared by the daemon, the command-line tool and the stand-in.
namespace kind {
inline constexpr char bundle[] = "bundle";   // name: bundle version; value: JSON with the TOML text
inline constexpr char rollout[] = "rollout"; // name "current": the bundle in force and its step
inline constexpr char keys[] = "keys";       // name: team; value: JSON list of key digests
inline constexpr char targets[] = "targets"; // name: service; value: JSON list of targets
inline constexpr char vms[] = "vms";         // name "list": the platform's list of VMs, which lags
inline constexpr char ledger[] = "ledger";   // name "members": the VMs that may hold shares
inline constexpr char audit[] = "audit";     // one object for each operator's change
} // namespace kind

// A stored object. Its version is the store's revision at its last write; 0 means that
// the object does not exist.
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
    Done,        // the write took effect, or the read succeeded
    Conflict,    // the object has another version than expected; nothing changed
    Missing,     // the object does not exist
    Unknown,     // no reply: a write may or may not have taken effect
    Unreachable, // no byte of the call left this VM
};

} // namespace bluebellshift::core
