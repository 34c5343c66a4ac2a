// Compares target selection policies in a simulation in virtual time: 35 targets of 3
// slots each, 80% of all slots in use, and one target that is ten times slower than the
// others but always reports that none of its slots is busy.
//
//   build/release/bluebellshift/experiments/choosing
//
// Every policy gets the same arrivals and service times. Slot-aware policies never
// exceed the slots: a request without a free slot waits at its VM. The other policies
// send immediately, and the request waits at its target. Service times are gamma
// distributed with a coefficient of variation of 0.5.
#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include <fmt/core.h>

#include "bluebellshift/core/targetchooser.h"

using namespace bluebellshift::core;

namespace {

constexpr std::size_t targetCount = 35;
constexpr int slotsPerTarget = 3;
constexpr double meanServiceSeconds = 0.020;
constexpr double gammaShape = 4; // 1 / (coefficient of variation)^2
constexpr double utilization = 0.8;
constexpr double slowFactor = 10;
constexpr int requestCount = 100'000;
constexpr int warmUpCount = 10'000; // requests excluded from the results
constexpr std::uint64_t seeds[] = { 1, 2, 3 };

enum class Policy { Random, LeastOutstanding, RandomWithSlots, LeastOutstandingWithSlots, Chooser };

bool isSlotAware(Policy policy)
{
    return policy != Policy::Random && policy != Policy::LeastOutstanding;
}

struct Request
{
    Instant arrivedAt;
    std::size_t vm = 0;
    double work = 0; // service time in seconds on a normal target
    std::uint64_t random = 0;
};

struct Running
{
    Instant endsAt;
    Instant sentAt;
    Request request;
    std::size_t target = 0;
    bool operator>(const Running &other) const { return other.endsAt < endsAt; }
};

struct Result
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double slowFraction = 0; // of requests sent to the slow target
};

