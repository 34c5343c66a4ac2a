// Runs several reducers in virtual time with simple fakes at their interfaces: one
// store, links that can be cut, targets that answer, VMs that can be paused, killed
// and replaced. Runs are deterministic; events are handled in order of time.
//
//   ReducerBench bench(12);
//   bench.run(Duration::seconds(5));
//   bench.cutPlatform(3);
//   bench.offer(3, "a-key");          // sends one request with that key
//   CHECK_EQUAL(1, bench.forwardedOf(3));
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/reducer.h"
#include "bluebellshift/standin/platformstore.h"

namespace bluebellshift::core::testing {

class ReducerBench
{
public:
    static constexpr Duration platformLatency = Duration::millis(5);
    static constexpr Duration peerLatency = Duration::millis(35);
    static constexpr Duration targetLatency = Duration::millis(10);
    static constexpr Duration callTimeout = Duration::millis(1500);
    static constexpr Duration watchTimeout = Duration::millis(500);
    static constexpr char key[] = "sample-key-of-multan";

    // Outcomes of the requests offered to one VM.
    struct Counts
    {
        int offered = 0;
        int forwarded = 0;
        int answered = 0;
        std::map<RefusalCode, int> refused;
        Instant lastForwardedAt = Instant::never();
    };

    explicit ReducerBench(std::size_t vmCount)
        : store_(1000)
    {
        for (std::size_t i = 0; i < vmCount; ++i)
            vms_.push_back(makeVm(i));
        fillStore();
        initialStore_ = std::make_unique<standin::PlatformStore>(store_);
        nodes_.resize(vmCount);
        for (std::size_t i = 0; i < vmCount; ++i)
            start(i);
    }

    Instant now() const { return now_; }
    standin::PlatformStore &store() { return store_; }
    const Counts &counts(std::size_t vm) const { return nodes_[vm].counts; }
    Counts &counts(std::size_t vm) { return nodes_[vm].counts; }
    bool isReady(std::size_t vm) const
    {
        const SetReady &ready = nodes_[vm].ready;
        return nodes_[vm].reducer != nullptr && ready.isReady && now_ < ready.validUntil;
    }

    void run(Duration time)
    {
        const Instant end = now_ + time;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

    // ---- Faults

    void setPlatformDown(bool isDown) { isPlatformDown_ = isDown; }
    // The platform doesn't reply to calls of the VM.
    void cutPlatform(std::size_t vm, bool isCut = true) { nodes_[vm].isPlatformCut = isCut; }
    // Drops all messages between the VM and the others.
    void cutPeers(std::size_t vm, bool isCut = true) { nodes_[vm].arePeersCut = isCut; }
    // Reads see the store as it is now, until this is reset.
    void setReplicaStale(bool isStale)
    {
        replica_ = isStale ? std::make_unique<standin::PlatformStore>(store_) : nullptr;
    }
    // Reads see the given state.
    void setReplica(const standin::PlatformStore &state)
    {
        replica_ = std::make_unique<standin::PlatformStore>(state);
    }
    // The store before any VM started.
    const standin::PlatformStore &initialStore() const { return *initialStore_; }
    void pause(std::size_t vm, Duration time) { nodes_[vm].pausedUntil = now_ + time; }
    void kill(std::size_t vm)
    {
        nodes_[vm].reducer.reset();
        ++nodes_[vm].generation;
    }
    void start(std::size_t vm)
    {
        Node &node = nodes_[vm];
        ++node.generation;
        node.ready = SetReady();
        node.nextTimer.reset();
        CoreOptions options;
        options.vm = vms_[vm].id;
        options.region = vms_[vm].region;
        options.failureDomain = vms_[vm].failureDomain;
        options.incarnation = Incarnation(1000 * (vm + 1) + node.generation);
        options.ticketSecret = "secret-" + std::to_string(options.incarnation.number());
        options.seeds = { vms_[0], vms_[1], vms_[2] };
        View::Hooks hooks;
        hooks.parseBundle = [](std::string_view toml) { return parseBundle(toml); };
        hooks.parseRollout = [](const std::string &json) { return decodeRollout(json); };
        node.reducer = std::make_unique<Reducer>(options, std::move(hooks));
        deliver(vm, node.generation, TimerFired {});
    }

    // ---- Callers and operators

    // Offers one request with a key. The reducer has handled its arrival on return.
    void offer(std::size_t vm, const std::string &callerKey)
    {
        Node &node = nodes_[vm];
        if (node.reducer == nullptr)
            return;
        RequestArrived arrived;
        arrived.request = RequestId(++node.lastRequest);
        arrived.service = ServiceId("rota");
        arrived.method = "GET";
        arrived.path = "/turns/3";
        arrived.hasKey = true;
        arrived.keyDigest = KeyDigest(base::sha256Hex(callerKey));
        ++node.counts.offered;
        deliver(vm, node.generation, std::move(arrived));
    }

    // Withdraws every key of a team by a direct write to the store.
    void withdrawKeys(const std::string &team)
    {
        const Revision version = store_.read(kind::keys, team)->version;
        store_.write(kind::keys, team, version, R"({"digests":[]})");
    }

    // Makes another bundle the current one by a direct write to the store.
    void rollOut(const std::string &version)
    {
        const Revision expected = store_.read(kind::rollout, rolloutName)->version;
        Rollout rollout = *decodeRollout(store_.read(kind::rollout, rolloutName)->value);
        rollout.previous = rollout.bundle;
        rollout.bundle = version;
        ++rollout.serial;
        store_.write(kind::rollout, rolloutName, expected, encodeRollout(rollout));
    }

    // The bundle in force at a VM according to its status reply.
    std::string bundleOf(std::size_t vm)
    {
        Node &node = nodes_[vm];
        node.status = StatusReturned();
        deliver(vm, node.generation, StatusRequested { RequestId(++node.lastRequest) });
        return node.status.bundle;
    }

    // The index of a VM by its id.
    std::size_t indexOf(const VmId &id) const
    {
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (vms_[i].id == id)
                return i;
        }
        return vms_.size();
    }

