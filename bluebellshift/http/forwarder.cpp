// Each connection is one libcurl easy handle in its own multi handle, so that the
// thread can poll for cancellation while it waits. A response is complete only if
// its length is delimited (by Content-Length or chunked encoding) and all of it
// was received; a response that is delimited by the end of the connection could
// have been truncated anywhere.
//
// The lease is checked again after the connection is established and before the
// first byte of the request is sent, because the VM may have been paused while it
// connected.
#include "bluebellshift/http/forwarder.h"

#include <algorithm>
#include <cstdlib>
#include <strings.h>

#include <curl/curl.h>

namespace bluebellshift::http {

using core::AttemptOutcome;

namespace {

constexpr int pollIntervalMillis = 20;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusServiceUnavailable = 503;
constexpr char loadReportHeader[] = "Load-Report";
constexpr char notRunHeader[] = "Not-Run";

bool equalsIgnoringCase(const std::string &a, const char *b)
{
    return strcasecmp(a.c_str(), b) == 0;
}

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t\r\n");
    if (begin == std::string::npos)
        return {};
    const auto end = text.find_last_not_of(" \t\r\n");
    return text.substr(begin, end - begin + 1);
}

// The state that the callbacks of one transfer share.
struct Transfer
{
    const ForwardAttempt *attempt = nullptr;
    const base::Clock *clock = nullptr;
    std::size_t maxAnswerBytes = 0;
    std::shared_ptr<core::Answer> answer = std::make_shared<core::Answer>();
    bool answerBegun = false;
    bool isLengthDelimited = false;
    bool isTooLarge = false;
    bool isExpired = false;
};

const std::string *findHeader(const core::Answer &answer, const char *name)
{
    for (const core::Header &header : answer.headers) {
        if (equalsIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    const std::string line(data, size * count);
    if (line.compare(0, 5, "HTTP/") == 0) {
        // An interim status such as 100 does not show whether the target ran the request.
        const int status = std::atoi(line.c_str() + line.find(' ') + 1);
        transfer->answerBegun = core::isFinalStatus(status);
        transfer->answer->headers.clear();
        transfer->isLengthDelimited = false;
        return size * count;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return size * count;
    core::Header header { trimmed(line.substr(0, colon)), trimmed(line.substr(colon + 1)) };
    if (equalsIgnoringCase(header.name, "Content-Length"))
        transfer->isLengthDelimited = true;
    if (equalsIgnoringCase(header.name, "Transfer-Encoding")
        && equalsIgnoringCase(header.value, "chunked"))
        transfer->isLengthDelimited = true;
    transfer->answer->headers.push_back(std::move(header));
    return size * count;
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    const std::size_t bytes = size * count;
    if (transfer->answer->body.size() + bytes > transfer->maxAnswerBytes) {
        transfer->isTooLarge = true;
        return 0;
    }
    transfer->answer->body.append(data, bytes);
    return bytes;
}

int onConnected(void *user, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(user);
    const core::Instant now = transfer->clock->now();
    if (now <= transfer->attempt->validUntil && now < transfer->attempt->deadline)
        return CURL_PREREQFUNC_OK;
    transfer->isExpired = true;
    return CURL_PREREQFUNC_ABORT;
}

bool hasNoBody(const ForwardAttempt &attempt, long status)
{
    return attempt.method == "HEAD" || status == statusNoContent || status == statusNotModified;
}

int parseBusySlots(const core::Answer &answer)
{
    const std::string *report = findHeader(answer, loadReportHeader);
    if (report == nullptr)
        return -1;
    char *end = nullptr;
    const long busy = std::strtol(report->c_str(), &end, 10);
    return end == report->c_str() || busy < 0 ? -1 : static_cast<int>(std::min(busy, 1'000'000L));
}

std::string endpointText(const core::Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

// One libcurl handle and its connection.
class Forwarder::Connection
{
public:
    Connection()
        : easy_(curl_easy_init())
        , multi_(curl_multi_init())
    {
    }
    ~Connection()
    {
        curl_easy_cleanup(easy_);
        curl_multi_cleanup(multi_);
        curl_slist_free_all(headers_);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void prepare(const ForwardAttempt &attempt, const ForwarderOptions &options, Transfer *transfer,
                 core::Duration timeLeft);
    // Returns CURLE_ABORTED_BY_CALLBACK when cancelled.
    CURLcode run(const std::function<bool()> &isCancelled);

    // Whether any byte of the request may have been sent.
    bool hasSentBytes() const
    {
        long bytes = 0;
        curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes);
        return bytes > 0;
    }
    long status() const
    {
        long status = 0;
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
        return status;
    }

private:
    CURL *easy_;
    CURLM *multi_;
    curl_slist *headers_ = nullptr;
};

void Forwarder::Connection::prepare(const ForwardAttempt &attempt, const ForwarderOptions &options,
                                    Transfer *transfer, core::Duration timeLeft)
{
    curl_easy_reset(easy_);
    curl_slist_free_all(headers_);
    headers_ = nullptr;
    for (const core::Header &header : attempt.headers) {
        // libcurl sends a header without a value only if ';' replaces the ':'.
        const std::string line =
            header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
        headers_ = curl_slist_append(headers_, line.c_str());
    }
    headers_ = curl_slist_append(headers_, "Expect:");

    const std::string url = "http://" + endpointText(attempt.endpoint) + attempt.pathAndQuery;
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(easy_, CURLOPT_HTTP_TRANSFER_DECODING, 1L);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, options.connectTimeout.toMillis());
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, std::max<long>(1, timeLeft.toMillis()));
    if (!attempt.mayReuseConnection) {
        curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
    }
    if (attempt.method == "HEAD") {
        curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    } else if (!attempt.body.empty() || attempt.method == "POST" || attempt.method == "PUT") {
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(attempt.body.size()));
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, attempt.body.data());
    }
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, attempt.method.c_str());
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, onConnected);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, transfer);
}

