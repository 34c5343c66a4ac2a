// Registry changes of targets that one VM has read from the platform's store and
// forwards to the VMs that follow it, so that these need not query the store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/storerevision.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// A target as registered in the store.
struct TargetEntry
{
    TargetId id;
    ServiceId service;
    Endpoint endpoint;
    FailureDomainId failureDomain;
    std::string softwareVersion;
    int slots = 1; // requests served concurrently
    bool isDraining = false;
    Duration warmupLeft;              // remaining time at which the entry was written
    std::int64_t startUnixMillis = 0; // start time; differs after a restart under the same id
};

struct TargetChange
{
    std::string name; // of the entry
    RevisionNumber revision;
    bool isGone = false;
    std::string problem; // why the entry is unreadable; empty if readable
    TargetEntry target;  // unset if the entry is removed or unreadable
};

// All changes after the revision `after`, up to and including `upTo`, in one era of the store. If
// it is complete, all targets as of `upTo`.
struct TargetUpdate
{
    RevisionNumber after;
    RevisionNumber upTo;
    std::vector<TargetChange> changes;
    StoreEra era; // 0: the store tells none
    bool isComplete = false;
    // Since the store returned to the sender from an outage; 0: not of late.
    std::uint32_t returnAgeMillis = 0;
};

} // namespace bluebellshift::core