    // Every event that VM 0 handled, and the number of effects of each.
    const std::vector<Event> &recordedEvents() const { return recordedEvents_; }
    const std::vector<std::size_t> &recordedEffectCounts() const { return effectCounts_; }

private:
    struct Node
    {
        std::unique_ptr<Reducer> reducer;
        int generation = 0; // raised by each start and kill; older deliveries are dropped
        std::optional<Instant> nextTimer;
        Instant pausedUntil = Instant::never();
        bool isPlatformCut = false;
        bool arePeersCut = false;
        SetReady ready;
        StatusReturned status;
        std::uint64_t lastRequest = 0;
        Counts counts;
    };

    static Vm makeVm(std::size_t i)
    {
        static constexpr const char *regions[] = { "punjab", "kpk", "sindh" };
        const std::string region = regions[i % 3];
        const std::string domain = region + ((i / 3) % 2 == 0 ? "-a" : "-b");
        Vm vm;
        vm.id = VmId(domain + "-" + std::to_string(i));
        vm.region = RegionId(region);
        vm.failureDomain = FailureDomainId(domain);
        vm.callers = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
        vm.peers = { "127.0.0.1", static_cast<std::uint16_t>(2000 + i) };
        return vm;
    }

    void fillStore();

    void schedule(Instant when, std::function<void()> action)
    {
        events_.emplace(when, std::move(action));
    }

    // Delivers an event to a node now, or after its pause.
    void deliver(std::size_t vm, int generation, EventBody body)
    {
        Node &node = nodes_[vm];
        if (node.reducer == nullptr || node.generation != generation)
            return;
        if (now_ < node.pausedUntil) {
            schedule(node.pausedUntil, [this, vm, generation, body = std::move(body)]() mutable {
                deliver(vm, generation, std::move(body));
            });
            return;
        }
        Event event;
        event.now = now_;
        event.random = ++random_ * 0x9E3779B97F4A7C15ULL;
        event.body = std::move(body);
        Effects effects = node.reducer->reduce(event);
        if (vm == 0) {
            recordedEvents_.push_back(event);
            effectCounts_.push_back(effects.size());
        }
        for (Effect &effect : effects)
            std::visit([&](auto &kind) { perform(vm, generation, std::move(kind)); }, effect);
    }

