// Sends health probes to targets and posts the results as events.
#pragma once

#include <functional>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/workerpool.h"
#include "bluebellshift/http/forwarder.h"

namespace bluebellshift::daemon {

class TargetProber
{
public:
    using Post = std::function<void(core::EventBody)>;

    TargetProber(http::Forwarder &forwarder, base::Clock clock, Post post);

    // Returns at once. A probe that finds the queue full is reported as unhealthy.
    void probe(const core::ProbeTarget &effect);
    void stop() { workers_.stop(); }

private:
    core::ProbeEnded runProbe(const core::ProbeTarget &effect);

    http::Forwarder &forwarder_;
    const base::Clock clock_;
    const Post post_;
    WorkerPool workers_;
};

} // namespace bluebellshift::daemon
