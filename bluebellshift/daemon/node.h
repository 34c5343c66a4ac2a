// A daemon process: the reducer and the components that perform its effects.
//
//   Node node(settings, { peerKeys, operators }, clock, logger);
//   absl::Status started = node.start();
//   int requestsCut = node.waitForExit();   // after node.shutDown()
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/shell/logger.h"
#include "bluebellshift/shell/operators.h"
#include "bluebellshift/shell/peerkeys.h"
#include "bluebellshift/shell/settings.h"

namespace bluebellshift::daemon {

// The keys by which the daemon authenticates peers and operators.
struct NodeCredentials
{
    std::vector<shell::PeerKey> peerKeys;
    shell::Operators operators;
};

class Node
{
public:
    // Called for each event with its effects, in order, one call at a time.
    using Observe = std::function<void(const core::Event &, const core::Effects &)>;

    // `settings.core` must have its incarnation and ticket secret set.
    Node(const shell::Settings &settings, NodeCredentials credentials, base::Clock clock,
         shell::Logger &logger, Observe observe = {});
    ~Node();

    // Returns Unavailable if the daemon can't listen on one of its addresses.
    absl::Status start();

    // Begins a graceful shutdown. A second call makes it immediate.
    void shutDown();

    // Replaces the keys that authenticate peer VMs.
    void setPeerKeys(std::vector<shell::PeerKey> peerKeys);

    // Blocks until the reducer has finished the shutdown. Returns the number of
    // requests that were aborted.
    int waitForExit();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace bluebellshift::daemon
