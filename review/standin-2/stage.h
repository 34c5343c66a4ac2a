// What the scripts of this review share: the platform's store, instances, clients and the gateway
// as a process, all on loopback addresses, and the record of what was sent, answered and run.
//
//   Stage stage(argc, argv);       // FOLDER GATEWAY RECORD
//   Instance &one = stage.addInstance({ "i-1", "rota", "near-1" });
//   stage.startGateway();          // returns false if it does not serve
//   stage.offerLoad(seconds(5), requestsPerSecond);
//   stage.runFor(seconds(5));
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sys/types.h>

#include "bluebellshift/net/httpclient.h"
#include "bluebellshift/net/httpserver.h"
#include "platform/testing/storestandin.h"
#include "review/standin-2/watchcutter.h"

namespace review {

using Clock = std::chrono::steady_clock;
using platform::Json;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;
inline constexpr std::chrono::seconds routeTimeout { 4 }; // timeout_s of every route

struct InstancePlace
{
    std::string id;
    std::string service;
    std::string zone;
};

// An instance as PROTOCOL.md describes it: it writes its entry, says 421 to requests for another
// instance, works for a while, and echoes the request's id with its stamp.
class Instance
{
public:
    struct Run
    {
        std::string requestId;
        std::string path;
        Clock::time_point arrivedAt;
    };

    Instance(boost::asio::io_context &loop, platform::testing::StoreStandin &store,
             InstancePlace place, std::function<void(const std::string &)> record);

    // The whole entry, as it is written at the start and with each heartbeat.
    Json entry() const;
    Json status() const;
    void join();
    // The size of its answers from now on.
    void answerWith(std::size_t bytes) { answerBytes_ = bytes; }
    // The store accepts that the instance drains.
    void drain();
    // The store accepts that the entry is gone.
    void removeEntry();
    // The process ends: its connections are cut.
    void end();

    const InstancePlace &place() const { return place_; }
    const std::vector<Run> &runs() const { return runs_; }
    std::optional<Clock::time_point> leavingAt() const { return leavingAt_; }
    std::optional<Clock::time_point> drainsSince() const { return drainsSince_; }

private:
    void beat();
    void serve(bluebellshift::net::ExchangeId exchange, const bluebellshift::net::Request &request);
    void finish(bluebellshift::net::ExchangeId exchange, const std::string &requestId);

    boost::asio::io_context &loop_;
    platform::testing::StoreStandin &store_;
    const InstancePlace place_;
    const std::function<void(const std::string &)> record_;
    bluebellshift::net::ByteBudget budget_ { 16 * 1024 * 1024 };
    std::unique_ptr<bluebellshift::net::HttpServer> server_;
    std::uint16_t port_ = 0;
    boost::asio::steady_timer beatTimer_;
    bool isDraining_ = false;
    bool isListed_ = false;
    int sequence_ = 0;
    std::size_t answerBytes_ = 100;
    std::optional<Clock::time_point> leavingAt_;
    std::optional<Clock::time_point> drainsSince_;
    std::vector<Run> runs_;
};

class Stage
{
public:
    struct Sent
    {
        std::string path;
        int status = 0; // 0: the connection closed without an answer
        bool isStamped = false;
        Clock::time_point sentAt;
        Clock::time_point endedAt;
    };

    // Arguments: the folder for the settings, the gateway's program, the file of the record.
    explicit Stage(char **arguments);
    ~Stage();
    Stage(const Stage &) = delete;
    Stage &operator=(const Stage &) = delete;

    boost::asio::io_context &loop() { return loop_; }
    platform::testing::StoreStandin &store() { return store_; }
    WatchCutter &watchCutter() { return cutter_; }
    // Whether the script runs with its disruption.
    bool hasTrouble() const { return hasTrouble_; }
    void record(const std::string &line);

    Instance &addInstance(InstancePlace place);
    bool startGateway();
    void runFor(Clock::duration time);
    // Sends requests of the given paths in turn, in the loop, until `time` has passed.
    void offerLoad(std::vector<std::string> paths, int perSecond, Clock::duration time);
    void sendOne(const std::string &path, std::string body, std::chrono::milliseconds deadline);
    void signalGateway(int number);
    std::uint16_t callers() const { return callers_; }
    const std::map<std::string, Sent> &sent() const { return sent_; }
    int answeredWith(int status) const;

private:
    void sendNext();
    bool isReady();

    Clock::time_point startedAt_ = Clock::now();
    const std::string folder_;
    const std::string gateway_;
    std::ofstream record_;
    const bool hasTrouble_;
    boost::asio::io_context loop_;
    bluebellshift::net::ByteBudget budget_ { 64 * 1024 * 1024 };
    bluebellshift::net::HttpClient clients_;
    platform::testing::StoreStandin store_;
    WatchCutter cutter_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::uint16_t callers_ = 0;
    std::uint16_t ready_ = 0;
    pid_t process_ = 0;
    boost::asio::steady_timer loadTimer_;
    std::vector<std::string> paths_;
    std::chrono::microseconds interval_ {};
    Clock::time_point loadEndsAt_;
    int lastRequest_ = 0;
    std::map<std::string, Sent> sent_;
};

} // namespace review
