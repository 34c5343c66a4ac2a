// One daemon: the reducer and everything that carries out its effects.
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

// Who may talk to the daemon besides callers.
struct NodeAccess
{
    std::vector<shell::PeerKey> peerKeys;
    shell::Operators operators;
};

class Node
{
public:
    // Sees each event with its effects, in their order, one at a time.
    using Observe = std::function<void(const core::Event &, const core::Effects &)>;

    // `settings.core` must have its incarnation and secret set.
    Node(const shell::Settings &settings, NodeAccess access, base::Clock clock,
         shell::Logger &logger, Observe observe = {});
    ~Node();

    // Unavailable: an address can't be listened on.
    absl::Status start();

    // Begins a graceful shutdown; a second call ends it at once.
    void shutDown();

    // Replaces the keys that VMs prove themselves with.
    void setPeerKeys(std::vector<shell::PeerKey> peerKeys);

    // Blocks until the reducer says that it is done; returns the number of
    // requests that were cut.
    int waitForExit();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace bluebellshift::daemon
