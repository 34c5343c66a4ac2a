// Several reducers in virtual time, with small fakes at their interfaces: one
// store, links that may be cut, targets that answer, VMs that may be paused,
// killed and replaced. Nothing is random; events happen in the order of time.
//
//   ReducerBench bench(12);
//   bench.run(Duration::seconds(5));
//   bench.cutPlatform(3);
//   bench.offer(3, "a-key");          // a request with that key now
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

    // What became of the requests offered to one VM.
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
        firstStore_ = std::make_unique<standin::PlatformStore>(store_);
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
    // The VM's calls to the platform get no reply.
    void cutPlatform(std::size_t vm, bool isCut = true) { nodes_[vm].isPlatformCut = isCut; }
    // Nothing passes between the VM and the others.
    void cutPeers(std::size_t vm, bool isCut = true) { nodes_[vm].isPeersCut = isCut; }
    // Reads see the store as it was.
    void setReplicaStale(bool isStale)
    {
        replica_ = isStale ? std::make_unique<standin::PlatformStore>(store_) : nullptr;
    }
    // Reads see a given state.
    void showReplica(const standin::PlatformStore &state)
    {
        replica_ = std::make_unique<standin::PlatformStore>(state);
    }
    // The store as it was before any VM started.
    const standin::PlatformStore &firstStore() const { return *firstStore_; }
    void pause(std::size_t vm, Duration time) { nodes_[vm].pausedUntil = now_ + time; }
    void kill(std::size_t vm)
    {
        nodes_[vm].reducer.reset();
        ++nodes_[vm].life;
    }
    void start(std::size_t vm)
    {
        Node &node = nodes_[vm];
        ++node.life;
        node.ready = SetReady();
        node.nextTimer.reset();
        CoreOptions options;
        options.vm = vms_[vm].id;
        options.region = vms_[vm].region;
        options.failureDomain = vms_[vm].failureDomain;
        options.incarnation = Incarnation(1000 * (vm + 1) + node.life);
        options.ticketSecret = "secret-" + std::to_string(options.incarnation.number());
        options.seeds = { vms_[0], vms_[1], vms_[2] };
        View::Hooks hooks;
        hooks.parseBundle = [](std::string_view toml) { return parseBundle(toml); };
        hooks.parseRollout = [](const std::string &json) { return decodeRollout(json); };
        node.reducer = std::make_unique<Reducer>(options, std::move(hooks));
        deliver(vm, node.life, TimerFired {});
    }

    // ---- Callers and operators

    // Offers one request with a key; it is decided before this returns.
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
        deliver(vm, node.life, std::move(arrived));
    }

    // Withdraws every key of a team by a write straight to the store.
    void withdrawKeys(const std::string &team)
    {
        const Revision version = store_.read(kind::keys, team)->version;
        store_.write(kind::keys, team, version, R"({"digests":[]})");
    }

    // Puts another bundle in force by a write straight to the store.
    void rollOut(const std::string &version)
    {
        const Revision held = store_.read(kind::rollout, rolloutName)->version;
        Rollout rollout = *decodeRollout(store_.read(kind::rollout, rolloutName)->value);
        rollout.previous = rollout.bundle;
        rollout.bundle = version;
        ++rollout.serial;
        store_.write(kind::rollout, rolloutName, held, encodeRollout(rollout));
    }

    // The bundle in force at a VM, as it tells an operator.
    std::string bundleOf(std::size_t vm)
    {
        Node &node = nodes_[vm];
        node.status = StatusReturned();
        deliver(vm, node.life, StatusRequested { RequestId(++node.lastRequest) });
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

    // Every event that VM 0 was given, for replaying.
    const std::vector<Event> &recorded() const { return recorded_; }
    const std::vector<std::size_t> &recordedEffectCounts() const { return effectCounts_; }

private:
    struct Node
    {
        std::unique_ptr<Reducer> reducer;
        int life = 0; // grows with each start and kill; old deliveries are dropped
        std::optional<Instant> nextTimer;
        Instant pausedUntil = Instant::never();
        bool isPlatformCut = false;
        bool isPeersCut = false;
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

    void at(Instant when, std::function<void()> action)
    {
        events_.emplace(when, std::move(action));
    }

    // Gives a node an event now, or when its pause has ended.
    void deliver(std::size_t vm, int life, EventBody body)
    {
        Node &node = nodes_[vm];
        if (node.reducer == nullptr || node.life != life)
            return;
        if (now_ < node.pausedUntil) {
            at(node.pausedUntil, [this, vm, life, body = std::move(body)]() mutable {
                deliver(vm, life, std::move(body));
            });
            return;
        }
        Event event;
        event.now = now_;
        event.random = ++random_ * 0x9E3779B97F4A7C15ULL;
        event.body = std::move(body);
        Effects effects = node.reducer->reduce(event);
        if (vm == 0) {
            recorded_.push_back(event);
            effectCounts_.push_back(effects.size());
        }
        for (Effect &effect : effects)
            std::visit([&](auto &kind) { perform(vm, life, std::move(kind)); }, effect);
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
    void perform(std::size_t vm, int life, SetTimer effect)
    {
        Node &node = nodes_[vm];
        if (node.nextTimer.has_value() && *node.nextTimer <= effect.at)
            return;
        node.nextTimer = effect.at;
        const Instant when = std::max(effect.at, now_ + Duration::micros(1));
        at(when, [this, vm, life, asked = effect.at] {
            Node &woken = nodes_[vm];
            if (woken.life != life || woken.nextTimer != asked)
                return;
            woken.nextTimer.reset();
            deliver(vm, life, TimerFired {});
        });
    }
    void perform(std::size_t vm, int, SendPeer effect)
    {
        const std::size_t to = indexOf(effect.to);
        if (to == vms_.size() || nodes_[vm].isPeersCut || nodes_[to].isPeersCut)
            return;
        PeerMessageReceived said;
        said.from = vms_[vm].id;
        said.incarnation = Incarnation(1000 * (vm + 1) + nodes_[vm].life);
        said.message = std::move(effect.message);
        const int life = nodes_[to].life;
        at(now_ + peerLatency, [this, to, life, said = std::move(said)]() mutable {
            deliver(to, life, std::move(said));
        });
    }
    void perform(std::size_t vm, int life, ForwardRequest effect)
    {
        ++nodes_[vm].counts.forwarded;
        nodes_[vm].counts.lastForwardedAt = now_;
        at(now_ + targetLatency, [this, vm, life, effect] {
            AttemptEnded ended;
            ended.request = effect.request;
            ended.attempt = effect.attempt;
            ended.outcome = AttemptOutcome::Answered;
            auto answer = std::make_shared<Answer>();
            answer->status = 200;
            ended.answer = answer;
            deliver(vm, life, std::move(ended));
        });
    }
    void perform(std::size_t vm, int life, WatchObjects effect)
    {
        const Instant sentAt = now_;
        at(now_ + platformLatency, [this, vm, life, effect, sentAt] {
            answerWatch(vm, life, effect, sentAt, sentAt + platformLatency + effect.wait);
        });
    }
    void perform(std::size_t vm, int life, WriteObject effect)
    {
        at(now_ + platformLatency, [this, vm, life, effect] {
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
            at(now_ + delay, [this, vm, life, replied] { deliver(vm, life, replied); });
        });
    }
    void perform(std::size_t vm, int life, ReadObject effect)
    {
        PlatformReplied replied { effect.call, PlatformOutcome::Unknown, {} };
        Duration delay = callTimeout;
        if (!isPlatformDown_ && !nodes_[vm].isPlatformCut) {
            std::optional<Object> object = readable().read(effect.kind, effect.name);
            replied.outcome = object.has_value() ? PlatformOutcome::Done : PlatformOutcome::Missing;
            replied.object = object.value_or(Object());
            delay = platformLatency * 2;
        }
        at(now_ + delay, [this, vm, life, replied] { deliver(vm, life, replied); });
    }

    const standin::PlatformStore &readable() const { return replica_ ? *replica_ : store_; }

    // The store holds a watch; looking again every few milliseconds stands for that.
    void answerWatch(std::size_t vm, int life, const WatchObjects &effect, Instant sentAt,
                     Instant until)
    {
        constexpr Duration lookInterval = Duration::millis(5);
        if (isPlatformDown_ || nodes_[vm].isPlatformCut) {
            at(std::max(now_, sentAt + effect.wait + watchTimeout),
               [this, vm, life, sentAt] { deliver(vm, life, PlatformFailed { sentAt }); });
            return;
        }
        const bool isNews = effect.after == Revision() || readable().revision() > effect.after;
        if (!isNews && now_ < until) {
            at(now_ + lookInterval, [this, vm, life, effect, sentAt, until] {
                answerWatch(vm, life, effect, sentAt, until);
            });
            return;
        }
        standin::StoreChanges changes =
            effect.after == Revision() ? readable().list() : readable().changesAfter(effect.after);
        PlatformChanged changed;
        changed.after = effect.after;
        changed.revision = changes.revision;
        changed.asOf = now_ - platformLatency;
        changed.isComplete = changes.isComplete;
        changed.objects = std::move(changes.objects);
        at(now_ + platformLatency, [this, vm, life, changed] { deliver(vm, life, changed); });
    }

    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::uint64_t random_ = 0;
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<Vm> vms_;
    std::vector<Node> nodes_;
    standin::PlatformStore store_;
    std::unique_ptr<standin::PlatformStore> replica_; // null: reads see the store
    std::unique_ptr<standin::PlatformStore> firstStore_;
    bool isPlatformDown_ = false;
    std::vector<Event> recorded_;
    std::vector<std::size_t> effectCounts_;
};

} // namespace bluebellshift::core::testing
