// Serves requests that other VMs pass on because this VM is their ticket's
// home.
//
//   RelayServer relays(hooks);
//   relays.onRequest(peer, message);   // answers with a RelayReply, later
//   relays.onCancel(peer, message);
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "bluebellshift/core/event.h"
#include "bluebellshift/core/message.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/daemon/requestrunner.h"
#include "bluebellshift/daemon/workerpool.h"

namespace bluebellshift::daemon {

class RelayServer
{
public:
    struct Hooks
    {
        std::function<PendingRequestPointer(CallerRequest)> add;
        // Posts the event and serves the request to its end.
        std::function<RequestOutcome(const PendingRequestPointer &, core::EventBody)> serve;
        std::function<void(core::EventBody)> post;
        std::function<void(const core::VmId &, core::Message)> sendPeer;
    };

    explicit RelayServer(Hooks hooks);

    // Returns at once. A request beyond the bound is refused as not run.
    void onRequest(const core::VmId &from, core::RelayRequest message);
    void onCancel(const core::VmId &from, const core::RelayCancel &message);

    // Finishes what is under way.
    void stop() { workers_.stop(); }

private:
    using Key = std::pair<core::VmId, std::uint64_t>;

    void serve(const core::VmId &from, const core::RelayRequest &message,
               const PendingRequestPointer &pending);

    const Hooks hooks_;
    std::mutex mutex_;
    std::map<Key, core::RequestId> running_; // by sender and correlation
    WorkerPool workers_;
};

} // namespace bluebellshift::daemon