    template<typename Other> void perform(std::size_t, int, Other) { }
    void perform(std::size_t vm, int, SetReady effect) { nodes_[vm].ready = std::move(effect); }
    void perform(std::size_t vm, int, StatusReturned effect)
    {
        nodes_[vm].status = std::move(effect);
    }
    void perform(std::size_t vm, int, AnswerCaller) { ++nodes_[vm].counts.answered; }
    void perform(std::size_t vm, int, RefuseCaller effect)
    {
        ++nodes_[vm].counts.refused[effect.refusal.code];
    }
    void perform(std::size_t vm, int generation, SetTimer effect)
    {
        Node &node = nodes_[vm];
        if (node.nextTimer.has_value() && *node.nextTimer <= effect.at)
            return;
        node.nextTimer = effect.at;
        const Instant when = std::max(effect.at, now_ + Duration::micros(1));
        schedule(when, [this, vm, generation, requestedAt = effect.at] {
            Node &current = nodes_[vm];
            if (current.generation != generation || current.nextTimer != requestedAt)
                return;
            current.nextTimer.reset();
            deliver(vm, generation, TimerFired {});
        });
    }
    void perform(std::size_t vm, int, SendPeer effect)
    {
        const std::size_t to = indexOf(effect.to);
        if (to == vms_.size() || nodes_[vm].arePeersCut || nodes_[to].arePeersCut)
            return;
        PeerMessageReceived received;
        received.from = vms_[vm].id;
        received.incarnation = Incarnation(1000 * (vm + 1) + nodes_[vm].generation);
        received.message = std::move(effect.message);
        const int generation = nodes_[to].generation;
        schedule(now_ + peerLatency,
                 [this, to, generation, received = std::move(received)]() mutable {
                     deliver(to, generation, std::move(received));
                 });
    }
    void perform(std::size_t vm, int generation, ForwardRequest effect)
    {
        ++nodes_[vm].counts.forwarded;
        nodes_[vm].counts.lastForwardedAt = now_;
        schedule(now_ + targetLatency, [this, vm, generation, effect] {
            AttemptEnded ended;
            ended.request = effect.request;
            ended.attempt = effect.attempt;
            ended.outcome = AttemptOutcome::Answered;
            auto answer = std::make_shared<Answer>();
            answer->status = 200;
            ended.answer = answer;
            deliver(vm, generation, std::move(ended));
        });
    }
    void perform(std::size_t vm, int generation, WatchObjects effect)
    {
        const Instant sentAt = now_;
        schedule(now_ + platformLatency, [this, vm, generation, effect, sentAt] {
            answerWatch(vm, generation, effect, sentAt, sentAt + platformLatency + effect.wait);
        });
    }
    void perform(std::size_t vm, int generation, WriteObject effect)
    {
        schedule(now_ + platformLatency, [this, vm, generation, effect] {
            PlatformReplied replied { effect.call, PlatformOutcome::Unknown, {} };
            Duration delay = callTimeout;
            if (!isPlatformDown_ && !nodes_[vm].isPlatformCut) {
                standin::StoreWriteResult written =
                    store_.write(effect.kind, effect.name, effect.expected, effect.value);
                replied.outcome =
                    written.isDone ? PlatformOutcome::Done : PlatformOutcome::Conflict;
                replied.object = std::move(written.object);
                delay = platformLatency;
            }
            schedule(now_ + delay,
                     [this, vm, generation, replied] { deliver(vm, generation, replied); });
        });
    }
    void perform(std::size_t vm, int generation, ReadObject effect)
    {
        PlatformReplied replied { effect.call, PlatformOutcome::Unknown, {} };
        Duration delay = callTimeout;
        if (!isPlatformDown_ && !nodes_[vm].isPlatformCut) {
            std::optional<Object> object = readStore().read(effect.kind, effect.name);
            replied.outcome = object.has_value() ? PlatformOutcome::Done : PlatformOutcome::Missing;
            replied.object = object.value_or(Object());
            delay = platformLatency * 2;
        }
        schedule(now_ + delay,
                 [this, vm, generation, replied] { deliver(vm, generation, replied); });
    }

    const standin::PlatformStore &readStore() const { return replica_ ? *replica_ : store_; }

    // Simulates the store's long poll by polling every few milliseconds.
    void answerWatch(std::size_t vm, int generation, const WatchObjects &effect, Instant sentAt,
                     Instant until)
    {
        constexpr Duration pollInterval = Duration::millis(5);
        if (isPlatformDown_ || nodes_[vm].isPlatformCut) {
            schedule(std::max(now_, sentAt + effect.wait + watchTimeout),
                     [this, vm, generation, sentAt] {
                         deliver(vm, generation, PlatformFailed { sentAt });
                     });
            return;
        }
        const bool hasChanges = effect.after == Revision() || readStore().revision() > effect.after;
        if (!hasChanges && now_ < until) {
            schedule(now_ + pollInterval, [this, vm, generation, effect, sentAt, until] {
                answerWatch(vm, generation, effect, sentAt, until);
            });
            return;
        }
        standin::StoreChanges changes = effect.after == Revision()
            ? readStore().list()
            : readStore().changesAfter(effect.after);
        PlatformChanged changed;
        changed.after = effect.after;
        changed.revision = changes.revision;
        changed.asOf = now_ - platformLatency;
        changed.isComplete = changes.isComplete;
        changed.objects = std::move(changes.objects);
        schedule(now_ + platformLatency,
                 [this, vm, generation, changed] { deliver(vm, generation, changed); });
    }

    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::uint64_t random_ = 0;
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<Vm> vms_;
    std::vector<Node> nodes_;
    standin::PlatformStore store_;
    std::unique_ptr<standin::PlatformStore> replica_; // null: reads see the current store
    std::unique_ptr<standin::PlatformStore> initialStore_;
    bool isPlatformDown_ = false;
    std::vector<Event> recordedEvents_;
    std::vector<std::size_t> effectCounts_;
};

} // namespace bluebellshift::core::testing
