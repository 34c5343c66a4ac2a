// compare() iterates over flattened JSON, so that new fields need no change here.
#include "bluebellshift/load/report.h"

#include <fmt/core.h>

namespace bluebellshift::load {

using Json = nlohmann::json;

namespace {

double millisOf(core::Duration duration)
{
    return static_cast<double>(duration.toMicros()) / 1000;
}

Json jsonOf(const Histogram &histogram)
{
    return { { "count", histogram.count() },
             { "mean", millisOf(histogram.mean()) },
             { "p50", millisOf(histogram.quantile(0.5)) },
             { "p90", millisOf(histogram.quantile(0.9)) },
             { "p99", millisOf(histogram.quantile(0.99)) },
             { "p999", millisOf(histogram.quantile(0.999)) },
             { "max", millisOf(histogram.largest()) } };
}

Json jsonOf(const Tally &tally)
{
    return { { "offered", tally.offered },
             { "within_rate", tally.withinRate },
             { "answered", tally.answered },
             { "served_fraction", tally.servedFraction() },
             { "shortfall", tally.shortfall() },
             { "refused", tally.refused },
             { "refused_within_rate", tally.refusedWithinRate },
             { "target_errors", tally.targetErrors },
             { "failed", tally.failed },
             { "wrong", tally.wrong },
             { "keys_seen", tally.leakedKeys },
             { "pending", tally.pending },
             { "attempts", tally.attempts },
             { "latency_ms", jsonOf(tally.latency) } };
}

std::string rowOf(const std::string &name, const Tally &tally)
{
    return fmt::format(
        "{:<14} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9.2f} {:>9.2f} {:>9.2f}\n", name,
        tally.offered, tally.withinRate, tally.answered, tally.refused, tally.refusedWithinRate,
        tally.failed + tally.targetErrors, tally.wrong, millisOf(tally.latency.quantile(0.5)),
        millisOf(tally.latency.quantile(0.99)), millisOf(tally.latency.quantile(0.999)));
}

} // namespace

Json jsonOf(const Summary &summary)
{
    Json teams = Json::object();
    for (const auto &[name, tally] : summary.teams)
        teams[name] = jsonOf(tally);
    return { { "all", jsonOf(summary.all) },
             { "teams", std::move(teams) },
             { "worst_team", summary.worstTeam },
             { "refusals", summary.refusals },
             { "refusals_within_rate", summary.refusalsWithinRate },
             { "start_delay_ms", jsonOf(summary.startDelay) },
             { "scheduled_ms", millisOf(summary.lastArrival) },
             { "drain_ms", millisOf(summary.drainTime) } };
}

Json jsonOf(const RunCheck &check)
{
    return { { "tickets", check.tickets },           { "ran_twice", check.ranTwice },
             { "strangers", check.unknownTickets },  { "claimed_not_run", check.claimedNotRun },
             { "false_not_run", check.falseNotRun }, { "claimed_ran", check.claimedRan },
             { "false_ran", check.falseRan },        { "unknown", check.unknown },
             { "examples", check.examples } };
}

std::string tableOf(const Summary &summary)
{
    std::string text =
        fmt::format("{:<14} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9} {:>9} {:>9}\n", "team",
                    "offered", "in rate", "answered", "refused", "in rate", "failed", "wrong",
                    "p50 ms", "p99 ms", "p99.9 ms");
    text += rowOf("(all)", summary.all);
    for (const auto &[name, tally] : summary.teams)
        text += rowOf(name, tally);
    text += fmt::format(
        "worst-served team: {} ({:.4f} of what its rate allows)\n", summary.worstTeam,
        summary.teams.empty() ? 1 : summary.teams.at(summary.worstTeam).servedFraction());
    for (const auto &[code, count] : summary.refusals)
        text += fmt::format("refused as {}: {}\n", code, count);
    if (summary.all.leakedKeys > 0)
        text += fmt::format("KEYS SEEN BY TARGETS: {}\n", summary.all.leakedKeys);
    text += fmt::format("start delay p99 {:.2f} ms, drain {:.1f} ms\n",
                        millisOf(summary.startDelay.quantile(0.99)), millisOf(summary.drainTime));
    return text;
}

std::string tableOf(const RunCheck &check)
{
    std::string text =
        fmt::format("tickets {}, ran twice {}, unknown to callers {}; told not-run {}, falsely {}; "
                    "told ran {}, falsely {}; not told {}\n",
                    check.tickets, check.ranTwice, check.unknownTickets, check.claimedNotRun,
                    check.falseNotRun, check.claimedRan, check.falseRan, check.unknown);
    for (const std::string &example : check.examples)
        text += "  " + example + "\n";
    return text;
}

std::string compare(const Json &first, const Json &second)
{
    std::string text;
    const Json a = first.flatten();
    const Json b = second.flatten();
    for (const auto &[path, value] : a.items()) {
        if (!value.is_number() || !b.contains(path) || !b[path].is_number())
            continue;
        const double x = value.get<double>();
        const double y = b[path].get<double>();
        const std::string ratio = x == 0 ? "-" : fmt::format("{:.3f}", y / x);
        text += fmt::format("{:<44} {:>14} {:>14} {:>9}\n", path, x, y, ratio);
    }
    return text;
}

} // namespace bluebellshift::load
