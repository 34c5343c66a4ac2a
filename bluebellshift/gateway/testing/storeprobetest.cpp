// Guards against a store that counts as lost and is not probed, because the registry that is used
// for probes has a watch open from before the loss.
#include "bluebellshift/gateway/storelink.h"

#include <map>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using core::Instant;

namespace {

const Registry watchedRegistries[] = { Registry::Evacuations, Registry::Targets,
                                       Registry::Traffic };
// The store's return is detected within this time (storelink.h).
constexpr Duration detectionBound = StoreLink::maxRetryDelay + StoreLink::probeTimeout;

} // namespace

TEST_GROUP(StoreProbe)
{
    struct Call
    {
        Instant endsAt; // if there is no response
        bool isShort = false;
    };

    Instant now = Instant::fromMicros(1'000'000);
    std::map<Registry, Call> calls; // in progress
    std::unique_ptr<StoreLink> link;

    void start()
    {
        StoreLinkHooks hooks;
        hooks.perform = [this](const Effect &effect) {
            if (const auto *list = std::get_if<ListRegistry>(&effect))
                calls[list->registry] = { now + list->timeout,
                                          list->timeout <= StoreLink::probeTimeout };
            else if (const auto *watch = std::get_if<WatchRegistry>(&effect))
                calls[watch->registry] = { now + watch->timeout,
                                           watch->timeout <= StoreLink::probeTimeout };
        };
        hooks.onEntry = [](Registry, const RegistryEntry &) {};
        hooks.onListed = [](Registry) {};
        hooks.onListChanged = [](const RegistryChanged &, StoreRevision) {};
        hooks.onRestored = [] {};
        hooks.log = [](const core::LogRecord &) {};
        link = std::make_unique<StoreLink>(hooks);
        link->setMode(StoreMode::Watches, now);
        link->start(1, now);
        for (std::size_t i = 0; i < registryCount; ++i) {
            const auto registry = static_cast<Registry>(i);
            calls.erase(registry);
            link->onListed({ registry, Revision(10), false, {}, 0, {}, {} }, now);
        }
    }
    // The watches begin at different times.
    void answerWatch(Registry registry)
    {
        calls.erase(registry);
        link->onChanged({ registry, Revision(10), {}, 0, {}, {} }, now);
    }
    // Goes on to the next timer or the next call that ends without a response.
    void step(Instant until)
    {
        Instant next = until;
        if (link->nextWake() != Instant::never())
            next = std::min(next, link->nextWake());
        for (const auto &[registry, call] : calls)
            next = std::min(next, call.endsAt);
        now = std::max(now, next);
        for (auto call = calls.begin(); call != calls.end();) {
            if (call->second.endsAt > now) {
                ++call;
                continue;
            }
            const Registry registry = call->first;
            calls.erase(call);
            link->onFailed({ registry, StoreFailure::NoAnswer, {}, {} }, now);
            call = calls.begin();
        }
        link->onTimer(now);
    }
    void advance(Duration time)
    {
        const Instant until = now + time;
        while (now < until)
            step(until);
    }
    // Whether a response to a call that is made or in progress shows the store's return in time.
    bool isProbedInTime()
    {
        const Instant limit = now + detectionBound;
        while (now < limit) {
            for (const auto &[registry, call] : calls) {
                if (call.isShort)
                    return true;
            }
            step(limit);
        }
        return false;
    }
};

TEST(StoreProbe, AWatchFromBeforeTheLossDelaysNoProbe)
{
    for (int millis = 0; millis < 2800; millis += 100) {
        for (const Registry first : watchedRegistries) {
            calls.clear();
            start();
            for (const Registry registry : watchedRegistries) {
                if (registry == first)
                    answerWatch(registry);
            }
            advance(Duration::millis(millis));
            for (const Registry registry : watchedRegistries) {
                if (registry != first && calls.count(registry) != 0)
                    answerWatch(registry);
            }
            while (!link->isLost())
                step(now + Duration::seconds(1));
            CHECK(isProbedInTime());
        }
    }
}
