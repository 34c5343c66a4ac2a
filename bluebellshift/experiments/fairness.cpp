// Measures fairness between teams in a simulation in virtual time: eight teams share 40
// slots; seven send at 80% of their rate limit, one at five times its rate limit.
//
//   build/release/bluebellshift/experiments/fairness
//
// Compares the real Dispatch, whose only budgets are a token bucket per team and the
// slots, with a single FIFO queue, which suffers from head-of-line blocking. Each is
// run with and without rate limits; without them only the order of the queue protects a
// team.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include <fmt/core.h>

#include "bluebellshift/core/dispatch.h"

using namespace bluebellshift::core;

namespace {

constexpr std::size_t teamCount = 8;
constexpr std::size_t targetCount = 10;
constexpr int slotsPerTarget = 4;
constexpr double meanServiceSeconds = 0.020;
constexpr double teamRate = 200; // requests per second; 80% of the slots for all teams
constexpr double teamBurst = 40;
constexpr double normalLoad = 0.8; // of its rate limit, for a team within its limit
constexpr double greedyLoad = 5;
constexpr int requestCount = 100'000;
constexpr std::uint64_t seeds[] = { 1, 2, 3 };
const ServiceId service("rota");

// The budgets: a token bucket for each team and a count of free slots for each target.
class Budget
{
public:
    explicit Budget(bool limitsRates)
        : limitsRates_(limitsRates)
    {
        for (std::size_t i = 0; i < teamCount; ++i)
            tokens_[teamAccount(TeamId(std::to_string(i)))] = teamBurst;
        for (std::size_t i = 0; i < targetCount; ++i)
            slots_[slotAccount(TargetId(std::to_string(i)))] = slotsPerTarget;
    }

    void refill(Instant now)
    {
        const double refilled = (now - refilledAt_).toSeconds() * teamRate;
        refilledAt_ = now;
        for (auto &[account, tokens] : tokens_)
            tokens = std::min(teamBurst, tokens + refilled);
    }

    BudgetHooks hooks()
    {
        BudgetHooks hooks;
        hooks.acquireTokens = [this](const std::vector<Debit> &debits, Instant) {
            return acquireTokens(debits);
        };
        hooks.releaseTokens = [this](const Debit &debit, Instant) {
            if (double *tokens = find(debit.account))
                *tokens += debit.tokens;
        };
        hooks.want = [](const Debit &, Instant) {};
        hooks.available = [this](const AccountId &account, Instant) {
            const double *tokens = find(account);
            return tokens == nullptr ? 1e9 : *tokens;
        };
        return hooks;
    }

private:
    double *find(const AccountId &account)
    {
        if (const auto slot = slots_.find(account); slot != slots_.end())
            return &slot->second;
        const auto team = tokens_.find(account);
        return team == tokens_.end() || !limitsRates_ ? nullptr : &team->second;
    }

    std::optional<AccountId> acquireTokens(const std::vector<Debit> &debits)
    {
        for (const Debit &debit : debits) {
            const double *tokens = find(debit.account);
            if (tokens != nullptr && *tokens < debit.tokens)
                return debit.account;
        }
        for (const Debit &debit : debits) {
            if (double *tokens = find(debit.account))
                *tokens -= debit.tokens;
        }
        return std::nullopt;
    }

    bool limitsRates_;
    Instant refilledAt_ = Instant::fromMicros(1'000'000'000);
    std::map<AccountId, double> tokens_;
    std::map<AccountId, double> slots_;
};

struct TeamResult
{
    std::vector<double> latencies; // milliseconds, of answered requests
    int refused = 0;
};

// The events of a queueing discipline; each returns the resulting effects.
struct Scheduler
{
    std::function<Effects(const RequestArrived &, Instant, std::uint64_t)> arrive;
    std::function<Effects(const AttemptEnded &, Instant)> end;
    std::function<Effects(Instant)> tick;
};

// The baseline: a single FIFO queue with the same maximum wait and the same budgets.
class FifoQueue
{
public:
    FifoQueue(BudgetHooks budget, const CoreOptions &options)
        : budget_(std::move(budget))
        , options_(options)
    {
    }

    Effects arrive(const RequestArrived &arrived, Instant now)
    {
        queue_.push_back({ arrived, now });
        return sendQueued(now);
    }