CURLcode Forwarder::Connection::run(const std::function<bool()> &isCancelled)
{
    curl_multi_add_handle(multi_, easy_);
    CURLcode result = CURLE_OK;
    int running = 1;
    while (running > 0) {
        curl_multi_perform(multi_, &running);
        if (running == 0)
            break;
        if (isCancelled()) {
            result = CURLE_ABORTED_BY_CALLBACK;
            break;
        }
        curl_multi_poll(multi_, nullptr, 0, pollIntervalMillis, nullptr);
    }
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE && result == CURLE_OK)
            result = message->data.result;
    }
    curl_multi_remove_handle(multi_, easy_);
    return result;
}

Forwarder::Forwarder(ForwarderOptions options, base::Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

Forwarder::~Forwarder() = default;

std::unique_ptr<Forwarder::Connection> Forwarder::acquireConnection(const ForwardAttempt &attempt)
{
    if (attempt.mayReuseConnection) {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = idle_.find(endpointText(attempt.endpoint));
        if (found != idle_.end() && !found->second.empty()) {
            std::unique_ptr<Connection> connection = std::move(found->second.back());
            found->second.pop_back();
            return connection;
        }
    }
    return std::make_unique<Connection>();
}

void Forwarder::storeIdleConnection(const ForwardAttempt &attempt,
                                    std::unique_ptr<Connection> connection)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto &idle = idle_[endpointText(attempt.endpoint)];
    if (idle.size() < options_.maxIdleConnectionsPerTarget)
        idle.push_back(std::move(connection));
}

namespace {

// Derives the outcome from libcurl's result code and the state of the callbacks.
AttemptOutcome outcomeOf(CURLcode code, bool hasSentBytes, const Transfer &transfer,
                         bool isComplete)
{
    if (code == CURLE_OK)
        return isComplete ? AttemptOutcome::Answered : AttemptOutcome::Cut;
    if (transfer.isExpired)
        return AttemptOutcome::NeverSent;
    if (code == CURLE_COULDNT_CONNECT)
        return AttemptOutcome::ConnectFailed;
    if (!hasSentBytes)
        return AttemptOutcome::NeverSent;
    if (code == CURLE_ABORTED_BY_CALLBACK)
        return AttemptOutcome::Cancelled;
    if (transfer.isTooLarge)
        return AttemptOutcome::TooLarge;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return AttemptOutcome::TimedOut;
    return AttemptOutcome::Cut;
}

// Whether the target shed the request: it answers 503 and guarantees by a header
// that it did not run the request.
bool isShed(const core::Answer &answer)
{
    if (answer.status != statusServiceUnavailable)
        return false;
    const std::string *notRun = findHeader(answer, notRunHeader);
    return notRun != nullptr && equalsIgnoringCase(*notRun, "true");
}

} // namespace

Forwarder::Result Forwarder::send(const ForwardAttempt &attempt,
                                  const std::function<bool()> &isCancelled)
{
    Result result;
    const core::Duration timeLeft = attempt.deadline - clock_.now();
    if (timeLeft <= core::Duration())
        return result;

    Transfer transfer;
    transfer.attempt = &attempt;
    transfer.clock = &clock_;
    transfer.maxAnswerBytes = options_.maxAnswerBytes;

    std::unique_ptr<Connection> connection = acquireConnection(attempt);
    connection->prepare(attempt, options_, &transfer, timeLeft);
    const CURLcode code = connection->run(isCancelled);

    const long status = connection->status();
    const bool isComplete = core::isFinalStatus(static_cast<int>(status))
        && (transfer.isLengthDelimited || hasNoBody(attempt, status));
    result.outcome = outcomeOf(code, connection->hasSentBytes(), transfer, isComplete);
    result.answerBegun = transfer.answerBegun;
    if (result.outcome != AttemptOutcome::Answered)
        return result;

    transfer.answer->status = static_cast<int>(status);
    result.reportedBusySlots = parseBusySlots(*transfer.answer);
    if (isShed(*transfer.answer))
        result.outcome = AttemptOutcome::Shed;
    result.answer = std::move(transfer.answer);
    if (attempt.mayReuseConnection)
        storeIdleConnection(attempt, std::move(connection));
    return result;
}

} // namespace bluebellshift::http
