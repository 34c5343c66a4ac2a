// Requests of several teams against a limiter, in virtual time.
//
//   Load load(world, teams, limiter, seed);
//   load.start();
//   world.run(Duration::seconds(60));
//   double worst = load.worstRefusedPercent();
//
// Only requests that one bucket for the whole fleet would admit at their arrival
// are sent, so that every refusal is of a request within its team's rate.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

#include "bluebellshift/core/testing/fleetmodel.h"
#include "bluebellshift/core/testing/fleetworld.h"

namespace bluebellshift::experiments {

struct Team
{
    core::AccountId account;
    double rate = 0; // requests a second
    double burst = 0;
    double load = 0.9;        // of the rate; above 1, requests over the rate are sent too
    double burstSize = 0.125; // of the burst: how many requests come at once
};

// How requests get their tokens.
struct Limiter
{
    std::function<bool(std::size_t vm, std::size_t team)> tryTake;
    std::function<void(std::size_t vm, std::size_t team, std::size_t waiting)> want;
    // One way, to where the tokens are.
    std::function<core::Duration(std::size_t vm, std::size_t team)> distance;
    std::function<bool(std::size_t vm)> isUp;
};

struct TeamResult
{
    std::int64_t sent = 0;
    std::int64_t refused = 0;
    std::vector<double> waits; // milliseconds, of the admitted
};

class Load
{
public:
    Load(core::FleetWorld *world, std::vector<Team> teams, Limiter limiter, std::uint64_t seed);

    void start();
    // Where a team's requests arrive; at any live VM when empty.
    std::function<std::size_t(std::size_t team)> placeOf;

    void resetResults();
    double refusedPercent(std::size_t team) const;
    // Among the teams that stay within their rate.
    double worstRefusedPercent() const;
    double waitPercentile(double fraction) const;
    std::int64_t sent() const;
    double overspent() const { return model_.overspent(); }

private:
    struct Waiting
    {
        core::Instant arrived;
        core::Instant last;
        bool isCounted = true;
    };
    struct Bucket
    {
        double level = 0;
        core::Instant at;
    };

    void scheduleArrival(std::size_t team);
    void scheduleBurst(std::size_t team);
    std::size_t pickVm(std::size_t team);
    bool idealAdmits(std::size_t team);
    void arrive(std::size_t team, std::size_t vm);
    void join(std::size_t team, std::size_t vm, const Waiting &request);
    void serve(std::size_t team, std::size_t vm);
    void poll(std::size_t team, std::size_t vm);

    core::FleetWorld *world_;
    std::vector<Team> teams_;
    Limiter limiter_;
    std::mt19937_64 random_;
    core::FleetModel model_;
    std::vector<Bucket> ideal_;
    std::vector<TeamResult> results_;
    std::vector<std::vector<std::deque<Waiting>>> queues_; // by team and VM
    std::vector<std::vector<bool>> isPolling_;
};

std::vector<core::AccountLimit> limitsOf(const std::vector<Team> &teams);

} // namespace bluebellshift::experiments
