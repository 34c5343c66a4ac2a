// Several Fleets in virtual time, with a fake of the messages between them and
// of the platform. Links, platform, processes and clocks fail on demand.
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
    double drop = 0; // chance for each message
    double duplicate = 0;
    Duration jitter = Duration::millis(1);
    double lostReply = 0; // chance that a write takes effect but its reply is lost
    Duration platformTimeout = Duration::millis(800);   // beyond the time that a watch waits
    std::function<std::size_t(const Message &)> sizeOf; // may be empty
};

// Two failure domains in each of three regions, `perDomain` VMs in each.
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
    // Runs until `length` later; `onStep` is called after each event.
    void run(Duration length);

    Instant now() const { return Instant::fromMicros(time_); }
    Instant localNow(std::size_t vm) const;
    std::size_t size() const { return nodes_.size(); }
    bool isUp(std::size_t vm) const { return nodes_[vm].fleet != nullptr; }
    bool isRunning(std::size_t vm) const { return isUp(vm) && !nodes_[vm].isPaused; }
    Incarnation incarnation(std::size_t vm) const { return nodes_[vm].incarnation; }
    Fleet &fleet(std::size_t vm) { return *nodes_[vm].fleet; }
    const Vm &vm(std::size_t vm) const { return options_.vms[vm]; }

    // Takes tokens at a running VM, as a request would.
    bool take(std::size_t vm, const AccountId &account, double tokens);
    void releaseTokens(std::size_t vm, const AccountId &account, double tokens);
    void want(std::size_t vm, const AccountId &account, double tokens);
    void after(Duration delay, std::function<void()> action);
    void setLimits(const std::vector<AccountLimit> &limits);

    // What is cut or down; tests change these at any time.
    std::function<bool(std::size_t, std::size_t)> isCut; // from one VM to another
    std::function<bool(std::size_t)> isPlatformCut;      // for one VM
    bool isPlatformDown = false;
    Duration platformDelay; // added to each call, each way
    double drop = 0;
    double lostReply = 0;
    std::function<void()> onStep;

    // The platform's truth.
    const Object &membersObject() const { return members_; }
    Revision revision() const { return Revision(revision_); }
    // A change that is none of the fleet's business, such as a key withdrawn.
    void touchPlatform();
    // Stores the member list again as it is, as another writer might.
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
        std::vector<std::function<void()>> held; // events that came while it was paused
        std::uint64_t nextCall = 0;
        std::int64_t offset = 0; // microseconds
        double drift = 0;
        View view;
        Instant timerAt = Instant::never();
        Instant viewAskedAt = Instant::never();
        TrafficCount traffic;
    };
    struct Step
    {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator<(const Step &a, const Step &b)
        {
            return a.at == b.at ? a.order > b.order : a.at > b.at;
        }
    };

    bool chance(double probability);
    Duration latency(std::size_t from, std::size_t to);
    Duration platformLatency(std::size_t vm);
    bool reachesPlatform(std::size_t vm) const;
    // Runs on the VM's incarnation of now, unless that is gone; held while paused.
    void afterOn(std::size_t vm, Duration delay, std::function<void()> action);
    void carryOut(std::size_t vm, const Effects &effects);
    void send(std::size_t from, const VmId &to, const Message &message);
    void deliver(std::size_t to, std::size_t from, Incarnation incarnation, const Message &message);
    void setTimer(std::size_t vm, Instant at); // the earliest one set counts
    void onTimer(std::size_t vm);
    void watch(std::size_t vm);
    void watchAtPlatform(std::size_t vm, Instant begun, Revision known, int waited,
                         std::shared_ptr<bool> ended);
    void platformFailed(std::size_t vm, Instant begun);
    void install(std::size_t vm, const View &view, Instant asOf);
    void call(std::size_t vm, CallId id, std::optional<WriteObject> write);
    void reply(std::size_t vm, const PlatformReplied &reply);
    void askForView(std::size_t vm, std::size_t peer);
    View current() const { return View { Revision(revision_), members_ }; }

    FleetWorldOptions options_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::priority_queue<Step> steps_;
    std::int64_t time_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t incarnations_ = 0;
    std::uint64_t revision_ = 1;
    Object members_;
};

} // namespace bluebellshift::core
