// Several Fleets in virtual time, connected by simulated messages and a simulated
// platform. Tests inject faults into links, platform, processes and clocks.
//
//   FleetWorld world(options);
//   world.startAll();
//   world.run(Duration::seconds(10));
//   world.kill(3);
//   CHECK(world.take(0, account, 1));
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bluebellshift/core/fleet.h"

namespace bluebellshift::core {

struct FleetWorldOptions
{
    std::vector<Vm> vms;
    RegionId storeRegion;
    std::vector<AccountLimit> limits;
    Duration domainLatency = Duration::millis(3); // one way, between failure domains
    Duration regionLatency = Duration::millis(35);
    std::uint64_t seed = 1;
    double drop = 0; // probability for each message
    double duplicate = 0;
    Duration jitter = Duration::millis(1);
    double lostReply = 0; // probability that a write takes effect but its reply is lost
    Duration platformTimeout = Duration::millis(800);   // in addition to the wait of a watch
    std::function<std::size_t(const Message &)> sizeOf; // encoded bytes; may be empty
};

// Returns `perDomain` VMs in each of two failure domains in each of three regions.
std::vector<Vm> makeVms(int perDomain);

struct TrafficCount
{
    std::map<std::string, std::int64_t> bytes; // by kind of message
    std::int64_t messages = 0;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t watches = 0;
};

class FleetWorld
{
public:
    explicit FleetWorld(FleetWorldOptions options);

    void start(std::size_t vm);
    void startAll();
    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void leave(std::size_t vm);
    // Advances virtual time by `length` and calls `onStep` after each event.
    void run(Duration length);

    Instant now() const { return Instant::fromMicros(nowMicros_); }
    Instant localNow(std::size_t vm) const;
    std::size_t size() const { return nodes_.size(); }
    bool isUp(std::size_t vm) const { return nodes_[vm].fleet != nullptr; }
    bool isRunning(std::size_t vm) const { return isUp(vm) && !nodes_[vm].isPaused; }
    Incarnation incarnation(std::size_t vm) const { return nodes_[vm].incarnation; }
    Fleet &fleet(std::size_t vm) { return *nodes_[vm].fleet; }
    const Vm &vm(std::size_t vm) const { return options_.vms[vm]; }

    // Acquires tokens at a running VM, as a request would; false if the VM lacks them.
    bool take(std::size_t vm, const AccountId &account, double tokens);
    void releaseTokens(std::size_t vm, const AccountId &account, double tokens);
    void want(std::size_t vm, const AccountId &account, double tokens);
    void after(Duration delay, std::function<void()> action);
    void setLimits(const std::vector<AccountLimit> &limits);

    // Injected faults; tests may change them at any time.
    std::function<bool(std::size_t, std::size_t)> isCut; // from one VM to another
    std::function<bool(std::size_t)> isPlatformCut;      // for one VM
    bool isPlatformDown = false;
    Duration platformDelay; // added to each call, each way
    double drop = 0;
    double lostReply = 0;
    std::function<void()> onStep;

    // The state of the platform's store.
    const Object &membersObject() const { return members_; }
    Revision revision() const { return Revision(revision_); }
    // Raises the store's revision without a change to the member list, as the
    // withdrawal of a key does.
    void touchPlatform();
    // Writes the member list unchanged under a new version, as another writer might.
    void rewriteMembers();
    const TrafficCount &traffic(std::size_t vm) const { return nodes_[vm].traffic; }
    void resetTraffic();
    std::mt19937_64 &random() { return random_; }

private:
    struct View
    {
        Revision revision;
        Object members;
    };
    struct Node
    {
        std::unique_ptr<Fleet> fleet;
        BudgetHooks hooks;
        Incarnation incarnation;
        bool isPaused = false;
        std::vector<std::function<void()>> deferredActions; // events that arrived during a pause
        std::uint64_t nextCall = 0;
        std::int64_t offset = 0; // microseconds
        double drift = 0;
        View view;
        Instant timerAt = Instant::never();
        Instant viewRequestedAt = Instant::never();
        TrafficCount traffic;
    };
    struct ScheduledAction
    {
        std::int64_t at;
        std::uint64_t sequence;
        std::function<void()> action;
        friend bool operator<(const ScheduledAction &a, const ScheduledAction &b)
        {
            return a.at == b.at ? a.sequence > b.sequence : a.at > b.at;
        }
    };

    bool chance(double probability);
    Duration latency(std::size_t from, std::size_t to);
    Duration platformLatency(std::size_t vm);
    bool reachesPlatform(std::size_t vm) const;
    // Runs `action` after `delay` if the VM still has its present incarnation; a pause
    // defers it.
    void afterOn(std::size_t vm, Duration delay, std::function<void()> action);
    void applyEffects(std::size_t vm, const Effects &effects);
    void send(std::size_t from, const VmId &to, const Message &message);
    void deliver(std::size_t to, std::size_t from, Incarnation incarnation, const Message &message);
    void setTimer(std::size_t vm, Instant at); // the earliest pending timer wins
    void onTimer(std::size_t vm);
    void watch(std::size_t vm);
    void watchAtPlatform(std::size_t vm, Instant startedAt, Revision knownRevision, int waitedSteps,
                         std::shared_ptr<bool> hasEnded);
    void platformFailed(std::size_t vm, Instant startedAt);
    void install(std::size_t vm, const View &view, Instant asOf);
    void call(std::size_t vm, CallId id, std::optional<WriteObject> write);
    void reply(std::size_t vm, const PlatformReplied &reply);
    void requestView(std::size_t vm, std::size_t peer);
    View currentView() const { return View { Revision(revision_), members_ }; }

    FleetWorldOptions options_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::priority_queue<ScheduledAction> scheduled_;
    std::int64_t nowMicros_ = 0;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t revision_ = 1;
    Object members_;
};

} // namespace bluebellshift::core
