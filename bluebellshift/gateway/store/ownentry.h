// Keeps this VM's entry in the store: writes it at the start, and again when it is lost.
//
//   OwnEntry entry;
//   entry.start(random, now);
//   if (auto write = entry.takeDue(now)) ... // at or after nextWake(): create it, or replace it
//   entry.onWritten(); entry.onWriteFailed(failure, now);
//   entry.onRestored(); entry.onSeen(); // a restored store may have lost it; a list shows it
//   entry.onLost(OwnEntry::Loss::Missing, spread, now); // a list or a removal showed it
//   entry.isKnown(now);                                 // may the other VMs be taken to know it?
#pragma once

#include <cstdint>
#include <optional>

#include "bluebellshift/gateway/registry.h"
#include "bluebellshift/gateway/store/callpacer.h"

namespace bluebellshift::gateway::store {

class OwnEntry
{
public:
    static constexpr Duration minFailedWait = Duration::millis(400); // the store is unavailable
    static constexpr Duration maxRetryWait = Duration::millis(800);
    // Within this time all VMs of a fleet write their entries again that a restored store lacks.
    static constexpr Duration rewriteSpread = Duration::millis(1000);
    // Within this time after a VM has begun to create its entry, all VMs that reach the store have
    // listed it (StoreLink::pollInterval), also where the response to the call was late.
    static constexpr Duration introductionTime = Duration::seconds(6);

    enum class Write { Create, Replace };
    enum class Loss {
        Missing,  // another VM removed it, or the store has lost it
        Replaced, // the store has the entry of an earlier run
    };

    void start(std::uint64_t random, Instant now);
    // The write to perform now, if any; ends with onWritten() or onWriteFailed().
    std::optional<Write> takeDue(Instant now);
    void onWritten();
    void onWriteFailed(StoreFailure failure, Instant now);
    // The store may have lost what it acknowledged: an entry that is missing is written again
    // within `spread`.
    void onLost(Loss loss, Duration spread, Instant now);
    // Writes nothing more.
    void stop()
    {
        dueAt_ = Instant::never();
        isStopped_ = true;
    }

    // The store was restored: its list must show whether it still has the entry.
    void onRestored() { isInDoubt_ = true; }
    void onSeen() { isInDoubt_ = false; }

    bool isWritten() const { return isWritten_; }
    bool isInDoubt() const { return isInDoubt_; }
    bool isPending() const { return isPending_; }
    // Whether the other VMs know this VM: the store had an entry of an earlier run, or this VM
    // created its entry introductionTime ago.
    bool isKnown(Instant now) const;
    Instant nextWake() const { return isPending_ ? Instant::never() : dueAt_; }

private:
    Instant dueAt_ = Instant::never();
    Write write_ = Write::Create;
    bool isWritten_ = false;
    bool isPending_ = false;
    bool isLostWhilePending_ = false;
    bool isInDoubt_ = false;
    bool isStopped_ = false;
    bool mayHaveCreated_ = false;          // a creation of this run got no response
    Instant createdAt_ = Instant::never(); // when that was last begun; never(): by an earlier run
    CallPacer pacer_;
};

} // namespace bluebellshift::gateway::store
