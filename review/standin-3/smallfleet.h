// A small deployment on loopback addresses: the platform's store, gateway processes that are
// started with the command and the template of the deploy file, instances, and clients that ask the
// directory. Everything that is sent, answered and run is written to a record.
//
//   SmallFleet fleet(options, "review/11/record.txt");
//   if (!fleet.start())
//       return exitCannotRun;
//   fleet.beginTraffic();
//   fleet.runFor(std::chrono::seconds(8));
//   fleet.killAll();
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

#include "bluebellshift/gatewayd/testing/storeproxy.h"
#include "bluebellshift/net/httpclient.h"
#include "bluebellshift/net/httpserver.h"
#include "platform/testing/storestandin.h"

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// What run.sh exits with.
inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitCannotRun = 2;

// Bounds of nashta-rota (SYSTEM.md).
inline constexpr Millis contactTime { 4000 };  // contact_s
inline constexpr Millis drainTime { 2500 };    // drain_s
inline constexpr Millis recoverTime { 15000 }; // recover_s
inline constexpr Millis heartbeat { 1500 };    // heartbeat_s

// Whether the variable TROUBLE is anything but 0.
bool hasTrouble();

// A loopback address that no other run on this machine uses.
std::string addressOf(int number);

struct Zone
{
    std::string name;
    std::string region;
};

// One attempt of a client.
struct Request
{
    std::string id;
    std::size_t gateway = 0; // to which it was sent
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    bool isUnsafe = false;
    int status = 0; // 0: the connection ended without a complete answer, or none came in time
    bool isServed = false;
};

// A request that reached an instance.
struct Arrival
{
    std::string requestId;
    Clock::time_point at;
    bool isRun = false;      // else it was rejected with Not-Run
    bool isExpected = false; // else it was meant for another instance and got 421
};

class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &text);
    std::int64_t millisOf(Clock::time_point time) const;

private:
    const Clock::time_point startedAt_ = Clock::now();
    std::ofstream file_;
};

// An instance, which keeps its entry in the store.
class Instance
{
public:
    struct Place
    {
        std::string id;
        std::string service;
        std::string zone;
        Millis safeWork;
        Millis unsafeWork;
    };

    Instance(boost::asio::io_context &loop, platform::testing::StoreStandin &store, Record &record,
             Place place, std::string address);
    ~Instance();

    void join();
    // Reports draining; serves on.
    void drain();
    // Its entry is removed; serves on.
    void removeEntry();
    // Ends the process, and removes the entry if there is one.
    void exit();

    const Place &place() const { return place_; }
    const std::vector<Arrival> &arrivals() const { return arrivals_; }
    // When the store acknowledged that it drains or is gone.
    const std::optional<Clock::time_point> &leavingAt() const { return leavingAt_; }
    // The entry as the store lists it.
    std::string entryText() const;

    // Its process ends without a word; its entry stays.
    void crash();
    // Its process starts again under the same id and address, and is cold for a while.
    void startAgain(Millis warmup);
    // The entry as it would write it now.
    platform::Json spec();
    // The store carries out a write that an earlier run has sent.
    void writeLate(platform::Json earlier);
    Clock::time_point startedAt() const { return startedAt_; }

private:
    struct Work;

    void listen();
    void beatLater();
    void write();
    void serve(bluebellshift::net::ExchangeId exchange, const bluebellshift::net::Request &request);
    void begin(const std::shared_ptr<Work> &work);
    void end(const std::shared_ptr<Work> &work);
    void reject(bluebellshift::net::ExchangeId exchange, int status, const std::string &requestId);
    std::string loadText() const;

    boost::asio::io_context &loop_;
    platform::testing::StoreStandin &store_;
    Record &record_;
    const Place place_;
    const std::string address_;
    std::int64_t bornMillis_;
    Clock::time_point startedAt_ = Clock::now();
    Clock::time_point coldUntil_;
    std::unique_ptr<boost::asio::steady_timer> beat_;
    bluebellshift::net::ByteBudget budget_ { 16 * 1024 * 1024 };
    std::unique_ptr<bluebellshift::net::HttpServer> server_;
    bool isDraining_ = false;
    bool isListed_ = false;
    int sequence_ = 0;
    std::vector<std::shared_ptr<Work>> running_;
    std::vector<std::shared_ptr<Work>> waiting_;
    std::optional<Clock::time_point> leavingAt_;
    std::vector<Arrival> arrivals_;
};

