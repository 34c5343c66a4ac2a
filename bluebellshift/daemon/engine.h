// Runs the reducer on one event at a time and passes the effects to a hook.
//
//   Engine engine(reduce, clock, perform);
//   engine.start();
//   engine.post(core::RequestArrived { ... });   // from any thread
//   engine.stop();
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"

namespace bluebellshift::daemon {

class Engine
{
public:
    using Reduce = std::function<core::Effects(const core::Event &)>;
    // Called without the engine's lock held, on the thread that posted the event.
    using Perform = std::function<void(core::Effect)>;

    Engine(Reduce reduce, base::Clock clock, Perform perform);
    ~Engine();

    // Starts the timer thread, which posts TimerFired at the instants that SetTimer
    // effects request.
    void start();
    void stop();

    // Reduces one event and performs its effects before returning. Thread-safe.
    void post(core::EventBody body);

private:
    void setTimer(core::Instant at);
    void runTimer();

    const Reduce reduce_;
    const base::Clock clock_;
    const Perform perform_;

    std::mutex reduceMutex_; // held only while the reducer runs

    std::mutex timerMutex_;
    std::condition_variable timerChanged_;
    std::optional<core::Instant> timer_;
    bool stopping_ = false;
    std::thread timerThread_;
};

} // namespace bluebellshift::daemon
