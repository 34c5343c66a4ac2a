// Many HTTP calls and timers at once in one thread.
//
//   HttpLoop loop;
//   loop.runAt(HttpLoop::Clock::now() + 5ms, [&] {
//       loop.start(call, [](const HttpResult &result) { ... });
//   });
//   loop.run(); // until no call and no timer is left
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bluebellshift/core/units.h"

namespace bluebellshift::load {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; // "Name: value"
    std::string body;
    core::Duration timeout = core::Duration::seconds(10);
    bool isSentOnce = false; // on a new connection, never sent again by libcurl
};

struct HttpResult
{
    bool isWhole = false;       // a whole reply arrived
    bool isUnconnected = false; // not one byte of the request was sent
    int status = 0;
    std::string body;
};

// Belongs to one thread.
class HttpLoop
{
public:
    using Clock = std::chrono::steady_clock;
    using Done = std::function<void(const HttpResult &)>;
    using Task = std::function<void()>;

    HttpLoop();
    ~HttpLoop();
    HttpLoop(const HttpLoop &) = delete;
    HttpLoop &operator=(const HttpLoop &) = delete;

    // Calls `done` from run(), never from here.
    void start(HttpCall call, Done done);
    // A task whose time has passed runs at once; tasks run in the order of time.
    void runAt(Clock::time_point at, Task task);
    void run();

private:
    struct Transfer;
    struct Callbacks;

    void runDueTasks();
    void waitForSockets();
    void finishTransfers();
    Clock::time_point nextWake() const;

    void *multi_ = nullptr; // CURLM
    int epoll_ = -1;
    Clock::time_point curlWake_ = Clock::time_point::max();
    std::multimap<Clock::time_point, Task> tasks_;
    std::map<void *, std::unique_ptr<Transfer>> running_; // by easy handle
    std::vector<void *> idle_;                            // easy handles
};

} // namespace bluebellshift::load
