// An event loop that runs many concurrent HTTP calls and timers in one thread.
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
    bool forbidsResend = false; // uses a new connection, so that libcurl never resends it
};

struct HttpResult
{
    bool isComplete = false; // the complete reply arrived
    bool isUnsent = false;   // no byte of the request was sent
    int status = 0;
    std::string body;
};

// Not thread-safe: all calls must come from one thread.
class HttpLoop
{
public:
    using Clock = std::chrono::steady_clock;
    using ReplyHandler = std::function<void(const HttpResult &)>;
    using Task = std::function<void()>;

    HttpLoop();
    ~HttpLoop();
    HttpLoop(const HttpLoop &) = delete;
    HttpLoop &operator=(const HttpLoop &) = delete;

    // Starts a call. `onReply` is called from run(), never from start().
    void start(HttpCall call, ReplyHandler onReply);
    // Tasks run in order of time; one that is overdue runs immediately.
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
    Clock::time_point curlTimerAt_ = Clock::time_point::max();
    std::multimap<Clock::time_point, Task> tasks_;
    std::map<void *, std::unique_ptr<Transfer>> transfers_; // by easy handle
    std::vector<void *> idleHandles_;                       // easy handles
};

} // namespace bluebellshift::load
