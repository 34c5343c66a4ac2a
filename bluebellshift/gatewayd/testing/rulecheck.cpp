#include "bluebellshift/gatewayd/testing/rulecheck.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace bluebellshift::gatewayd::testing {
namespace {

using Versions = std::vector<ConfigOperator::Version>;

bool overlaps(const std::vector<TimeSpan> &spans, TimeSpan time)
{
    return std::any_of(spans.begin(), spans.end(), [&](const TimeSpan &span) {
        return span.from <= time.to && time.from <= span.to;
    });
}

// Whether the machine and the store were without disturbance from contactTime before `time` on.
bool isInTouch(const Observed &observed, std::size_t vm, TimeSpan time)
{
    time.from -= contactTime;
    const auto own = observed.disturbances.find(vm);
    return !overlaps(observed.storeDisturbances, time)
        && (own == observed.disturbances.end() || !overlaps(own->second, time));
}

// The first and the last version up to `end` that allow the outcome of a request.
struct Consistent
{
    std::optional<std::size_t> first;
    std::size_t last = 0;
};

Consistent consistentVersions(const Versions &versions, const ClientRequest &request,
                              std::size_t begin)
{
    Consistent result;
    for (std::size_t i = begin; i < versions.size(); ++i) {
        if (versions[i].firstAcknowledgedAt > request.endedAt)
            break;
        if (ConfigOperator::outcomeOf(versions[i], request.path, request.key) != request.outcome)
            continue;
        if (!result.first)
            result.first = i;
        result.last = i;
    }
    return result;
}

// The newest version that was acknowledged configApplyTime before the request was sent, or 0.
std::size_t oldestAllowed(const Versions &versions, const ClientRequest &request)
{
    for (std::size_t i = versions.size(); i-- > 0;) {
        if (versions[i].acknowledgedAt + configApplyTime < request.sentAt)
            return i;
    }
    return 0;
}

std::string describe(const ClientRequest &request)
{
    return request.id + ' ' + request.path + " outcome " + request.outcome;
}

void checkConfig(const Observed &observed, std::vector<RuleCase> *cases)
{
    for (const ClientRequest &request : observed.requests) {
        if (request.outcome.empty())
            continue;
        const std::size_t oldest = oldestAllowed(observed.versions, request);
        if (consistentVersions(observed.versions, request, oldest).first)
            continue;
        if (isInTouch(observed, request.vm, { request.sentAt, request.endedAt }))
            cases->push_back({ "CONFIG", request.vm, request.sentAt,
                               describe(request) + " although version "
                                   + std::to_string(observed.versions[oldest].number)
                                   + " was acknowledged" });
    }
}

void checkReturns(const Observed &observed, std::vector<RuleCase> *cases)
{
    struct Proof
    {
        TestClock::time_point at;
        std::size_t version; // that was in force, or a later one
    };
    std::map<std::pair<std::size_t, int>, std::vector<Proof>> proofs; // by process, by time
    std::vector<const ClientRequest *> byEnd;
    for (const ClientRequest &request : observed.requests)
        byEnd.push_back(&request);
    std::sort(byEnd.begin(), byEnd.end(), [](const ClientRequest *a, const ClientRequest *b) {
        return a->endedAt < b->endedAt;
    });
    for (const ClientRequest *request : byEnd) {
        if (request->outcome.empty())
            continue;
        const Consistent consistent = consistentVersions(observed.versions, *request, 0);
        if (!consistent.first) {
            cases->push_back({ "CONFIG", request->vm, request->sentAt,
                               describe(*request) + " which no version allows" });
            continue;
        }
        const bool isCalm = isInTouch(observed, request->vm, { request->sentAt, request->endedAt });
        const auto slack = rollbackSlack * (isCalm ? 1 : slowedRollbackFactor);
        std::vector<Proof> &own = proofs[{ request->vm, request->incarnation }];
        std::size_t proven = 0;
        for (const Proof &proof : own) {
            if (proof.at + slack < request->sentAt)
                proven = std::max(proven, proof.version);
        }
        if (consistent.last < proven)
            cases->push_back({ "RETURN", request->vm, request->sentAt,
                               describe(*request) + " after version "
                                   + std::to_string(observed.versions[proven].number)
                                   + " was in force" });
        const bool isRun = request->outcome != "404" && request->outcome != "401";
        if (isRun && (own.empty() || own.back().version < *consistent.first))
            own.push_back({ request->endedAt, *consistent.first });
    }
}

void checkArrivals(const Observed &observed, std::vector<RuleCase> *cases)
{
    std::unordered_map<std::string, const ClientRequest *> requestOf;
    for (const ClientRequest &request : observed.requests)
        requestOf[request.id] = &request;
    for (const ListedTarget *target : observed.targets) {
        const bool isBound = target->leavingAt()
            && !overlaps(observed.storeDisturbances,
                         { *target->leavingAt() - contactTime, *target->leavingAt() });
        for (const ListedTarget::Arrival &arrival : target->arrivals()) {
            const auto found = requestOf.find(arrival.requestId);
            if (found == requestOf.end())
                continue;
            const ClientRequest &request = *found->second;
            if (!isInTouch(observed, request.vm, { request.sentAt, arrival.at }))
                continue;
            if (isBound && arrival.at > *target->leavingAt() + drainTime)
                cases->push_back({ "DRAIN", request.vm, arrival.at,
                                   request.id + " reached " + target->place().id });
            for (const Evacuation &evacuation : observed.evacuations) {
                if (evacuation.failureDomain == target->place().failureDomain
                    && arrival.at > evacuation.time.from + evacuationTime
                    && arrival.at < evacuation.time.to)
                    cases->push_back({ "EVAC", request.vm, arrival.at,
                                       request.id + " reached " + target->place().id });
            }
        }
    }
}

// A request that reached a target and whose connection ended without a complete response, although
// its process was not killed.
void checkLosses(const Observed &observed, std::vector<RuleCase> *cases)
{
    std::unordered_map<std::string, std::string> reached;
    for (const ListedTarget *target : observed.targets) {
        for (const ListedTarget::Arrival &arrival : target->arrivals())
            reached[arrival.requestId] = target->place().id;
    }
    for (const ClientRequest &request : observed.requests) {
        const auto kills = observed.kills.find(request.vm);
        const bool isKilled = kills != observed.kills.end()
            && overlaps(kills->second, { request.sentAt, request.endedAt });
        const auto found = reached.find(request.id);
        if (request.isUnanswered && !isKilled && found != reached.end())
            cases->push_back({ "LOST", request.vm, request.sentAt,
                               request.id + ' ' + request.path + " reached " + found->second });
    }
}

} // namespace

std::vector<RuleCase> checkRules(const Observed &observed)
{
    std::vector<RuleCase> cases;
    checkConfig(observed, &cases);
    checkReturns(observed, &cases);
    checkArrivals(observed, &cases);
    checkLosses(observed, &cases);
    std::sort(cases.begin(), cases.end(),
              [](const RuleCase &a, const RuleCase &b) { return a.at < b.at; });
    return cases;
}

} // namespace bluebellshift::gatewayd::testing
