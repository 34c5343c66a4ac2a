// Changes of the targets' registry that one VM read from the platform's store, told to
// the VMs that follow it, so that they need not call the store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// A target as it registered itself.
struct TargetEntry
{
    TargetId id;
    ServiceId service;
    Endpoint endpoint;
    FailureDomainId failureDomain;
    std::string softwareVersion;
    int slots = 1; // requests it works on at once
    bool isDraining = false;
    Duration warmupLeft;              // how much longer it stays cold, when the entry was written
    std::int64_t startUnixMillis = 0; // Unix time of its start; a restart under one id has another
};

struct TargetChange
{
    std::string name; // of the entry
    Revision revision;
    bool isGone = false;
    std::string problem; // why the entry can't be read; empty: it can
    TargetEntry target;  // not to be read when the entry is gone or can't be read
};

// All changes after one revision of the store, up to another.
struct TargetUpdate
{
    Revision after;
    Revision upTo;
    std::vector<TargetChange> changes;
};

} // namespace bluebellshift::core
