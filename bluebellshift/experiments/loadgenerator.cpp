// Two thirds of a team's requests arrive singly, as a Poisson process. The rest arrive in
// batches, each of them at one VM.
#include "bluebellshift/experiments/loadgenerator.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::experiments {

using core::AccountLimit;
using core::Duration;
using core::FleetWorld;

namespace {

constexpr double batchLoadFraction = 1.0 / 3; // fraction of the load that arrives in batches
constexpr Duration maxQueueWait = Duration::millis(400);
constexpr Duration pollInterval = Duration::millis(5);

Duration secondsOf(double seconds)
{
    return Duration::micros(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace

std::vector<AccountLimit> limitsOf(const std::vector<Team> &teams)
{
    std::vector<AccountLimit> limits;
    for (const Team &team : teams)
        limits.push_back(AccountLimit { team.account, team.rate, team.burst });
    return limits;
}

LoadGenerator::LoadGenerator(FleetWorld *world, std::vector<Team> teams, Limiter limiter,
                             std::uint64_t seed)
    : world_(world)
    , teams_(std::move(teams))
    , limiter_(std::move(limiter))
    , random_(seed)
    , model_(limitsOf(teams_))
    , idealBuckets_(teams_.size())
    , results_(teams_.size())
    , queues_(teams_.size(), std::vector<std::deque<Waiting>>(world->size()))
    , isPolling_(teams_.size(), std::vector<bool>(world->size(), false))
{
}

void LoadGenerator::start()
{
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        scheduleArrival(team);
        scheduleBatch(team);
    }
}

void LoadGenerator::scheduleArrival(std::size_t team)
{
    double perSecond = teams_[team].rate * teams_[team].loadFactor * (1 - batchLoadFraction);
    double wait = std::exponential_distribution<double>(perSecond)(random_);
    world_->after(secondsOf(wait), [this, team] {
        arrive(team, pickVm(team));
        scheduleArrival(team);
    });
}

void LoadGenerator::scheduleBatch(std::size_t team)
{
    double size = std::max(1.0, std::floor(teams_[team].burst * teams_[team].batchFraction));
    double perSecond = teams_[team].rate * teams_[team].loadFactor * batchLoadFraction / size;
    double wait = std::exponential_distribution<double>(perSecond)(random_);
    world_->after(secondsOf(wait), [this, team, size] {
        std::size_t vm = pickVm(team);
        for (int i = 0; i < static_cast<int>(size); ++i)
            arrive(team, vm);
        scheduleBatch(team);
    });
}

// A caller whose VM refuses the connection uses another VM of its look-up reply.
std::size_t LoadGenerator::pickVm(std::size_t team)
{
    std::size_t vm = selectVm ? selectVm(team) : random_() % world_->size();
    while (!limiter_.isUp(vm))
        vm = random_() % world_->size();
    return vm;
}

bool LoadGenerator::idealAdmits(std::size_t team)
{
    Bucket &bucket = idealBuckets_[team];
    double refilled = teams_[team].rate * (world_->now() - bucket.at).toSeconds();
    bucket.tokens = std::min(teams_[team].burst, bucket.tokens + refilled);
    bucket.at = world_->now();
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void LoadGenerator::arrive(std::size_t team, std::size_t vm)
{
    Waiting request;
    request.isWithinRate = idealAdmits(team);
    if (!request.isWithinRate && teams_[team].loadFactor <= 1)
        return;
    Duration latency = limiter_.oneWayLatency ? limiter_.oneWayLatency(vm, team) : Duration();
    request.arrivedAt = world_->now();
    request.deadline = request.arrivedAt + maxQueueWait - latency;
    results_[team].sent += request.isWithinRate ? 1 : 0;
    world_->after(latency, [this, team, vm, request] { enqueue(team, vm, request); });
}

void LoadGenerator::enqueue(std::size_t team, std::size_t vm, const Waiting &request)
{
    queues_[team][vm].push_back(request);
    serve(team, vm);
}

void LoadGenerator::serve(std::size_t team, std::size_t vm)
{
    std::deque<Waiting> &queue = queues_[team][vm];
    Duration latency = limiter_.oneWayLatency ? limiter_.oneWayLatency(vm, team) : Duration();
    bool isUp = limiter_.isUp(vm);
    while (!queue.empty() && isUp && limiter_.tryTake(vm, team)) {
        Waiting request = queue.front();
        queue.pop_front();
        model_.spend(teams_[team].account, 1, world_->now());
        Duration wait = world_->now() - request.arrivedAt + latency;
        if (request.isWithinRate)
            results_[team].waits.push_back(wait.toSeconds() * 1000);
    }
    while (!queue.empty() && (!isUp || queue.front().deadline <= world_->now())) {
        results_[team].refused += queue.front().isWithinRate ? 1 : 0;
        queue.pop_front();
    }
    if (limiter_.want && isUp)
        limiter_.want(vm, team, queue.size());
    if (!queue.empty() && !isPolling_[team][vm])
        poll(team, vm);
}

void LoadGenerator::poll(std::size_t team, std::size_t vm)
{
    isPolling_[team][vm] = true;
    world_->after(pollInterval, [this, team, vm] {
        isPolling_[team][vm] = false;
        serve(team, vm);
    });
}

void LoadGenerator::resetResults()
{
    results_.assign(teams_.size(), TeamResult());
}

double LoadGenerator::refusedPercent(std::size_t team) const
{
    const TeamResult &result = results_[team];
    return result.sent == 0
        ? 0
        : 100.0 * static_cast<double>(result.refused) / static_cast<double>(result.sent);
}

double LoadGenerator::worstRefusedPercent() const
{
    double worst = 0;
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        if (teams_[team].loadFactor <= 1)
            worst = std::max(worst, refusedPercent(team));
    }
    return worst;
}

double LoadGenerator::waitPercentile(double fraction) const
{
    std::vector<double> waits;
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        if (teams_[team].loadFactor <= 1)
            waits.insert(waits.end(), results_[team].waits.begin(), results_[team].waits.end());
    }
    if (waits.empty())
        return 0;
    std::size_t index = static_cast<std::size_t>(fraction * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(index),
                     waits.end());
    return waits[index];
}

std::int64_t LoadGenerator::sent() const
{
    std::int64_t sum = 0;
    for (const TeamResult &result : results_)
        sum += result.sent;
    return sum;
}

} // namespace bluebellshift::experiments
