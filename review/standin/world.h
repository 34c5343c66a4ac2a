// Stand-ins for a small deployment on the loopback address: the platform's store, instances,
// gateways as separate processes, and a blocking HTTP client. Threads and blocking sockets; no
// part of the product is linked.
//
//   World world(folder);                        // writes record.txt into the folder
//   Instance instance(world, { "i-1", "svc", "zone-a", 3 });
//   Gateway gateway(world, { "front-1", "region-a", "zone-a" });
//   gateway.start();
//   gateway.signal(SIGTERM);
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Seconds since the start of the program.
double now();
void sleepSeconds(double seconds);

int listenOn(std::uint16_t port); // 0: any free port; -1: failed
std::uint16_t portOf(int socket);
std::uint16_t freePort();
int connectTo(std::uint16_t port); // -1: failed
bool sendAll(int socket, const std::string &bytes);

struct Message
{
    std::string start; // the first line
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const;
    int status() const; // of a response
    std::string path() const;
    std::string method() const;
};

// Reads HTTP messages from a socket.
class Reader
{
public:
    explicit Reader(int socket)
        : socket_(socket)
    {
    }
    // Returns false if the connection ends first; `message` holds what has arrived.
    bool read(Message *message);
    std::size_t bytesRead() const { return bytesRead_; }

private:
    bool fill();

    int socket_;
    std::string buffer_;
    std::size_t bytesRead_ = 0;
};

class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
};

// The platform's metadata store (form "objects"): lists, watches, conditional writes.
class Store
{
public:
    Store();
    std::uint16_t port() const { return port_; }
    // A change by the operator or an instance.
    void put(const std::string &kind, const std::string &name, Json spec, Json status);
    void remove(const std::string &kind, const std::string &name);
    // An entry of another writer, returned as the text that it wrote: JSON that need not make
    // sense to a reader.
    void putForeign(const std::string &kind, const std::string &name, const std::string &specText);
    std::size_t count(const std::string &kind);

private:
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        Json object;
        bool isDeleted;
    };
    void serve(int socket);
    std::pair<int, Json> answer(const Message &request);
    std::pair<int, Json> list(const std::string &kind, std::map<std::string, std::string> query);
    std::pair<int, Json> write(const Message &request, const std::string &kind,
                               const std::string &name, std::map<std::string, std::string> query);
    void change(const std::string &kind, const std::string &name, Json object, bool isDeleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Event> history_;
    std::map<std::string, std::string> foreignTexts_; // by the mark that stands for them
    std::uint64_t revision_ = 1000;
    std::uint16_t port_ = 0;
    int listener_ = -1;
};

struct World
{
    explicit World(const std::string &folder);
    // The configuration of the operator: routes of one host "shop.example".
    void configure(const Json &rules, const Json &clusters, const Json &tenants);

    std::string folder;
    std::string temporary; // for settings files; removed at the end
    Record record;
    Store store;
    std::uint16_t configVersion = 0;
};

struct InstanceOptions
{
    std::string id;
    std::string service;
    std::string zone;
    int slots = 3;
    double workSeconds = 0.2;
    double warmupSeconds = 0; // it is cold for that long from its start on
    std::size_t bodyBytes = 64;
};

// An instance of a service. It runs each request in a thread of its own, at most `slots` at a
// time with a queue of three times as many, and rejects more with 503 and Not-Run.
class Instance
{
public:
    Instance(World &world, InstanceOptions options);
    // The work of a request, if it is to differ: by its path.
    std::map<std::string, double> workOf;
    std::function<void(const Message &)> onArrival; // optional, called before it runs
    // Times at which requests arrived.
    std::vector<double> arrivals();
    // Registers in the store, and writes there every heartbeat.
    void beginBeats();
    // Reports that it is draining; it serves on.
    void drain();
    // Ends: its connections are closed, whatever is at work, and its entry is removed.
    void leave();

private:
    void serve(int socket);
    void serveRequests(int socket);
    void writeEntry(bool isFirst);

    World &world_;
    InstanceOptions options_;
    std::mutex mutex_;
    std::condition_variable slotFree_;
    std::vector<double> arrivals_;
    int running_ = 0;
    int waiting_ = 0;
    int sequence_ = 0;
    double coldUntil_ = 0;
    bool isDraining_ = false;
    bool hasLeft_ = false;
    std::set<int> sockets_;
    std::int64_t born_ = 0;
    int listener_ = -1;
    std::uint16_t port_ = 0;
};

struct GatewayOptions
{
    std::string id;
    std::string region;
    std::string zone;
};

// A process with the command of the deploy file.
class Gateway
{
public:
    Gateway(World &world, GatewayOptions options, const std::map<std::string, std::string> &zones);
    ~Gateway();
    void start();
    void signal(int number) const;
    // Waits for its end; returns false if it still runs after `seconds`.
    bool waitForEnd(double seconds);
    // Whether its readiness check answers 200 within `seconds`.
    bool waitUntilReady(double seconds) const;
    std::uint16_t port() const { return callers_; }
    const std::string &id() const { return options_.id; }

private:
    World &world_;
    GatewayOptions options_;
    std::uint16_t callers_;
    std::uint16_t ready_;
    std::string settings_;
    pid_t process_ = -1;
};

// Ends the program: with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
// The threads of the stand-ins serve until then.
[[noreturn]] void finish(World &world, int code);

std::string requestText(const std::string &path, const std::string &id, int deadlineMillis,
                        const std::string &method = "GET");

} // namespace review
