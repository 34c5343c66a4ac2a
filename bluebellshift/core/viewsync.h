// Synchronizes the view with the platform, or with peers that have a newer one.
//
//   ViewSync sync(options, view);
//   Effects effects = sync.start();
//   ViewSync::Update update = sync.onPlatformChanged(change, now);
//   if (update.installed == View::Installed::Newer) { ... }
#pragma once

#include <optional>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/view.h"

namespace bluebellshift::core {

class ViewSync
{
public:
    struct Update
    {
        View::InstallResult installed = View::InstallResult::Older;
        Effects effects;
    };

    // `view` must outlive this object.
    ViewSync(const CoreOptions &options, View &view);

    // Begins the first watch.
    Effects start();

    // A watch ended; begins the next at once after a success, and after a
    // failure when a back-off with jitter has passed.
    Update onPlatformChanged(const PlatformChanged &change);
    Effects onPlatformFailed(Instant now, std::uint64_t random);
    Effects onTimer(Instant now);

    // Requests the view of a peer that reported a newer revision.
    Effects onPeerRevision(const VmId &peer, Revision revision, Instant now);
    Effects onViewRequest(const VmId &from, const ViewRequest &request) const;
    Update onViewReply(const ViewReply &reply);

private:
    Effect watch() const;

    const CoreOptions options_;
    View &view_;
    int failures_ = 0; // in a row
    std::optional<Instant> retryAt_;
    std::optional<Instant> askedAt_; // an unanswered ViewRequest
    Revision askedAfter_;
};

} // namespace bluebellshift::core