    Effects end(const AttemptEnded &ended, Instant now)
    {
        budget_.releaseTokens({ slotAccount(running_.at(ended.request)), 1 }, now);
        running_.erase(ended.request);
        Effects effects { AnswerCaller { ended.request, ended.answer } };
        for (Effect &effect : sendQueued(now))
            effects.push_back(std::move(effect));
        return effects;
    }

    Effects sendQueued(Instant now)
    {
        Effects effects;
        while (!queue_.empty()) {
            const auto &[arrived, at] = queue_.front();
            if (at + options_.maxQueueWait <= now)
                effects.push_back(RefuseCaller { arrived.request, {} });
            else if (!send(arrived, now, effects))
                break;
            queue_.pop_front();
        }
        return effects;
    }

private:
    bool send(const RequestArrived &arrived, Instant now, Effects &effects)
    {
        const AccountId team = teamAccount(TeamId(arrived.keyDigest.text()));
        for (std::size_t i = 0; i < targetCount; ++i) {
            const TargetId target(std::to_string(i));
            if (budget_.acquireTokens({ { team, 1 }, { slotAccount(target), 1 } }, now))
                continue;
            running_[arrived.request] = target;
            ForwardRequest forward;
            forward.request = arrived.request;
            effects.push_back(forward);
            return true;
        }
        return false;
    }

    BudgetHooks budget_;
    CoreOptions options_;
    std::deque<std::pair<RequestArrived, Instant>> queue_;
    std::map<RequestId, TargetId> running_;
};

class Simulation
{
public:
    Simulation(bool usesDispatch, bool limitsRates, std::uint64_t seed)
        : budget_(limitsRates)
        , random_(seed)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            Target target;
            target.id = TargetId(std::to_string(i));
            target.service = service;
            target.slots = slotsPerTarget;
            targets_.push_back(target);
        }
        if (usesDispatch)
            useDispatch();
        else
            useFifoQueue();
    }

