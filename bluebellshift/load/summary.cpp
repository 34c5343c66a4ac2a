// Arrivals go through one ideal bucket for each team in the order of time, one
// pass in all. The ideal bucket takes a token at the scheduled instant, whether
// or not the system served the request.
#include "bluebellshift/load/summary.h"

#include <algorithm>
#include <limits>

#include "bluebellshift/load/idealbucket.h"

namespace bluebellshift::load {

using core::Duration;

double Tally::servedFraction() const
{
    if (withinRate == 0)
        return 1;
    return std::min(1.0, static_cast<double>(answered) / static_cast<double>(withinRate));
}

std::uint64_t Tally::shortfall() const
{
    return withinRate > answered ? withinRate - answered : 0;
}

namespace {

void count(Tally &tally, const Outcome &outcome, bool isWithinRate)
{
    ++tally.offered;
    tally.withinRate += isWithinRate ? 1 : 0;
    tally.attempts += static_cast<std::uint64_t>(outcome.attempts);
    tally.keysSeen += outcome.hasSeenKey ? 1 : 0;
    switch (outcome.end) {
    case End::Pending:
        ++tally.pending;
        break;
    case End::Answered:
        ++tally.answered;
        tally.latency.add(outcome.latency);
        break;
    case End::TargetError:
        ++tally.targetErrors;
        break;
    case End::Refused:
        ++tally.refused;
        tally.refusedWithinRate += isWithinRate ? 1 : 0;
        break;
    case End::Failed:
        ++tally.failed;
        break;
    case End::Wrong:
        ++tally.wrong;
        break;
    }
}

std::string worstOf(const std::map<std::string, Tally> &teams)
{
    std::string worst;
    for (const auto &[name, tally] : teams) {
        if (worst.empty()) {
            worst = name;
            continue;
        }
        const Tally &other = teams.at(worst);
        const double fraction = tally.servedFraction();
        const double otherFraction = other.servedFraction();
        const bool isSlower = tally.latency.quantile(0.99) > other.latency.quantile(0.99);
        if (fraction < otherFraction || (fraction == otherFraction && isSlower))
            worst = name;
    }
    return worst;
}

std::vector<IdealBucket> idealBuckets(const std::vector<TeamLoad> &teams)
{
    constexpr double noLimit = std::numeric_limits<double>::max();
    std::vector<IdealBucket> buckets;
    for (const TeamLoad &team : teams) {
        const bool isLimited = team.limitPerSecond > 0;
        buckets.emplace_back(isLimited ? team.limitPerSecond : 0, isLimited ? team.burst : noLimit);
    }
    return buckets;
}

} // namespace

Summary summarize(const ScheduleOptions &options, const std::vector<Arrival> &arrivals,
                  const std::vector<Outcome> &outcomes)
{
    Summary summary;
    std::vector<IdealBucket> buckets = idealBuckets(options.teams);
    Duration lastEnd;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const Arrival &arrival = arrivals[i];
        const Outcome &outcome = outcomes[i];
        const bool isWithinRate = buckets[arrival.team].take(arrival.at);
        count(summary.all, outcome, isWithinRate);
        count(summary.teams[options.teams[arrival.team].team.text()], outcome, isWithinRate);
        if (outcome.end == End::Refused) {
            ++summary.refusals[outcome.code];
            if (isWithinRate)
                ++summary.refusalsWithinRate[outcome.code];
        }
        summary.startDelay.add(outcome.startDelay);
        summary.scheduled = std::max(summary.scheduled, arrival.at);
        lastEnd = std::max(lastEnd, arrival.at + outcome.latency);
    }
    summary.drain = lastEnd - summary.scheduled;
    summary.worst = worstOf(summary.teams);
    return summary;
}

} // namespace bluebellshift::load