// One machine of the system.
class GatewayMachine
{
public:
    GatewayMachine(boost::asio::io_context &loop, platform::testing::StoreStandin &store,
                   Record &record, std::string name, std::string address,
                   const std::vector<Zone> &zones, std::size_t zone);
    ~GatewayMachine();

    // Starts the process and doesn't wait.
    bool launch();
    bool isAlive();
    void signal(int number) const;
    // Whether the process has said since its last start that it is ready.
    bool isReady() const { return isReady_; }
    // Asks the process once whether it is ready.
    void askReady();

    const std::string &name() const { return name_; }
    const Zone &zone() const { return zones_[zone_]; }
    const std::string &address() const { return address_; }
    // The path between this machine and the store.
    bluebellshift::gatewayd::testing::StoreProxy &storePath() { return storePath_; }
    // What the process has written.
    std::string log() const;

private:
    bool writeSettings() const;

    boost::asio::io_context &loop_;
    Record &record_;
    const std::string name_;
    const std::string address_;
    const std::vector<Zone> &zones_;
    const std::size_t zone_;
    bluebellshift::gatewayd::testing::StoreProxy storePath_;
    bluebellshift::net::ByteBudget budget_ { 1024 * 1024 };
    bluebellshift::net::HttpClient client_;
    std::string folder_;
    pid_t process_ = 0;
    bool hasEnded_ = true;
    bool isReady_ = false;
};

struct SmallFleetOptions
{
    std::size_t gateways = 3;
    std::size_t instances = 12;
    Millis safeInterval { 25 };    // between two requests of the safe route
    Millis unsafeInterval { 100 }; // of the unsafe one
    Millis safeWork { 60 };
    Millis unsafeWork { 400 };
    double safeTimeout = 2; // timeout_s of the safe route
};

class SmallFleet
{
public:
    SmallFleet(const SmallFleetOptions &options, const std::string &recordPath);
    ~SmallFleet();
    SmallFleet(const SmallFleet &) = delete;
    SmallFleet &operator=(const SmallFleet &) = delete;

    // Writes the configuration, lets the instances join and starts the machines. Returns whether
    // all of them are ready.
    bool start();
    // Whether all machines say that they are ready, within the time.
    bool waitUntilReady(Millis time);
    void beginTraffic();
    void endTraffic() { hasTraffic_ = false; }
    void runFor(Millis time);
    void at(Millis delay, std::function<void()> action);
    void every(Millis interval, std::function<void()> action);

    platform::testing::StoreStandin &store() { return store_; }
    std::vector<std::unique_ptr<Instance>> &instances() { return instances_; }
    std::vector<std::unique_ptr<GatewayMachine>> &gateways() { return gateways_; }
    const std::vector<Request> &requests() const { return requests_; }
    Record &record() { return record_; }

    // Writes a line to the record and to standard output.
    void report(const std::string &text);
    // Requests that were sent in a span, and how many of them were served.
    std::pair<std::size_t, std::size_t> servedBetween(Clock::time_point from,
                                                      Clock::time_point to) const;
    // Writes the logs of the machines to a folder, if the variable LOGS names one.
    void writeLogs() const;

private:
    void writeConfig();
    void askDirectory(std::size_t tries);
    void sendNext(bool isUnsafe, Millis interval);
    void send(bool isUnsafe);

    const SmallFleetOptions options_;
    boost::asio::io_context loop_;
    Record record_;
    platform::testing::StoreStandin store_;
    const std::vector<Zone> zones_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::vector<std::unique_ptr<GatewayMachine>> gateways_;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
    bluebellshift::net::ByteBudget budget_ { 16 * 1024 * 1024 };
    bluebellshift::net::HttpClient client_;
    std::vector<std::string> known_; // addresses of machines, from the directory
    std::vector<Request> requests_;
    std::size_t lookups_ = 0;
    bool hasTraffic_ = false;
    bool isEnding_ = false;
};

} // namespace review
