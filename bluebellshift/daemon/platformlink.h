// Performs the reducer's calls to the platform's object API and posts their
// outcomes as events.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/workerpool.h"
#include "bluebellshift/platform/platformclient.h"

namespace bluebellshift::daemon {

class PlatformLink
{
public:
    // Makes a client, which only one thread may use.
    using MakeClient = std::function<std::unique_ptr<platform::PlatformClient>()>;
    using Post = std::function<void(core::EventBody)>;

    // `makeWatchClient` makes the client for watches, whose call timeout is shorter.
    PlatformLink(MakeClient makeClient, MakeClient makeWatchClient, base::Clock clock,
                 double clockDrift, Post post);
    ~PlatformLink();

    void watch(const core::WatchObjects &effect);
    void read(const core::ReadObject &effect);
    void write(const core::WriteObject &effect);

    // Blocks until the calls in progress have ended.
    void stop();

private:
    void runWatches();
    void watchOnce(platform::PlatformClient &client, const core::WatchObjects &effect);
    void submit(std::function<void()> call, core::CallId id);

    const MakeClient makeClient_;
    const MakeClient makeWatchClient_;
    const base::Clock clock_;
    const double clockDrift_;
    const Post post_;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<core::WatchObjects> nextWatch_;
    bool stopping_ = false;
    std::thread watchThread_;
    WorkerPool calls_;
};

} // namespace bluebellshift::daemon
