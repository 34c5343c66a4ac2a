// libcurl's multi interface by sockets, with epoll. epoll_pwait2 takes its
// time-out in nanoseconds, so that a request starts within microseconds of its
// scheduled instant; curl_multi_poll would round to milliseconds.
//
// libcurl sends a request again by itself when a kept connection closes before
// the reply. For repeatable requests that is what callers do. Others go out on a
// new connection, so that each attempt is counted. When the second sending finds
// no connection, libcurl reports only that, though the first one was sent: the
// bytes sent tell the two apart.
#include "bluebellshift/load/httploop.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace bluebellshift::load {

namespace {

constexpr long connectionsKept = 4096;
constexpr long connectTimeoutMillis = 2000;
constexpr std::size_t replyBytesMost = 64 * 1024 * 1024;

timespec timespecOf(std::chrono::nanoseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return { seconds.count(), (duration - seconds).count() };
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *body = static_cast<std::string *>(user);
    const std::size_t bytes = size * count;
    if (body->size() + bytes > replyBytesMost)
        return 0; // libcurl then ends the transfer
    body->append(data, bytes);
    return bytes;
}

} // namespace

struct HttpLoop::Transfer
{
    ~Transfer() { curl_slist_free_all(headers); }

    HttpCall call;
    Done done;
    HttpResult result;
    curl_slist *headers = nullptr;
};

struct HttpLoop::Callbacks
{
    static int socketChanged(CURL *, curl_socket_t socket, int what, void *user, void *known)
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
        const int operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        epoll_ctl(loop->epoll_, operation, socket, &event);
        curl_multi_assign(loop->multi_, socket, loop); // marks it as known
        return 0;
    }

    static int timerChanged(CURLM *, long millis, void *user)
    {
        auto *loop = static_cast<HttpLoop *>(user);
        loop->curlWake_ = millis < 0 ? Clock::time_point::max()
                                     : Clock::now() + std::chrono::milliseconds(millis);
        return 0;
    }
};

HttpLoop::HttpLoop()
    : multi_(curl_multi_init())
    , epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Callbacks::socketChanged);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Callbacks::timerChanged);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connectionsKept);
}

HttpLoop::~HttpLoop()
{
    for (const auto &[easy, transfer] : running_) {
        curl_multi_remove_handle(multi_, easy);
        idle_.push_back(easy);
    }
    for (void *easy : idle_)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
    close(epoll_);
}

void HttpLoop::start(HttpCall call, Done done)
{
    if (idle_.empty())
        idle_.push_back(curl_easy_init());
    CURL *easy = idle_.back();
    idle_.pop_back();
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    for (const std::string &header : transfer->call.headers)
        transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");

    const HttpCall &own = transfer->call;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, own.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMillis);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(own.timeout.toMillis()));
    if (own.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(own.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, own.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, own.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    if (own.isSentOnce) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->result.body);
    running_[easy] = std::move(transfer);
    curl_multi_add_handle(multi_, easy);
}

void HttpLoop::runAt(Clock::time_point at, Task task)
{
    tasks_.emplace(at, std::move(task));
}

void HttpLoop::run()
{
    while (!tasks_.empty() || !running_.empty()) {
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
    return tasks_.empty() ? curlWake_ : std::min(curlWake_, tasks_.begin()->first);
}

void HttpLoop::waitForSockets()
{
    if (running_.empty() && tasks_.empty())
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
    if (curlWake_ <= Clock::now()) {
        curlWake_ = Clock::time_point::max();
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
        const std::unique_ptr<Transfer> transfer = std::move(running_[easy]);
        running_.erase(easy);
        HttpResult &result = transfer->result;
        long status = 0;
        long bytesSent = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytesSent);
        result.status = static_cast<int>(status);
        result.isWhole = code == CURLE_OK;
        result.isUnconnected = code == CURLE_COULDNT_CONNECT && bytesSent == 0;
        curl_multi_remove_handle(multi_, easy);
        idle_.push_back(easy);
        transfer->done(result);
    }
}

} // namespace bluebellshift::load
