// Keeps one secret in the store, with which all VMs authenticate each other.
//
//   MeshSecret secret(candidate, hooks);
//   secret.onEntry(secretHex);          // the store holds this one: it is used from now on
//   secret.onListed(exists, rank, now); // after each list of the registry
//   secret.onCreated(); secret.onCreateFailed(now);
//   secret.onTimer(now);                // at or after nextWake()
//
// The store decides: a VM uses the secret that it finds there. If there is none, a VM that holds
// one writes that one again, since the store has lost it; the first VM by rank does so at once, the
// others list again after a time that grows with their rank. A VM that holds none waits for them
// before it creates its candidate. Two that write at once end with the one that was first.
#pragma once

#include <functional>
#include <string>

#include "bluebellshift/core/units.h"
#include "bluebellshift/gateway/store/callpacer.h"

namespace bluebellshift::gateway::store {

class MeshSecret
{
public:
    // Most VMs that hold a secret notice a restored store, and write it again, within this time.
    static constexpr core::Duration minCreateWait = core::Duration::millis(1000);
    static constexpr core::Duration createSpread = core::Duration::millis(1000);
    static constexpr core::Duration waitForEachRank = core::Duration::millis(300);
    static constexpr std::size_t maxRankedWaits = 6;
    static constexpr core::Duration maxRetryWait = core::Duration::millis(2000);

    struct Hooks
    {
        std::function<void(const std::string &secretHex)> use;
        std::function<void(const std::string &secretHex)> create;
        std::function<void(core::Instant now)> list;
    };

    MeshSecret(std::string candidateHex, Hooks hooks);

    void start(std::uint64_t random) { pacer_ = CallPacer(random); }
    void onEntry(const std::string &secretHex);
    // `rank`: of this VM among the live ones, from 0.
    void onListed(bool exists, std::size_t rank, core::Instant now);
    void onCreated(core::Instant now);
    // Another VM created it first, or the store is unreachable: the next list shows which.
    void onCreateFailed(core::Instant now);

    void onTimer(core::Instant now);
    core::Instant nextWake() const { return listAt_; }

private:
    const std::string candidateHex_;
    const Hooks hooks_;
    std::string inUseHex_; // empty: none yet
    bool hasWaited_ = false;
    bool isCreating_ = false;
    core::Instant listAt_ = core::Instant::never();
    CallPacer pacer_;
};

} // namespace bluebellshift::gateway::store
