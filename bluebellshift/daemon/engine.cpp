// Effects are performed without the lock, so the effects of events from two
// threads may be performed in either order. The reducer's effects are designed
// so that this order does not matter.
#include "bluebellshift/daemon/engine.h"

#include <algorithm>
#include <chrono>

namespace bluebellshift::daemon {

namespace {

// The timer is compared with the process's clock at least this often: that clock
// counts time in which the machine is suspended, and the clock of a condition
// variable does not.
constexpr auto maxTimerCheckInterval = std::chrono::milliseconds(100);

} // namespace

Engine::Engine(Reduce reduce, base::Clock clock, Perform perform)
    : reduce_(std::move(reduce))
    , clock_(std::move(clock))
    , perform_(std::move(perform))
{
}

Engine::~Engine()
{
    stop();
}

void Engine::start()
{
    timerThread_ = std::thread([this] { runTimer(); });
}

void Engine::stop()
{
    {
        std::lock_guard<std::mutex> lock(timerMutex_);
        stopping_ = true;
    }
    timerChanged_.notify_all();
    if (timerThread_.joinable())
        timerThread_.join();
}

void Engine::post(core::EventBody body)
{
    core::Effects effects;
    {
        std::lock_guard<std::mutex> lock(reduceMutex_);
        core::Event event;
        event.now = clock_.now();
        event.wallTime = clock_.wallTime();
        event.random = clock_.random();
        event.body = std::move(body);
        effects = reduce_(event);
    }
    for (core::Effect &effect : effects) {
        if (const auto *timer = std::get_if<core::SetTimer>(&effect))
            setTimer(timer->at);
        else
            perform_(std::move(effect));
    }
}

void Engine::setTimer(core::Instant at)
{
    {
        std::lock_guard<std::mutex> lock(timerMutex_);
        if (timer_.has_value() && *timer_ <= at)
            return;
        timer_ = at;
    }
    timerChanged_.notify_all();
}

void Engine::runTimer()
{
    std::unique_lock<std::mutex> lock(timerMutex_);
    while (!stopping_) {
        if (!timer_.has_value()) {
            timerChanged_.wait(lock);
            continue;
        }
        const core::Duration left = *timer_ - clock_.now();
        if (left > core::Duration()) {
            const auto wait = std::chrono::microseconds(left.toMicros());
            timerChanged_.wait_for(
                lock, std::min<std::chrono::microseconds>(wait, maxTimerCheckInterval));
            continue;
        }
        timer_.reset();
        lock.unlock();
        post(core::TimerFired {});
        lock.lock();
    }
}

} // namespace bluebellshift::daemon
