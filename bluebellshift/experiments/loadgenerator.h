// Generates the requests of several teams against a rate limiter, in virtual time.
//
//   LoadGenerator load(world, teams, limiter, seed);
//   load.start();
//   world.run(Duration::seconds(60));
//   double worst = load.worstRefusedPercent();
//
// A team with a load factor of at most 1 sends only requests that a single token bucket
// for the whole fleet would admit at their arrival, so that every refusal is of a request
// within the team's rate. A team above 1 sends all requests, and only those that the
// bucket would admit are counted.
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
    double rate = 0; // requests per second
    double burst = 0;
    double loadFactor = 0.9;      // of the rate; above 1, requests over the rate are also sent
    double batchFraction = 0.125; // of the burst: size of a batch
};

// The rate limiter under test. `oneWayLatency` and `want` may be empty.
struct Limiter
{
    std::function<bool(std::size_t vm, std::size_t team)> tryTake;
    std::function<void(std::size_t vm, std::size_t team, std::size_t waiting)> want;
    // Latency from the VM to the VM that holds the team's tokens.
    std::function<core::Duration(std::size_t vm, std::size_t team)> oneWayLatency;
    std::function<bool(std::size_t vm)> isUp;
};

struct TeamResult
{
    std::int64_t sent = 0;
    std::int64_t refused = 0;
    std::vector<double> waits; // milliseconds, of admitted requests
};

class LoadGenerator
{
public:
    LoadGenerator(core::FleetWorld *world, std::vector<Team> teams, Limiter limiter,
                  std::uint64_t seed);

    void start();
    // Returns the VM at which a team's requests arrive. If empty, a random live VM.
    std::function<std::size_t(std::size_t team)> selectVm;

    void resetResults();
    double refusedPercent(std::size_t team) const;
    // The worst percentage of the teams whose load factor is at most 1.
    double worstRefusedPercent() const;
    double waitPercentile(double fraction) const;
    std::int64_t sent() const;
    double overspent() const { return model_.overspent(); }

private:
    struct Waiting
    {
        core::Instant arrivedAt;
        core::Instant deadline;
        bool isWithinRate = true;
    };
    struct Bucket
    {
        double tokens = 0;
        core::Instant at;
    };

    void scheduleArrival(std::size_t team);
    void scheduleBatch(std::size_t team);
    std::size_t pickVm(std::size_t team);
    bool idealAdmits(std::size_t team);
    void arrive(std::size_t team, std::size_t vm);
    void enqueue(std::size_t team, std::size_t vm, const Waiting &request);
    void serve(std::size_t team, std::size_t vm);
    void poll(std::size_t team, std::size_t vm);

    core::FleetWorld *world_;
    std::vector<Team> teams_;
    Limiter limiter_;
    std::mt19937_64 random_;
    core::FleetModel model_;
    std::vector<Bucket> idealBuckets_;
    std::vector<TeamResult> results_;
    std::vector<std::vector<std::deque<Waiting>>> queues_; // by team and VM
    std::vector<std::vector<bool>> isPolling_;
};

std::vector<core::AccountLimit> limitsOf(const std::vector<Team> &teams);

} // namespace bluebellshift::experiments