    std::vector<TeamResult> run()
    {
        const double perSecond = teamRate * (greedyLoad + normalLoad * (teamCount - 1));
        std::exponential_distribution<double> gap(perSecond);
        Instant next = now_;
        Instant tick = now_;
        for (int i = 0; i < requestCount; ++i) {
            next = next + Duration::micros(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
            for (; tick <= next; tick = tick + Dispatch::queuePollInterval) {
                completeUntil(tick);
                now_ = tick;
                execute(scheduler_.tick(now_));
            }
            completeUntil(next);
            now_ = next;
            arrive(i + 1);
        }
        return results_;
    }

private:
    void useDispatch()
    {
        auto bundle = std::make_shared<Bundle>();
        Service entry;
        entry.id = service;
        entry.routes = { { "/", false, true } };
        bundle->services = { entry };
        DispatchHooks hooks;
        hooks.authenticate = [](const KeyDigest &key) { return TeamId(key.text()); };
        hooks.bundle = [bundle] { return bundle; };
        hooks.targetsOf = [this](const ServiceId &) -> const std::vector<Target> & {
            return targets_;
        };
        hooks.budget = budget_.hooks();
        hooks.regionOrder = [](const ServiceId &, const TeamId &, std::uint64_t, Instant) {
            return std::vector<RegionId> { RegionId() };
        };
        hooks.mayServe = [](Instant) { return true; };
        hooks.validUntil = [](Instant now) { return now + Duration::seconds(1); };
        hooks.isVmAlive = [](const VmId &, Incarnation) { return true; };
        dispatch_ = std::make_unique<Dispatch>(CoreOptions(), hooks);
        scheduler_.arrive = [this](const RequestArrived &arrived, Instant now,
                                   std::uint64_t random) {
            return dispatch_->onRequest(arrived, now, random);
        };
        scheduler_.end = [this](const AttemptEnded &ended, Instant now) {
            return dispatch_->onAttemptEnded(ended, now);
        };
        scheduler_.tick = [this](Instant now) { return dispatch_->onTimer(now); };
    }

    void useFifoQueue()
    {
        fifoQueue_ = std::make_unique<FifoQueue>(budget_.hooks(), CoreOptions());
        scheduler_.arrive = [this](const RequestArrived &arrived, Instant now, std::uint64_t) {
            return fifoQueue_->arrive(arrived, now);
        };
        scheduler_.end = [this](const AttemptEnded &ended, Instant now) {
            return fifoQueue_->end(ended, now);
        };
        scheduler_.tick = [this](Instant now) { return fifoQueue_->sendQueued(now); };
    }

    // Picks a team in proportion to its load. Team 0 sends at five times its rate limit.
    std::size_t pickTeam()
    {
        const double total = greedyLoad + normalLoad * (teamCount - 1);
        const double at = std::uniform_real_distribution<double>(0, total)(random_);
        if (at < greedyLoad)
            return 0;
        return std::min(teamCount - 1,
                        1 + static_cast<std::size_t>((at - greedyLoad) / normalLoad));
    }

    void arrive(int number)
    {
        const std::size_t team = pickTeam();
        RequestArrived arrived;
        arrived.request = RequestId(number);
        arrived.service = service;
        arrived.path = "/";
        arrived.hasKey = true;
        arrived.keyDigest = KeyDigest(std::to_string(team));
        pending_[arrived.request] = { team, now_ };
        budget_.refill(now_);
        execute(scheduler_.arrive(arrived, now_, random_()));
    }

    void execute(const Effects &effects)
    {
        std::exponential_distribution<double> work(1 / meanServiceSeconds);
        for (const Effect &effect : effects) {
            if (const auto *forward = std::get_if<ForwardRequest>(&effect)) {
                const auto micros = static_cast<std::int64_t>(work(random_) * 1e6) + 1;
                running_.emplace(now_ + Duration::micros(micros), *forward);
            } else if (const auto *answer = std::get_if<AnswerCaller>(&effect)) {
                const auto &[team, at] = pending_.at(answer->request);
                results_[team].latencies.push_back((now_ - at).toSeconds() * 1e3);
                pending_.erase(answer->request);
            } else if (const auto *refusal = std::get_if<RefuseCaller>(&effect)) {
                ++results_[pending_.at(refusal->request).first].refused;
                pending_.erase(refusal->request);
            }
        }
    }

    void completeUntil(Instant until)
    {
        while (!running_.empty() && running_.begin()->first <= until) {
            const auto ended = running_.extract(running_.begin());
            now_ = ended.key();
            budget_.refill(now_);
            AttemptEnded attempt;
            attempt.request = ended.mapped().request;
            attempt.attempt = ended.mapped().attempt;
            attempt.outcome = AttemptOutcome::Answered;
            attempt.answer = std::make_shared<const Answer>(Answer { 200, {}, "" });
            execute(scheduler_.end(attempt, now_));
        }
        budget_.refill(until);
    }

    Budget budget_;
    std::mt19937_64 random_;
    std::vector<Target> targets_;
    std::unique_ptr<Dispatch> dispatch_;
    std::unique_ptr<FifoQueue> fifoQueue_;
    Scheduler scheduler_;
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::multimap<Instant, ForwardRequest> running_;
    std::map<RequestId, std::pair<std::size_t, Instant>> pending_;
    std::vector<TeamResult> results_ { teamCount };
};

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

double refusedPercent(const TeamResult &result)
{
    return 100.0 * result.refused / std::max<double>(1, result.refused + result.latencies.size());
}

void printRow(const char *name, bool usesDispatch, bool limitsRates)
{
    double worstRefused = 0;
    double worstP99 = 0;
    double greedyRefused = 0;
    for (const std::uint64_t seed : seeds) {
        std::vector<TeamResult> results = Simulation(usesDispatch, limitsRates, seed).run();
        for (std::size_t team = 1; team < teamCount; ++team) {
            worstRefused = std::max(worstRefused, refusedPercent(results[team]));
            worstP99 = std::max(worstP99, percentile(results[team].latencies, 0.99));
        }
        greedyRefused += refusedPercent(results[0]) / std::size(seeds);
    }
    fmt::print("{:<16} {:<8} {:>17.2f}% {:>13.1f} {:>15.1f}%\n", name,
               limitsRates ? "limited" : "free", worstRefused, worstP99, greedyRefused);
}

} // namespace

int main()
{
    fmt::print("{:<16} {:<8} {:>18} {:>13} {:>16}\n", "queue", "rates", "worst other: ref.",
               "its p99 ms", "greedy: refused");
    for (const bool limitsRates : { true, false }) {
        printRow("in arrival order", false, limitsRates);
        printRow("ours", true, limitsRates);
    }
}
