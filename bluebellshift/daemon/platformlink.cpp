// The store reports how long it held a watch before it read its state. The send
// time plus that duration is a lower bound of the time of the read, whatever the
// delay of the reply. The duration is scaled down by the clock drift, since the
// store's clock may run fast.
#include "bluebellshift/daemon/platformlink.h"

#include <utility>

namespace bluebellshift::daemon {

using core::PlatformOutcome;

namespace {

constexpr std::size_t callThreads = 2;
constexpr std::size_t maxQueuedCalls = 64;

core::PlatformReplied platformReply(core::CallId call, PlatformOutcome outcome, core::Object object)
{
    return { call, outcome, std::move(object) };
}

} // namespace

PlatformLink::PlatformLink(MakeClient makeClient, MakeClient makeWatchClient, base::Clock clock,
                           double clockDrift, Post post)
    : makeClient_(std::move(makeClient))
    , makeWatchClient_(std::move(makeWatchClient))
    , clock_(std::move(clock))
    , clockDrift_(clockDrift)
    , post_(std::move(post))
    , calls_(callThreads, maxQueuedCalls)
{
    watchThread_ = std::thread([this] { runWatches(); });
}

PlatformLink::~PlatformLink()
{
    stop();
}

void PlatformLink::stop()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (watchThread_.joinable())
        watchThread_.join();
    calls_.stop();
}

void PlatformLink::watch(const core::WatchObjects &effect)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        nextWatch_ = effect;
    }
    changed_.notify_all();
}

void PlatformLink::runWatches()
{
    std::unique_ptr<platform::PlatformClient> client = makeWatchClient_();
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || nextWatch_.has_value(); });
        if (stopping_)
            return;
        const core::WatchObjects effect = *std::exchange(nextWatch_, std::nullopt);
        lock.unlock();
        watchOnce(*client, effect);
        lock.lock();
    }
}

void PlatformLink::watchOnce(platform::PlatformClient &client, const core::WatchObjects &effect)
{
    const core::Instant sentAt = clock_.now();
    platform::WatchResult result =
        effect.after == core::Revision() ? client.list() : client.watch(effect.after, effect.wait);
    if (result.outcome != PlatformOutcome::Done) {
        post_(core::PlatformFailed { sentAt });
        return;
    }
    const double micros = static_cast<double>(result.waited.toMicros()) * (1 - clockDrift_);
    core::PlatformChanged changed;
    changed.after = effect.after;
    changed.revision = result.revision;
    changed.asOf = sentAt + core::Duration::micros(static_cast<std::int64_t>(micros));
    changed.isComplete = result.isComplete;
    changed.objects = std::move(result.objects);
    post_(std::move(changed));
}

// If the queue is full, the call is reported as unreachable because it was never
// sent.
void PlatformLink::submit(std::function<void()> call, core::CallId id)
{
    if (!calls_.submit(std::move(call)))
        post_(platformReply(id, PlatformOutcome::Unreachable, {}));
}

void PlatformLink::read(const core::ReadObject &effect)
{
    submit(
        [this, effect] {
            platform::ReadResult result = makeClient_()->read(effect.kind, effect.name);
            post_(platformReply(effect.call, result.outcome, std::move(result.object)));
        },
        effect.call);
}

void PlatformLink::write(const core::WriteObject &effect)
{
    submit(
        [this, effect] {
            platform::WriteResult result =
                makeClient_()->write(effect.kind, effect.name, effect.expected, effect.value);
            post_(platformReply(effect.call, result.outcome, std::move(result.object)));
        },
        effect.call);
}

} // namespace bluebellshift::daemon