class Simulation
{
public:
    Simulation(Policy policy, std::size_t vmCount, std::uint64_t seed)
        : policy_(policy)
        , random_(seed)
        , busySlots_(targetCount, 0)
        , outstanding_(vmCount, std::vector<int>(targetCount, 0))
        , vmQueues_(vmCount)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            Target target;
            target.id = TargetId(fmt::format("t{}", i));
            target.service = ServiceId("rota");
            target.region = RegionId("punjab");
            target.slots = slotsPerTarget;
            targets_.push_back(target);
            indexOf_[target.id] = i;
        }
        BudgetHooks budget;
        budget.available = [this](const AccountId &account, Instant) {
            return slotsPerTarget - busySlots_[targetIndexOf(account)];
        };
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            choosers_.emplace_back(budget);
            choosers_.back().update(targets_, now_);
        }
    }

    Result run()
    {
        std::exponential_distribution<double> gap(utilization * slotsPerTarget * targetCount
                                                  / meanServiceSeconds);
        std::gamma_distribution<double> work(gammaShape, meanServiceSeconds / gammaShape);
        Instant next = now_;
        for (int i = 0; i < requestCount; ++i) {
            next = next + Duration::micros(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
            completeUntil(next);
            now_ = next;
            const Request request { now_, random_() % vmQueues_.size(), work(random_), random_() };
            vmQueues_[request.vm].push_back(request);
            sendQueued(request.vm);
        }
        completeUntil(now_ + Duration::seconds(10000));
        return result();
    }

private:
    int targetIndexOf(const AccountId &account) const
    {
        return static_cast<int>(indexOf_.at(TargetId(account.text().substr(sizeof "slots"))));
    }

    // Returns the target to send to, or targetCount if none has a free slot.
    std::size_t choose(const Request &request)
    {
        if (policy_ == Policy::Random)
            return request.random % targetCount;
        if (policy_ == Policy::RandomWithSlots)
            return randomFree(request.random);
        if (policy_ == Policy::Chooser) {
            const Ranking ranking = choosers_[request.vm].rank(
                targets_, RegionId("punjab"), {}, request.random, now_ - request.arrivedAt, now_);
            return ranking.usable.empty() ? targetCount : indexOf_.at(ranking.usable[0]->id);
        }
        std::size_t best = targetCount;
        for (std::size_t i = 0; i < targetCount; ++i) {
            const std::size_t target = (request.random + i) % targetCount;
            if (isSlotAware(policy_) && busySlots_[target] >= slotsPerTarget)
                continue;
            if (best == targetCount
                || outstanding_[request.vm][target] < outstanding_[request.vm][best])
                best = target;
        }
        return best;
    }

    std::size_t randomFree(std::uint64_t random) const
    {
        std::vector<std::size_t> free;
        for (std::size_t target = 0; target < targetCount; ++target) {
            if (busySlots_[target] < slotsPerTarget)
                free.push_back(target);
        }
        return free.empty() ? targetCount : free[random % free.size()];
    }

    void sendQueued(std::size_t vm)
    {
        while (!vmQueues_[vm].empty()) {
            const Request request = vmQueues_[vm].front();
            const std::size_t target = choose(request);
            if (target == targetCount)
                return;
            vmQueues_[vm].pop_front();
            ++outstanding_[vm][target];
            choosers_[vm].onSent(targets_[target].id, now_);
            if (busySlots_[target] < slotsPerTarget)
                start({ now_, now_, request, target });
            else
                targetQueues_[target].push_back({ now_, now_, request, target });
        }
    }

    void start(Running running)
    {
        ++busySlots_[running.target];
        const double seconds = running.request.work * (running.target == 0 ? slowFactor : 1);
        running.endsAt = now_ + Duration::micros(static_cast<std::int64_t>(seconds * 1e6));
        running_.push(running);
    }

    void completeUntil(Instant until)
    {
        while (!running_.empty() && running_.top().endsAt <= until) {
            const Running ended = running_.top();
            running_.pop();
            now_ = ended.endsAt;
            complete(ended);
            const std::size_t first = random_() % vmQueues_.size();
            for (std::size_t i = 0; i < vmQueues_.size(); ++i)
                sendQueued((first + i) % vmQueues_.size());
        }
    }

    void complete(const Running &ended)
    {
        const std::size_t vm = ended.request.vm;
        --busySlots_[ended.target];
        std::deque<Running> &next = targetQueues_[ended.target];
        if (!next.empty()) {
            start(next.front());
            next.pop_front();
        }
        --outstanding_[vm][ended.target];
        AttemptEnded attempt;
        attempt.outcome = AttemptOutcome::Answered;
        attempt.answer = std::make_shared<const Answer>(Answer { 200, {}, "" });
        attempt.reportedBusySlots = ended.target == 0 ? 0 : busySlots_[ended.target];
        std::vector<LogRecord> changes;
        choosers_[vm].onEnded(targets_[ended.target].id, ended.sentAt, attempt, targets_, now_,
                              changes);
        if (++completedCount_ <= warmUpCount)
            return;
        latencies_.push_back((now_ - ended.request.arrivedAt).toSeconds() * 1e3);
        slowCount_ += ended.target == 0 ? 1 : 0;
    }

    Result result()
    {
        std::sort(latencies_.begin(), latencies_.end());
        const auto at = [this](double fraction) {
            return latencies_[static_cast<std::size_t>(fraction * (latencies_.size() - 1))];
        };
        return { at(0.5), at(0.99), at(0.999), slowCount_ / double(latencies_.size()) };
    }

    Policy policy_;
    std::mt19937_64 random_;
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::vector<Target> targets_;
    std::unordered_map<TargetId, std::size_t> indexOf_;
    std::vector<int> busySlots_;
    std::vector<std::vector<int>> outstanding_;
    std::vector<TargetChooser> choosers_;
    std::vector<std::deque<Request>> vmQueues_;
    std::vector<std::deque<Running>> targetQueues_ { targetCount };
    std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
    std::vector<double> latencies_;
    int completedCount_ = 0;
    double slowCount_ = 0;
};

Result average(Policy policy, std::size_t vmCount)
{
    Result sum;
    for (const std::uint64_t seed : seeds) {
        const Result result = Simulation(policy, vmCount, seed).run();
        sum.p50 += result.p50 / std::size(seeds);
        sum.p99 += result.p99 / std::size(seeds);
        sum.p999 += result.p999 / std::size(seeds);
        sum.slowFraction += result.slowFraction / std::size(seeds);
    }
    return sum;
}

void print(const char *name, std::size_t vmCount, const Result &result, const Result &chooserResult)
{
    fmt::print("{:>3}  {:<16} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.2f}% {:>11.2f}\n", vmCount, name,
               result.p50, result.p99, result.p999, 100 * result.slowFraction,
               chooserResult.p99 / result.p99);
}

} // namespace

int main()
{
    fmt::print("{:>3}  {:<16} {:>8} {:>8} {:>8} {:>9} {:>11}\n", "VMs", "choice", "p50 ms",
               "p99 ms", "p99.9 ms", "to slow", "ours/p99");
    for (const std::size_t vmCount : { 1, 12 }) {
        const Result chooserResult = average(Policy::Chooser, vmCount);
        print("random", vmCount, average(Policy::Random, vmCount), chooserResult);
        print("own count", vmCount, average(Policy::LeastOutstanding, vmCount), chooserResult);
        print("random, slots", vmCount, average(Policy::RandomWithSlots, vmCount), chooserResult);
        print("own count, slots", vmCount, average(Policy::LeastOutstandingWithSlots, vmCount),
              chooserResult);
        print("ours", vmCount, chooserResult, chooserResult);
    }
}
