// Registry changes of the gateway VMs that one VM has read from the platform's store and
// forwards to the VMs that follow it, so that these need not query the store.
#pragma once

#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/storerevision.h"

namespace bluebellshift::core {

// A gateway VM as registered in the store.
struct VmEntry
{
    VmId id;
    Incarnation incarnation;
    RegionId region;
    FailureDomainId failureDomain;
    Endpoint callers; // where callers connect
    Endpoint peers;   // where other VMs connect
};

struct VmChange
{
    std::string name; // of the entry
    RevisionNumber revision;
    bool isGone = false;
    VmEntry vm; // unset if the entry is removed
};

// The same as TargetUpdate.
struct VmUpdate
{
    RevisionNumber after;
    RevisionNumber upTo;
    std::vector<VmChange> changes;
    StoreEra era;
    bool isComplete = false;
};

} // namespace bluebellshift::core
