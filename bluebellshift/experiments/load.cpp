// Two thirds of a team's requests arrive one by one, as a Poisson process; the
// rest come many at once, at one VM each time.
#include "bluebellshift/experiments/load.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::experiments {

using core::AccountLimit;
using core::Duration;
using core::FleetWorld;

namespace {

constexpr double burstPart = 1.0 / 3; // of the load
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

Load::Load(FleetWorld *world, std::vector<Team> teams, Limiter limiter, std::uint64_t seed)
    : world_(world)
    , teams_(std::move(teams))
    , limiter_(std::move(limiter))
    , random_(seed)
    , model_(limitsOf(teams_))
    , ideal_(teams_.size())
    , results_(teams_.size())
    , queues_(teams_.size(), std::vector<std::deque<Waiting>>(world->size()))
    , isPolling_(teams_.size(), std::vector<bool>(world->size(), false))
{
}

void Load::start()
{
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        scheduleArrival(team);
        scheduleBurst(team);
    }
}

void Load::scheduleArrival(std::size_t team)
{
    double perSecond = teams_[team].rate * teams_[team].load * (1 - burstPart);
    double wait = std::exponential_distribution<double>(perSecond)(random_);
    world_->after(secondsOf(wait), [this, team] {
        arrive(team, pickVm(team));
        scheduleArrival(team);
    });
}

void Load::scheduleBurst(std::size_t team)
{
    double size = std::max(1.0, std::floor(teams_[team].burst * teams_[team].burstSize));
    double perSecond = teams_[team].rate * teams_[team].load * burstPart / size;
    double wait = std::exponential_distribution<double>(perSecond)(random_);
    world_->after(secondsOf(wait), [this, team, size] {
        std::size_t vm = pickVm(team);
        for (int i = 0; i < static_cast<int>(size); ++i)
            arrive(team, vm);
        scheduleBurst(team);
    });
}

// A caller whose VM refuses the connection takes the next one of its answer.
std::size_t Load::pickVm(std::size_t team)
{
    std::size_t vm = placeOf ? placeOf(team) : random_() % world_->size();
    while (!limiter_.isUp(vm))
        vm = random_() % world_->size();
    return vm;
}

bool Load::idealAdmits(std::size_t team)
{
    Bucket &bucket = ideal_[team];
    double minted = teams_[team].rate * (world_->now() - bucket.at).toSeconds();
    bucket.level = std::min(teams_[team].burst, bucket.level + minted);
    bucket.at = world_->now();
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    return true;
}

void Load::arrive(std::size_t team, std::size_t vm)
{
    Waiting request;
    request.isCounted = idealAdmits(team);
    if (!request.isCounted && teams_[team].load <= 1)
        return;
    Duration way = limiter_.distance ? limiter_.distance(vm, team) : Duration();
    request.arrived = world_->now();
    request.last = request.arrived + maxQueueWait - way;
    results_[team].sent += request.isCounted ? 1 : 0;
    world_->after(way, [this, team, vm, request] { join(team, vm, request); });
}

void Load::join(std::size_t team, std::size_t vm, const Waiting &request)
{
    queues_[team][vm].push_back(request);
    serve(team, vm);
}

void Load::serve(std::size_t team, std::size_t vm)
{
    std::deque<Waiting> &queue = queues_[team][vm];
    Duration way = limiter_.distance ? limiter_.distance(vm, team) : Duration();
    bool isUp = limiter_.isUp(vm);
    while (!queue.empty() && isUp && limiter_.tryTake(vm, team)) {
        Waiting request = queue.front();
        queue.pop_front();
        model_.spend(teams_[team].account, 1, world_->now());
        Duration wait = world_->now() - request.arrived + way;
        if (request.isCounted)
            results_[team].waits.push_back(wait.toSeconds() * 1000);
    }
    while (!queue.empty() && (!isUp || queue.front().last <= world_->now())) {
        results_[team].refused += queue.front().isCounted ? 1 : 0;
        queue.pop_front();
    }
    if (limiter_.want && isUp)
        limiter_.want(vm, team, queue.size());
    if (!queue.empty() && !isPolling_[team][vm])
        poll(team, vm);
}

void Load::poll(std::size_t team, std::size_t vm)
{
    isPolling_[team][vm] = true;
    world_->after(pollInterval, [this, team, vm] {
        isPolling_[team][vm] = false;
        serve(team, vm);
    });
}

void Load::resetResults()
{
    results_.assign(teams_.size(), TeamResult());
}

double Load::refusedPercent(std::size_t team) const
{
    const TeamResult &result = results_[team];
    return result.sent == 0
        ? 0
        : 100.0 * static_cast<double>(result.refused) / static_cast<double>(result.sent);
}

double Load::worstRefusedPercent() const
{
    double worst = 0;
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        if (teams_[team].load <= 1)
            worst = std::max(worst, refusedPercent(team));
    }
    return worst;
}

double Load::waitPercentile(double fraction) const
{
    std::vector<double> waits;
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        if (teams_[team].load <= 1)
            waits.insert(waits.end(), results_[team].waits.begin(), results_[team].waits.end());
    }
    if (waits.empty())
        return 0;
    std::size_t index = static_cast<std::size_t>(fraction * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(index),
                     waits.end());
    return waits[index];
}

std::int64_t Load::sent() const
{
    std::int64_t sum = 0;
    for (const TeamResult &result : results_)
        sum += result.sent;
    return sum;
}

} // namespace bluebellshift::experiments
