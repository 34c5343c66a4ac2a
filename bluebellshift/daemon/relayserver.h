// Serves requests that other VMs relay to this VM because it is the home of the
// request's ticket.
//
//   RelayServer server(hooks);
//   server.onRequest(peer, message);   // sends a RelayReply later
//   server.onCancel(peer, message);
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
        // Adds a request to those in progress.
        std::function<PendingRequestPointer(CallerRequest)> add;
        // Posts the event and blocks until the outcome of the request.
        std::function<RequestOutcome(const PendingRequestPointer &, core::EventBody)> serve;
        std::function<void(core::EventBody)> post;
        std::function<void(const core::VmId &, core::Message)> sendPeer;
    };

    explicit RelayServer(Hooks hooks);

    // Returns at once. A request that finds the queue full is refused, with
    // Run::Unknown.
    void onRequest(const core::VmId &from, core::RelayRequest message);
    void onCancel(const core::VmId &from, const core::RelayCancel &message);

    // Blocks until the requests accepted so far have ended.
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
