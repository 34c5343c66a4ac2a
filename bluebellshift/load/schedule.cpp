// The arrivals of each team are a Poisson process with a piecewise constant rate. The
// process is memoryless, so at a change the time to the next arrival is drawn anew at
// the new rate. Each team has its own random generator, so that changing one team does
// not affect the arrivals of the others.
#include "bluebellshift/load/schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace bluebellshift::load {

using core::Duration;

namespace {

constexpr std::uint64_t teamSeedStep = 0x9E3779B97F4A7C15; // 2^64 divided by the golden ratio

// Uniform in [0, 1); std::uniform_real_distribution may differ between libraries.
double uniform(std::mt19937_64 &random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

std::uint32_t pickService(const std::vector<ServiceLoad> &services, double point)
{
    double total = 0;
    for (const ServiceLoad &service : services)
        total += service.weight;
    double remaining = point * total;
    for (std::size_t i = 0; i + 1 < services.size(); ++i) {
        remaining -= services[i].weight;
        if (remaining < 0)
            return static_cast<std::uint32_t>(i);
    }
    return static_cast<std::uint32_t>(services.size() - 1);
}

std::vector<LoadChange> changesOf(const ScheduleOptions &options, const TeamLoad &team)
{
    std::vector<LoadChange> changes = { { team.team, Duration(), 1, team.vm } };
    for (const LoadChange &change : options.changes) {
        if (change.team == team.team)
            changes.push_back(change);
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const LoadChange &a, const LoadChange &b) { return a.at < b.at; });
    return changes;
}

void addArrivals(const ScheduleOptions &options, std::uint32_t team, std::vector<Arrival> &arrivals)
{
    std::mt19937_64 random(options.seed + teamSeedStep * (team + 1));
    const std::vector<LoadChange> changes = changesOf(options, options.teams[team]);
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const Duration end = i + 1 < changes.size() ? std::min(changes[i + 1].at, options.duration)
                                                    : options.duration;
        const double rate = options.teams[team].ratePerSecond * changes[i].factor;
        double seconds = changes[i].at.toSeconds();
        while (rate > 0) {
            seconds += -std::log(1 - uniform(random)) / rate;
            Arrival arrival;
            arrival.at = Duration::micros(static_cast<std::int64_t>(seconds * 1e6));
            if (arrival.at >= end)
                break;
            arrival.team = team;
            arrival.service = pickService(options.services, uniform(random));
            arrival.isNonIdempotent = uniform(random) < options.nonIdempotentFraction;
            arrival.vm = changes[i].vm;
            arrivals.push_back(arrival);
        }
    }
}

} // namespace

std::vector<Arrival> makeSchedule(const ScheduleOptions &options)
{
    std::vector<Arrival> arrivals;
    for (std::uint32_t team = 0; team < options.teams.size(); ++team)
        addArrivals(options, team, arrivals);
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    if (arrivals.size() > options.maxRequests)
        arrivals.resize(options.maxRequests);
    return arrivals;
}

} // namespace bluebellshift::load
