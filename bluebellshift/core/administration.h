// Writes operators' changes to the platform and records them in its audit trail.
//
//   Administration administration(options, newCall);
//   Effects effects = administration.onChangeRequested(asked, now, random);
//   effects = administration.onPlatformReplied(reply, now, random);
//   effects = administration.onTimer(now, random);
//
// A change is three conditional writes: its audit object, with the intent; the
// object itself; the audit object again, with the outcome. The requester gets its
// reply after the second. Every change ends in one ChangeEnded:
//
//   Done         it took effect; `object` is what is stored
//   Conflict     it did not take effect; `object` is what is stored instead
//   Unreachable  it did not take effect; no attempt left this VM, or its audit
//                object could not be written
//   Unknown      it may have taken effect, or may do so later
//
// A lost reply is resolved by sending the same conditional write again: the
// store applies at most one of the two, and its conflict reply contains the stored
// value. A read would prove nothing: it may come from a replica that lags, and a
// slow write may take effect after it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"

namespace bluebellshift::core {

inline constexpr std::size_t maxPendingChanges = 32; // further changes end as Unreachable
inline constexpr Duration changeTimeout = Duration::seconds(10); // until the ChangeEnded
inline constexpr Duration auditTimeout = Duration::seconds(120); // then, to write the outcome

// Returns true for the kinds whose JSON values record changes: a field `change` with the
// unique id of the change that wrote the value, and `replaced` with the ids of earlier
// changes. Values of other kinds are distinguished by their text alone.
bool recordsChangeIds(const std::string &kind);

class Administration
{
public:
    // Takes retry delays and the VM's id from the options. `newCall` returns an id that
    // no other call of this incarnation has.
    Administration(const CoreOptions &options, std::function<CallId()> newCall);

    Effects onChangeRequested(const ChangeRequested &requested, Instant now, std::uint64_t random);
    // Ignores replies to calls of other modules.
    Effects onPlatformReplied(const PlatformReplied &reply, Instant now, std::uint64_t random);
    Effects onTimer(Instant now, std::uint64_t random);

    std::size_t pendingCount() const { return changes_.size(); }

private:
    enum class Phase { Intent, Writing, Outcome };
    struct Change
    {
        ChangeRequested requested;
        std::string id; // unique for all VMs and incarnations
        // The id of the change that wrote the value that the requester read; may be empty.
        std::string replacedId;
        std::string value; // as written, with its change ids
        std::string auditObjectName;
        Revision auditVersion;
        std::string outcome;    // for the audit object
        Revision storedVersion; // of the object after the change; 0: it took no effect
        Phase phase = Phase::Intent;
        std::optional<CallId> call; // under way
        Instant retryAt;            // when no call is under way
        Instant deadline;           // of the phase
        int failures = 0;           // in a row
        bool mayHaveTakenEffect = false;
    };

    Change makeChange(const ChangeRequested &requested, Instant now);
    std::string auditValue(const Change &change) const;
    void send(Change *change, Effects *effects);
    void retryLater(Change *change, Instant now, std::uint64_t random, Effects *effects);
    bool giveUp(Change *change, Instant now, Effects *effects);
    // Each returns false when the change is finished and must be removed.
    bool onIntentWritten(Change *change, const PlatformReplied &reply, Instant now,
                         Effects *effects);
    bool onObjectWritten(Change *change, const PlatformReplied &reply, Instant now,
                         Effects *effects);
    bool onOutcomeWritten(Change *change, const PlatformReplied &reply);
    void end(Change *change, PlatformOutcome outcome, const Object &object, Instant now,
             Effects *effects);

    const CoreOptions options_;
    const std::function<CallId()> newCall_;
    std::uint64_t lastChangeNumber_ = 0;
    std::vector<Change> changes_; // few, so that linear searches suffice
};

} // namespace bluebellshift::core
