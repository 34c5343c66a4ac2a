// A claim is a reply's statement whether the request ran. With a ticket it covers all
// attempts that used the ticket, so the last claim counts. A request may use several
// tickets, all but the last of them refused as not run; none of those may be among the
// counted ones. Without a ticket the claim covers only its own attempt, so the request
// counts as not run only if every attempt was reported as not run.
#include "bluebellshift/load/runcheck.h"

namespace bluebellshift::load {

namespace {

constexpr std::size_t maxExamples = 10;

std::uint32_t countOf(const std::map<std::string, std::uint32_t> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

std::map<std::string, std::uint32_t>
countIncrease(const std::map<std::string, std::uint32_t> &before,
              const std::map<std::string, std::uint32_t> &after)
{
    std::map<std::string, std::uint32_t> increase;
    for (const auto &[key, count] : after) {
        const std::uint32_t earlier = countOf(before, key);
        if (count > earlier)
            increase[key] = count - earlier;
    }
    return increase;
}

void addExample(RunCheck &check, const std::string &text)
{
    if (check.examples.size() < maxExamples)
        check.examples.push_back(text);
}

void checkClaim(RunCheck &check, const Outcome &outcome, std::uint32_t runs,
                const std::string &callerId)
{
    const bool hasTicket = !outcome.ticketId.empty();
    const bool isNotRun =
        outcome.claim == core::Run::NotRun && (hasTicket || outcome.isEveryClaimNotRun);
    if (isNotRun) {
        ++check.claimedNotRun;
        check.falseNotRun += runs > 0 ? 1 : 0;
        if (runs > 0)
            addExample(check, callerId + " was told not-run (" + outcome.code + ") and ran");
        return;
    }
    if (outcome.claim != core::Run::Ran) {
        ++check.unknown;
        return;
    }
    ++check.claimedRan;
    check.falseRan += runs == 0 ? 1 : 0;
    if (runs == 0)
        addExample(check, callerId + " was told that it ran and did not");
}

} // namespace

std::string callerIdOf(std::uint64_t run, std::size_t position)
{
    return "caller-" + std::to_string(run) + "-" + std::to_string(position);
}

RunCounts countsSince(const RunCounts &before, const RunCounts &after)
{
    return { countIncrease(before.byTicket, after.byTicket),
             countIncrease(before.byCaller, after.byCaller) };
}

RunCheck checkRuns(std::uint64_t run, const std::vector<Arrival> &arrivals,
                   const std::vector<Outcome> &outcomes, const RunCounts &counts)
{
    RunCheck check;
    std::map<std::string, std::uint32_t> unmatched = counts.byTicket;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const Outcome &outcome = outcomes[i];
        const std::string callerId = callerIdOf(run, i);
        const std::uint32_t runs = countOf(counts.byCaller, callerId);
        checkClaim(check, outcome, runs, callerId);
        if (outcome.ticketId.empty())
            continue;
        ++check.tickets;
        if (runs > 1 || countOf(counts.byTicket, outcome.ticketId) > 1) {
            ++check.ranTwice;
            addExample(check, callerId + " ran twice, last with ticket " + outcome.ticketId);
        }
        unmatched.erase(outcome.ticketId);
    }
    check.unknownTickets = unmatched.size();
    return check;
}

} // namespace bluebellshift::load
