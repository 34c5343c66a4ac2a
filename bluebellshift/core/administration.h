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
// store takes at most one of the two, and its conflict tells what it holds. A
// read would prove nothing, as it may come from a replica that is behind, and
// as a slow write may take effect after it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"

namespace bluebellshift::core {

inline constexpr std::size_t maxPendingChanges = 32;             // beyond, a change is Unreachable
inline constexpr Duration changeTimeout = Duration::seconds(10); // until its ChangeEnded
inline constexpr Duration auditTimeout = Duration::seconds(120); // to write the outcome after

// JSON values of these kinds get a member `change` with the unique id of the
// change that wrote them, and `replaced` with the ids of those before. Values
// of other kinds are told apart by their text alone.
bool isMarkedKind(const std::string &kind);

class Administration
{
public:
    // Times and the VM's id come from the options. `newCall` gives an id that
    // no other call of this incarnation has.
    Administration(const CoreOptions &options, std::function<CallId()> newCall);

    Effects onChangeRequested(const ChangeRequested &asked, Instant now, std::uint64_t random);
    // Ignores replies to calls that are not its own.
    Effects onPlatformReplied(const PlatformReplied &reply, Instant now, std::uint64_t random);
    Effects onTimer(Instant now, std::uint64_t random);

    std::size_t pendingCount() const { return changes_.size(); }

private:
    enum class Phase { Intent, Writing, Outcome };
    struct Change
    {
        ChangeRequested asked;
        std::string id;       // unique over all VMs and runs
        std::string replaces; // id of the change that the requester saw; may be empty
        std::string value;    // as written, with its mark
        std::string auditName;
        Revision auditVersion;
        std::string outcome; // for the audit object
        Revision stored;     // the version at which it took effect
        Phase phase = Phase::Intent;
        std::optional<CallId> call; // under way
        Instant retryAt;            // when there is none under way
        Instant deadline;           // of the phase
        int failures = 0;           // in a row
        bool mayHaveTakenEffect = false;
    };

    Change makeChange(const ChangeRequested &asked, Instant now);
    std::string auditValue(const Change &change) const;
    void send(Change *change, Effects *effects);
    void retryLater(Change *change, Instant now, std::uint64_t random, Effects *effects);
    bool giveUp(Change *change, Instant now, Effects *effects);
    // Each returns false when the change is over and to be forgotten.
    bool onIntent(Change *change, const PlatformReplied &reply, Instant now, Effects *effects);
    bool onWritten(Change *change, const PlatformReplied &reply, Instant now, Effects *effects);
    bool onOutcome(Change *change, const PlatformReplied &reply);
    void end(Change *change, PlatformOutcome outcome, const Object &object, Instant now,
             Effects *effects);

    const CoreOptions options_;
    const std::function<CallId()> newCall_;
    std::uint64_t lastChange_ = 0;
    std::vector<Change> changes_; // few, so each search is a walk
};

} // namespace bluebellshift::core
