// A run of a fleet of gateway processes on the loopback address, with clients at each of them,
// targets, an operator, and faults from outside.
//
//   FleetRun run(options);
//   if (!run.start()) ...
//   run.every(milliseconds(300), [&] { run.publish(); return true; });
//   run.at(milliseconds(2000), [&] { run.freeze(3, milliseconds(1500)); });
//   run.runFor(milliseconds(20'000));
//   FleetRun::Result result = run.finish();
//
// Everything runs on one loop. The time for which that loop was late counts as a disturbance of
// everything, and so does a gateway's event 108 (loop-delayed) for that gateway.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebellshift/gatewayd/testing/gatewayprocess.h"
#include "bluebellshift/gatewayd/testing/rulecheck.h"
#include "bluebellshift/gatewayd/testing/storeproxy.h"
#include "bluebellshift/net/httpclient.h"
#include "bluebellshift/net/testing/looptools.h"

namespace bluebellshift::gatewayd::testing {

struct FleetRunOptions
{
    std::size_t vms = 12;
    std::size_t targets = 12;
    std::uint64_t seed = 1;
    std::chrono::milliseconds requestInterval { 50 }; // at each gateway
    std::chrono::milliseconds storeDelay { 2 };       // in each direction
    std::chrono::milliseconds restartInterval { 0 };  // between two processes that start again
};

class FleetRun
{
public:
    using Milliseconds = std::chrono::milliseconds;

    struct Result
    {
        std::vector<RuleCase> cases;
        std::vector<std::uint64_t> versions; // in force at the end, by VM
        std::uint64_t newestVersion = 0;
        int mostCallsPerSecond = 0;         // to the store, of all VMs
        std::map<std::string, int> linesOf; // by event name, of all VMs
        std::vector<std::string> ownEnds;   // VMs whose process ended by itself
        int lateEnds = 0; // processes that ended later than the grace period after SIGTERM
        std::size_t requests = 0;
        std::size_t answered = 0;
        // Whether all VMs have the newest version in force.
        bool isConverged() const;
        std::string text() const; // for people, with the first cases of each rule
    };

    explicit FleetRun(const FleetRunOptions &options);
    ~FleetRun();
    FleetRun(const FleetRun &) = delete;
    FleetRun &operator=(const FleetRun &) = delete;

    // Starts the gateways and the clients; returns false if a gateway doesn't serve in time.
    bool start();
    void runFor(Milliseconds time);
    // Calls `action` once after `delay`.
    void at(Milliseconds delay, std::function<void()> action);
    // Calls `action` in each interval until it returns false, or until stopChanges().
    void every(Milliseconds interval, const std::function<bool()> &action);

    // For the choice of faults; nothing else draws from it.
    std::mt19937_64 &random() { return random_; }
    platform::testing::StoreStandin &store() { return store_; }
    ConfigOperator &config() { return config_; }
    std::size_t vmCount() const { return gateways_.size(); }
    std::vector<std::unique_ptr<ListedTarget>> &targets() { return targets_; }
    // `warmup`: for how many seconds it says that it is cold.
    void addTarget(double warmup = 0);

    // Writes the next version, unless the store is away.
    void publish();
    // The store is away for a moment and returns as `copy`; then the operator and the targets
    // write again, each within `writeAgainWithin`.
    void drill(platform::testing::StoreStandin::Copy copy, Milliseconds away,
               Milliseconds writeAgainWithin);
    void freeze(std::size_t vm, Milliseconds time);
    void disturbLink(std::size_t vm, LinkFault fault, Milliseconds time);
    void halfOpenLink(std::size_t vm);
    void terminate(std::size_t vm); // and starts it again
    void kill(std::size_t vm);      // and starts it again
    void reload(std::size_t vm);    // SIGHUP
    void evacuate(const std::string &failureDomain, Milliseconds time);
    const std::vector<std::string> &failureDomains() const { return domains_; }
    // Whether the VM has an unfinished fault.
    bool isDisturbed(std::size_t vm) const;
    // VMs that read the store for others, according to their log.
    std::vector<std::size_t> readers() const;

    // Ends the actions of every().
    void stopChanges() { isChanging_ = false; }

    Result finish();
    // Writes the gateways' logs, the faults and all cases to a folder.
    void writeLogs(const std::string &folder, const Result &result) const;

private:
    struct Gateway
    {
        std::unique_ptr<StoreProxy> proxy;
        std::unique_ptr<GatewayProcess> process;
        int incarnation = 0;
        int faults = 0; // unfinished
        bool isEndExpected = false;
        bool isStarting = false; // launched, and not serving yet
        TestClock::time_point terminatedAt;
        std::vector<net::testing::RawPeer> keepers; // connections that clients never close
        TestClock::time_point disturbedFrom;
    };

    void tick();
    void checkProcesses();
    void note(const std::string &text);
    // Opens connections to a process that serves, on which one request is sent.
    void keepConnections(std::size_t vm);
    void beginFault(std::size_t vm, const std::string &name);
    void endFault(std::size_t vm);
    void writeEvacuation(const std::string &failureDomain);
    void sendRequests(std::size_t vm);
    void sendRequest(std::size_t vm);
    // Milliseconds after the start.
    std::int64_t millisOf(TestClock::time_point time) const;
    void readLogs(Result *result);
    void readLog(std::size_t vm, const std::string &log, Result *result);

    const FleetRunOptions options_;
    std::mt19937_64 random_;
    boost::asio::io_context loop_;
    platform::testing::StoreStandin store_;
    std::mt19937_64 requestRandom_;
    ConfigOperator config_;
    std::vector<std::string> domains_;
    std::vector<Gateway> gateways_;
    std::vector<std::unique_ptr<ListedTarget>> targets_;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
    boost::asio::steady_timer tickTimer_;
    net::ByteBudget budget_ { 64 * 1024 * 1024 };
    net::HttpClient client_;
    Observed observed_;
    bool isStoreAway_ = false;
    std::map<std::string, TestClock::time_point> evacuatedSince_; // by failure domain, last written
    std::vector<std::string> ownEnds_;
    int lateEnds_ = 0;
    std::ostringstream notes_; // of faults
    TestClock::time_point nextRestartAt_;
    bool isFinished_ = false;
    bool isChanging_ = true;
    std::uint64_t requestNumber_ = 0;
    TestClock::time_point startedAt_;
    std::chrono::system_clock::time_point startedAtWallTime_; // of startedAt_
};

} // namespace bluebellshift::gatewayd::testing
