// libcurl resends a request by itself, even a PUT, when a reused connection closes
// before the reply. A new connection for each call rules that out, and a connection
// error then means that nothing was sent.
#include "bluebellshift/ctl/curltransport.h"

#include <memory>

#include <curl/curl.h>
#include <fmt/format.h>

#include "bluebellshift/core/answer.h"

namespace bluebellshift::ctl {
namespace {

constexpr std::size_t maxReplyBytes = 64 * 1024 * 1024;
constexpr long connectTimeoutMillis = 2000;

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *body = static_cast<std::string *>(target);
    if (body->size() + size * count > maxReplyBytes)
        return 0;
    body->append(data, size * count);
    return size * count;
}

absl::Status failureOf(CURLcode code, const std::string &url)
{
    const std::string message = fmt::format("{}: {}", url, curl_easy_strerror(code));
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
        return absl::UnavailableError(message);
    return absl::UnknownError(message);
}

absl::StatusOr<HttpReply> perform(const HttpCall &call, const std::string &url, long timeoutMillis)
{
    const Handle handle(curl_easy_init(), curl_easy_cleanup);
    HeaderList headers(nullptr, curl_slist_free_all);
    const std::string authorization = "Authorization: " + call.authorization;
    if (!call.authorization.empty())
        headers.reset(curl_slist_append(nullptr, authorization.c_str()));
    HttpReply reply;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMillis);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, timeoutMillis);
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.body);
    if (call.method != "GET") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, call.body.data());
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        return failureOf(code, url);
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    if (!core::isFinalStatus(reply.status))
        return absl::UnknownError(fmt::format("{}: status {} is none of HTTP", url, status));
    return reply;
}

} // namespace

SendHttp makeCurlTransport(const core::Endpoint &vm, core::Duration timeout)
{
    return [vm, timeout](const HttpCall &call) {
        const std::string url = fmt::format("http://{}:{}{}", vm.address, vm.port, call.path);
        return perform(call, url, static_cast<long>(timeout.toMillis()));
    };
}

} // namespace bluebellshift::ctl
