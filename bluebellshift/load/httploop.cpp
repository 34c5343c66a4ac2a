// Drives libcurl's multi socket interface with epoll. epoll_pwait2 takes its timeout
// in nanoseconds, so that a request starts within microseconds of its scheduled
// instant; curl_multi_poll would round to milliseconds.
//
// libcurl resends a request by itself when a reused connection closes before the
// reply. For idempotent requests that is what real callers do. Other requests use a new
// connection, so that every attempt is counted. If the resend fails to connect, libcurl
// reports only the connection failure although the first copy was sent; the number of
// bytes sent distinguishes the two cases.
#include "bluebellshift/load/httploop.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "bluebellshift/core/answer.h"

namespace bluebellshift::load {

namespace {

constexpr long maxIdleConnections = 4096;
constexpr long connectTimeoutMillis = 2000;
constexpr std::size_t maxReplyBytes = 64 * 1024 * 1024;

timespec timespecOf(std::chrono::nanoseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return { seconds.count(), (duration - seconds).count() };
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *body = static_cast<std::string *>(user);
    const std::size_t bytes = size * count;
    if (body->size() + bytes > maxReplyBytes)
        return 0; // makes libcurl abort the transfer
    body->append(data, bytes);
    return bytes;
}

} // namespace

struct HttpLoop::Transfer
{
    ~Transfer() { curl_slist_free_all(headers); }

    HttpCall call;
    ReplyHandler onReply;
    HttpResult result;
    curl_slist *headers = nullptr;
};

struct HttpLoop::Callbacks
{
    static int onSocketChanged(CURL *, curl_socket_t socket, int what, void *user, void *socketData)
    {
        auto *loop = static_cast<HttpLoop *>(user);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(loop->epoll_, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event {};
        event.data.fd = socket;
        if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
            event.events |= EPOLLIN;
        if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
            event.events |= EPOLLOUT;
        const int operation = socketData == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        epoll_ctl(loop->epoll_, operation, socket, &event);
        curl_multi_assign(loop->multi_, socket, loop); // marks the socket as added to epoll
        return 0;
    }

    static int onTimerChanged(CURLM *, long millis, void *user)
    {
        auto *loop = static_cast<HttpLoop *>(user);
        loop->curlTimerAt_ = millis < 0 ? Clock::time_point::max()
                                        : Clock::now() + std::chrono::milliseconds(millis);
        return 0;
    }
};

HttpLoop::HttpLoop()
    : multi_(curl_multi_init())
    , epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Callbacks::onSocketChanged);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Callbacks::onTimerChanged);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxIdleConnections);
}

HttpLoop::~HttpLoop()
{
    for (const auto &[easy, transfer] : transfers_) {
        curl_multi_remove_handle(multi_, easy);
        idleHandles_.push_back(easy);
    }
    for (void *easy : idleHandles_)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
    close(epoll_);
}

void HttpLoop::start(HttpCall call, ReplyHandler onReply)
{
    if (idleHandles_.empty())
        idleHandles_.push_back(curl_easy_init());
    CURL *easy = idleHandles_.back();
    idleHandles_.pop_back();
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->onReply = std::move(onReply);
    for (const std::string &header : transfer->call.headers)
        transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");

    const HttpCall &storedCall = transfer->call;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, storedCall.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMillis);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(storedCall.timeout.toMillis()));
    if (storedCall.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(storedCall.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, storedCall.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, storedCall.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    if (storedCall.forbidsResend) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->result.body);
    transfers_[easy] = std::move(transfer);
    curl_multi_add_handle(multi_, easy);
}

void HttpLoop::runAt(Clock::time_point at, Task task)
{
    tasks_.emplace(at, std::move(task));
}

void HttpLoop::run()
{
    while (!tasks_.empty() || !transfers_.empty()) {
        runDueTasks();
        waitForSockets();
        finishTransfers();
    }
}

void HttpLoop::runDueTasks()
{
    while (!tasks_.empty() && tasks_.begin()->first <= Clock::now()) {
        const Task task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
    }
}

HttpLoop::Clock::time_point HttpLoop::nextWake() const
{
    return tasks_.empty() ? curlTimerAt_ : std::min(curlTimerAt_, tasks_.begin()->first);
}

void HttpLoop::waitForSockets()
{
    if (transfers_.empty() && tasks_.empty())
        return;
    std::array<epoll_event, 256> events;
    const auto wake = nextWake();
    const auto now = Clock::now();
    timespec timeout {};
    if (wake > now)
        timeout = timespecOf(wake - now);
    const timespec *limit = wake == Clock::time_point::max() ? nullptr : &timeout;
    const int count =
        epoll_pwait2(epoll_, events.data(), static_cast<int>(events.size()), limit, nullptr);
    int running = 0;
    for (int i = 0; i < count; ++i) {
        const std::uint32_t flags = events[static_cast<std::size_t>(i)].events;
        int what = 0;
        what |= (flags & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
        what |= (flags & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
        what |= (flags & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
        const int socket = events[static_cast<std::size_t>(i)].data.fd;
        curl_multi_socket_action(multi_, socket, what, &running);
    }
    if (curlTimerAt_ <= Clock::now()) {
        curlTimerAt_ = Clock::time_point::max();
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void HttpLoop::finishTransfers()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        const std::unique_ptr<Transfer> transfer = std::move(transfers_[easy]);
        transfers_.erase(easy);
        HttpResult &result = transfer->result;
        long status = 0;
        long bytesSent = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytesSent);
        result.status = static_cast<int>(status);
        result.isComplete = code == CURLE_OK && core::isFinalStatus(result.status);
        result.isUnsent = code == CURLE_COULDNT_CONNECT && bytesSent == 0;
        curl_multi_remove_handle(multi_, easy);
        idleHandles_.push_back(easy);
        transfer->onReply(result);
    }
}

} // namespace bluebellshift::load
