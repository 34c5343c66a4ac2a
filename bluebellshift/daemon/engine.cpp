// Effects are performed outside the lock, so two threads may perform theirs in
// either order; effects are made so that their order does not matter.
#include "bluebellshift/daemon/engine.h"

#include <algorithm>
#include <chrono>

namespace bluebellshift::daemon {

namespace {

// Timers are checked against the suspended-time clock at least this often,
// since a condition variable's clock stops while the machine is paused.
constexpr auto timerCheckMost = std::chrono::milliseconds(100);

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
            timerChanged_.wait_for(lock, std::min<std::chrono::microseconds>(wait, timerCheckMost));
            continue;
        }
        timer_.reset();
        lock.unlock();
        post(core::TimerFired {});
        lock.lock();
    }
}

} // namespace bluebellshift::daemon
