// One watch is always under way or waiting for its back-off. The back-off
// doubles up to a bound, with jitter over its upper half, so that VMs whose calls
// failed together do not retry together.
//
// The bound is short, and after a failure the store is asked not to hold the
// call: while the platform is down, a VM's report of a failed call extends the leases
// of other VMs only for one lease after that call began. Two time-outs, a
// back-off and a heartbeat must fit in it.
//
// Only one peer is asked at a time; if it doesn't reply in time, the next heartbeat
// with a newer revision selects another one.
#include "bluebellshift/core/viewsync.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

constexpr Duration viewRequestTimeout = Duration::millis(500);
constexpr int maxBackoffDoublings = 10;

// Between half of `whole` and `whole`.
Duration withJitter(Duration whole, std::uint64_t random)
{
    const std::int64_t half = whole.toMicros() / 2;
    return Duration::micros(half + static_cast<std::int64_t>(random % (half + 1)));
}

} // namespace

ViewSync::ViewSync(const CoreOptions &options, View &view)
    : options_(options)
    , view_(view)
{
}

Effect ViewSync::watch() const
{
    const Duration wait = failures_ > 0 ? Duration() : options_.watchWait;
    return WatchObjects { view_.revision(), wait };
}

Effects ViewSync::start()
{
    return { watch() };
}

ViewSync::Update ViewSync::onPlatformChanged(const PlatformChanged &change)
{
    failures_ = 0;
    retryAt_.reset();
    Update update;
    update.installed =
        view_.install(change.after, change.revision, change.isComplete, change.objects);
    update.effects.push_back(watch());
    return update;
}

Effects ViewSync::onPlatformFailed(Instant now, std::uint64_t random)
{
    const int doublings = std::min(failures_, maxBackoffDoublings);
    ++failures_;
    const Duration whole =
        std::min(options_.initialPlatformRetryDelay * (std::int64_t(1) << doublings),
                 options_.maxWatchRetryDelay);
    retryAt_ = now + withJitter(whole, random);
    return { SetTimer { *retryAt_ } };
}

Effects ViewSync::onTimer(Instant now)
{
    if (!retryAt_.has_value())
        return {};
    if (now < *retryAt_)
        return { SetTimer { *retryAt_ } };
    retryAt_.reset();
    return { watch() };
}

Effects ViewSync::onPeerRevision(const VmId &peer, Revision revision, Instant now)
{
    if (revision <= view_.revision())
        return {};
    if (askedAt_.has_value() && now < *askedAt_ + viewRequestTimeout)
        return {};
    askedAt_ = now;
    askedAfter_ = view_.revision();
    return { SendPeer { peer, ViewRequest { askedAfter_ } } };
}

Effects ViewSync::onViewRequest(const VmId &from, const ViewRequest &request) const
{
    if (view_.revision() <= request.after)
        return {};
    ViewReply reply;
    reply.revision = view_.revision();
    reply.isComplete = request.after == Revision();
    reply.objects = view_.changedSince(request.after);
    return { SendPeer { from, std::move(reply) } };
}

ViewSync::Update ViewSync::onViewReply(const ViewReply &reply)
{
    askedAt_.reset();
    Update update;
    update.installed = view_.install(askedAfter_, reply.revision, reply.isComplete, reply.objects);
    return update;
}

} // namespace bluebellshift::core
