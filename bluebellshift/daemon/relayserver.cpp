// The sender is an authenticated VM, but the digest of the caller's key is
// checked again here: this VM may already know of a key's withdrawal that the
// sender has not seen yet.
#include "bluebellshift/daemon/relayserver.h"

#include <memory>

#include "bluebellshift/daemon/callerrequest.h"

namespace bluebellshift::daemon {

namespace {

constexpr std::size_t relayThreads = 64;
constexpr std::size_t maxQueuedRelays = 256;

core::RelayReply replyOf(const RequestOutcome &outcome, std::uint64_t correlation)
{
    core::RelayReply reply;
    reply.correlation = correlation;
    if (const auto *answer = std::get_if<core::AnswerCaller>(&outcome)) {
        reply.isAnswer = true;
        reply.answer = *answer->answer;
    } else if (const auto *refuse = std::get_if<core::RefuseCaller>(&outcome)) {
        reply.refusal = refuse->refusal;
    }
    return reply;
}

core::RequestArrived arrivalOf(const core::VmId &from, const core::RelayRequest &message,
                               core::RequestId request)
{
    core::RequestArrived arrived;
    arrived.request = request;
    arrived.service = message.service;
    arrived.method = message.method;
    arrived.path = message.path.substr(0, message.path.find('?'));
    arrived.hasKey = !message.keyDigest.isEmpty();
    arrived.keyDigest = message.keyDigest;
    arrived.ticket = message.ticket;
    arrived.timeLeft = message.timeLeft;
    arrived.bodyBytes = message.body.size();
    arrived.contentDigest = contentDigestOf(message.path, message.body);
    arrived.relayedBy = from;
    arrived.relayCorrelation = message.correlation;
    return arrived;
}

} // namespace

RelayServer::RelayServer(Hooks hooks)
    : hooks_(std::move(hooks))
    , workers_(relayThreads, maxQueuedRelays)
{
}

void RelayServer::onRequest(const core::VmId &from, core::RelayRequest message)
{
    const std::uint64_t correlation = message.correlation;
    CallerRequest request;
    request.method = message.method;
    request.pathAndQuery = message.path;
    request.headers = message.headers;
    request.body = message.body;
    request.service = message.service;
    request.keyDigest = message.keyDigest;
    request.ticket = message.ticket;
    PendingRequestPointer pending = hooks_.add(std::move(request));
    {
        std::lock_guard<std::mutex> lock(mutex_);
        running_[{ from, correlation }] = pending->id();
    }
    auto shared = std::make_shared<core::RelayRequest>(std::move(message));
    const bool accepted =
        workers_.submit([this, from, shared, pending] { serve(from, *shared, pending); });
    if (accepted)
        return;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        running_.erase({ from, correlation });
    }
    core::RelayReply reply;
    reply.correlation = correlation;
    // An earlier attempt with this ticket may have run; its outcome is not known here.
    reply.refusal = { core::RefusalCode::NoCapacity, core::Run::Unknown,
                      "too many relayed requests", 0 };
    hooks_.sendPeer(from, std::move(reply));
}

void RelayServer::serve(const core::VmId &from, const core::RelayRequest &message,
                        const PendingRequestPointer &pending)
{
    const RequestOutcome outcome = hooks_.serve(pending, arrivalOf(from, message, pending->id()));
    {
        std::lock_guard<std::mutex> lock(mutex_);
        running_.erase({ from, message.correlation });
    }
    hooks_.sendPeer(from, replyOf(outcome, message.correlation));
}

void RelayServer::onCancel(const core::VmId &from, const core::RelayCancel &message)
{
    core::RequestId request;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = running_.find({ from, message.correlation });
        if (found == running_.end())
            return;
        request = found->second;
    }
    hooks_.post(core::CallerGone { request });
}

} // namespace bluebellshift::daemon
