// A single pass runs the arrivals in order of time through one IdealBucket per team. The
// bucket takes a token at the scheduled instant, whether or not the system served the
// request.
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

void addToTally(Tally &tally, const Outcome &outcome, bool isWithinRate)
{
    ++tally.offered;
    tally.withinRate += isWithinRate ? 1 : 0;
    tally.attempts += static_cast<std::uint64_t>(outcome.attempts);
    tally.leakedKeys += outcome.isKeyLeaked ? 1 : 0;
    switch (outcome.kind) {
    case OutcomeKind::Pending:
        ++tally.pending;
        break;
    case OutcomeKind::Answered:
        ++tally.answered;
        tally.latency.add(outcome.latency);
        break;
    case OutcomeKind::TargetError:
        ++tally.targetErrors;
        break;
    case OutcomeKind::Refused:
        ++tally.refused;
        tally.refusedWithinRate += isWithinRate ? 1 : 0;
        break;
    case OutcomeKind::Failed:
        ++tally.failed;
        break;
    case OutcomeKind::Wrong:
        ++tally.wrong;
        break;
    }
}

std::string findWorstTeam(const std::map<std::string, Tally> &teams)
{
    std::string worstTeam;
    for (const auto &[name, tally] : teams) {
        if (worstTeam.empty()) {
            worstTeam = name;
            continue;
        }
        const Tally &other = teams.at(worstTeam);
        const double fraction = tally.servedFraction();
        const double otherFraction = other.servedFraction();
        const bool isSlower = tally.latency.quantile(0.99) > other.latency.quantile(0.99);
        if (fraction < otherFraction || (fraction == otherFraction && isSlower))
            worstTeam = name;
    }
    return worstTeam;
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
        const bool isWithinRate = buckets[arrival.team].tryTake(arrival.at);
        addToTally(summary.all, outcome, isWithinRate);
        addToTally(summary.teams[options.teams[arrival.team].team.text()], outcome, isWithinRate);
        if (outcome.kind == OutcomeKind::Refused) {
            ++summary.refusals[outcome.code];
            if (isWithinRate)
                ++summary.refusalsWithinRate[outcome.code];
        }
        summary.startDelay.add(outcome.startDelay);
        summary.lastArrival = std::max(summary.lastArrival, arrival.at);
        lastEnd = std::max(lastEnd, arrival.at + outcome.latency);
    }
    summary.drainTime = lastEnd - summary.lastArrival;
    summary.worstTeam = findWorstTeam(summary.teams);
    return summary;
}

} // namespace bluebellshift::load
