// A request takes a slot, is counted as run, waits for the service time and
// releases the slot before its answer is composed, so that the load report of an
// answer excludes the request itself. The mutex is not held during the wait.
#include "bluebellshift/standin/faketarget.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "bluebellshift/standin/jsonreply.h"

namespace bluebellshift::standin {

using core::Duration;
using core::Instant;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t hashSeed = 0;

// The body of a misrouted or extra answer when there was no earlier request.
const char unrelatedBody[] = R"({"caller":"stranger","target":"nowhere"})";

std::string serializedReply(const std::string &body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

} // namespace

std::string hashOf(const std::string &body)
{
    return fmt::format("{:016x}", XXH64(body.data(), body.size(), hashSeed));
}

FakeTarget::FakeTarget(TargetSettings settings, RunRecord &runs, std::function<Instant()> clock)
    : settings_(std::move(settings))
    , runs_(runs)
    , clock_(std::move(clock))
    , faultsSetAt_(clock_())
{
}

HttpReply FakeTarget::serve(const HttpRequest &request)
{
    if (request.path == "/health")
        return answerProbe();
    bool isFaulty = false;
    {
        const Lock lock(mutex_);
        ++counts_.requests;
        if (!request.header("Authorization").empty())
            ++counts_.requestsWithKey;
        if (faults_.isShedding || busy_ >= settings_.slots)
            return shedRequest();
        ++busy_;
        counts_.maxBusy = std::max(counts_.maxBusy, busy_);
        isFaulty = counts_.requests % std::max(1U, faults_.everyNthRequest) == 0;
    }
    runs_.add(request.header(ticketIdHeader), request.header(callerIdHeader));
    return runRequest(request, isFaulty);
}

HttpReply FakeTarget::answerProbe()
{
    const Lock lock(mutex_);
    ++counts_.probes;
    loadReport(); // refreshes reportedBusy_
    return jsonReply(200,
                     { { "healthy", !faults_.isUnhealthy },
                       { "leaving", faults_.isLeaving },
                       { "busy_slots", reportedBusy_ },
                       { "slots", settings_.slots } });
}

HttpReply FakeTarget::shedRequest()
{
    ++counts_.shed;
    HttpReply reply = jsonReply(503, { { "error", "no free slot" } });
    reply.headers.push_back({ notRunHeader, "true" });
    reply.headers.push_back({ loadReportHeader, loadReport() });
    return reply;
}

Duration FakeTarget::serviceTime() const
{
    const bool isCold = clock_() < faultsSetAt_ + faults_.coldDuration;
    const double factor = faults_.slowFactor * (isCold ? faults_.coldFactor : 1);
    const double micros = static_cast<double>(settings_.serviceTime.toMicros()) * factor;
    return Duration::micros(static_cast<std::int64_t>(micros));
}

std::string FakeTarget::loadReport()
{
    const Instant now = clock_();
    if (now - reportedAt_ >= faults_.reportLag) {
        reportedBusy_ = busy_;
        reportedAt_ = now;
    }
    if (faults_.isReportMisleading)
        reportedBusy_ = 0;
    return fmt::format("{}/{}", reportedBusy_, settings_.slots);
}

HttpReply FakeTarget::runRequest(const HttpRequest &request, bool isFaulty)
{
    Lock lock(mutex_);
    TargetFaults faults = faults_;
    if (!isFaulty) {
        faults.isDroppingAnswer = faults.isTruncatingAnswer = faults.isMisroutingAnswer =
            faults.isSendingExtraAnswer = false;
        faults.oversizeBytes = 0;
    }
    const Duration work = serviceTime() + faults.answerDelay;
    lock.unlock();
    const bool isConnected = request.waitWhileConnected(work);
    lock.lock();
    --busy_;
    if (!isConnected)
        ++counts_.cancelled;
    return composeAnswer(request, faults);
}

HttpReply FakeTarget::composeAnswer(const HttpRequest &request, const TargetFaults &faults)
{
    Json names = Json::array();
    for (const core::Header &header : request.headers)
        names.push_back(header.name);
    HttpReply reply = jsonReply(faults.status,
                                { { "target", settings_.id.text() },
                                  { "region", settings_.region.text() },
                                  { "method", request.method },
                                  { "url", request.url },
                                  { "caller", request.header(callerIdHeader) },
                                  { "length", request.body.size() },
                                  { "hash", hashOf(request.body) },
                                  { "headers", std::move(names) } });
    const std::string requestId = request.header(requestIdHeader);
    if (!requestId.empty())
        reply.headers.push_back({ requestIdHeader, requestId });
    HttpReply other = std::exchange(previousReply_, reply);
    if (other.body.empty())
        other.body = unrelatedBody;
    if (faults.isMisroutingAnswer)
        reply = other;
    if (faults.isSendingExtraAnswer)
        reply.extraBytes = serializedReply(other.body);
    if (faults.isTruncatingAnswer)
        reply.delivery = Delivery::Truncated;
    if (faults.isDroppingAnswer)
        reply.delivery = Delivery::None;
    reply.body.append(faults.oversizeBytes, ' ');
    reply.headers.push_back({ loadReportHeader, loadReport() });
    return reply;
}

void FakeTarget::setFaults(const TargetFaults &faults)
{
    const Lock lock(mutex_);
    faults_ = faults;
    faultsSetAt_ = clock_();
}

TargetFaults FakeTarget::faults() const
{
    const Lock lock(mutex_);
    return faults_;
}

TargetCounts FakeTarget::counts() const
{
    const Lock lock(mutex_);
    return counts_;
}

} // namespace bluebellshift::standin
