// Measures how many requests within a team's rate limit the ledger refuses or delays, in
// steady state and under faults, compared with two baselines: fixed equal shares for all
// VMs, and one owner VM for each team.
//
//   ledgerexperiment [SECONDS [SCENARIO]]   (default: 120 s, all scenarios)
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bluebellshift/experiments/loadgenerator.h"
#include "bluebellshift/shell/messagecodec.h"

namespace bluebellshift::experiments {
namespace {

using core::AccountId;
using core::Duration;
using core::FleetWorld;
using core::FleetWorldOptions;
using core::Instant;

constexpr Duration warmUp = Duration::seconds(40);
constexpr std::uint64_t seed = 20;
constexpr double burstSeconds = 2; // burst of a team: its rate times this
// Time until a failed owner is replaced: failure detection, a store write, expiry of the
// lease, and another store write.
constexpr Duration ownerFailoverTime = Duration::millis(1600 + 2500 + 200);

struct Deployment
{
    const char *name;
    Duration domainLatency;
    Duration regionLatency;
};

enum class LimiterKind { Ledger, FixedShares, OwnerVm };

// One run: the simulated fleet, a limiter and its load.
struct Run
{
    std::unique_ptr<FleetWorld> world;
    std::unique_ptr<LoadGenerator> load;
    std::vector<bool> isDead; // by VM; used by the baselines
    std::vector<Team> teams;
    LimiterKind kind = LimiterKind::Ledger;
};

struct Scenario
{
    const char *name;
    // Configures the load and schedules the faults; called when the measurement starts.
    std::function<void(Run &, Duration length)> begin;
    std::vector<double> loadFactors; // by team; the default of Team for the others
    double batchFraction = 0.125;
};

std::vector<Team> makeTeams(const std::vector<double> &loadFactors)
{
    const double rates[] = { 400, 250, 100, 60, 40, 20, 10, 5 };
    std::vector<Team> teams;
    for (std::size_t i = 0; i < std::size(rates); ++i) {
        Team team;
        team.account = AccountId(fmt::format("team/{}", i));
        team.rate = rates[i];
        team.burst = std::max(10.0, rates[i] * burstSeconds);
        if (i < loadFactors.size())
            team.loadFactor = loadFactors[i];
        teams.push_back(team);
    }
    return teams;
}

// ---- Limiters

struct Bucket
{
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    Instant at;

    bool take(Instant now)
    {
        tokens = std::min(burst, tokens + rate * (now - at).toSeconds());
        at = now;
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }
};

Limiter ledgerLimiter(Run &run)
{
    Limiter limiter;
    FleetWorld *world = run.world.get();
    std::vector<Team> teams = run.teams;
    limiter.isUp = [world](std::size_t vm) { return world->isRunning(vm); };
    limiter.tryTake = [world, teams](std::size_t vm, std::size_t team) {
        return world->take(vm, teams[team].account, 1);
    };
    limiter.want = [world, teams](std::size_t vm, std::size_t team, std::size_t waiting) {
        world->want(vm, teams[team].account, static_cast<double>(waiting));
    };
    return limiter;
}

Limiter fixedLimiter(Run &run)
{
    Limiter limiter;
    FleetWorld *world = run.world.get();
    auto count = static_cast<double>(world->size());
    auto buckets = std::make_shared<std::vector<std::vector<Bucket>>>();
    for (const Team &team : run.teams)
        buckets->emplace_back(world->size(),
                              Bucket { team.rate / count, team.burst / count, 0, Instant() });
    limiter.isUp = [&run](std::size_t vm) { return !run.isDead[vm]; };
    limiter.tryTake = [world, buckets](std::size_t vm, std::size_t team) {
        return (*buckets)[team][vm].take(world->now());
    };
    return limiter;
}

std::size_t initialOwner(std::size_t team)
{
    return (team * 5 + 1) % 12;
}

Limiter ownerLimiter(Run &run, const Deployment &deployment)
{
    struct Owner
    {
        std::size_t vm = 0;
        Bucket bucket;
        Instant failedAt = Instant::never();
    };
    Limiter limiter;
    FleetWorld *world = run.world.get();
    auto owners = std::make_shared<std::vector<Owner>>();
    for (std::size_t team = 0; team < run.teams.size(); ++team)
        owners->push_back(
            Owner { initialOwner(team),
                    Bucket { run.teams[team].rate, run.teams[team].burst, 0, Instant() } });
    limiter.isUp = [&run](std::size_t vm) { return !run.isDead[vm]; };
    limiter.oneWayLatency = [world, owners, deployment](std::size_t vm, std::size_t team) {
        std::size_t owner = (*owners)[team].vm;
        if (vm == owner)
            return Duration();
        if (world->vm(vm).region != world->vm(owner).region)
            return deployment.regionLatency;
        return world->vm(vm).failureDomain == world->vm(owner).failureDomain
            ? Duration::millis(1)
            : deployment.domainLatency;
    };
    limiter.tryTake = [world, owners, &run](std::size_t, std::size_t team) {
        Owner &owner = (*owners)[team];
        if (!run.isDead[owner.vm])
            return owner.bucket.take(world->now());
        if (owner.failedAt == Instant::never())
            owner.failedAt = world->now();
        if (world->now() - owner.failedAt < ownerFailoverTime || world->isPlatformDown)
            return false;
        while (run.isDead[owner.vm])
            owner.vm = (owner.vm + 1) % world->size();
        owner.failedAt = Instant::never();
        owner.bucket.tokens = 0;
        owner.bucket.at = world->now();
        return false;
    };
    return limiter;
}

// ---- Scenarios

void killVm(Run &run, std::size_t vm)
{
    run.isDead[vm] = true;
    if (run.kind == LimiterKind::Ledger)
        run.world->kill(vm);
}

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> table;
    table.push_back({ "steady", [](Run &, Duration) {}, {} });
    table.push_back({ "steady, bursts twice as large", [](Run &, Duration) {}, {}, 0.25 });
    table.push_back({ "each team on one VM, jumping region every 20 s",
                      [](Run &run, Duration) {
                          FleetWorld *world = run.world.get();
                          run.load->selectVm = [world](std::size_t team) {
                              auto period =
                                  static_cast<std::size_t>(world->now().toMicros() / 20'000'000);
                              return (team + period * 5) % world->size();
                          };
                      },
                      {} });
    table.push_back({ "one VM killed",
                      [](Run &run, Duration) {
                          run.world->after(Duration::seconds(5), [&run] { killVm(run, 1); });
                      },
                      {} });
    table.push_back({ "one failure domain gone",
                      [](Run &run, Duration) {
                          run.world->after(Duration::seconds(5), [&run] {
                              killVm(run, 6);
                              killVm(run, 7);
                          });
                      },
                      {} });
    table.push_back({ "platform down throughout",
                      [](Run &run, Duration) { run.world->isPlatformDown = true; },
                      {} });
    table.push_back({ "teams 1 and 6 at 5 times their rate",
                      [](Run &, Duration) {},
                      { 0.9, 5, 0.9, 0.9, 0.9, 0.9, 5, 0.9 } });
    table.push_back({ "platform back after the outage",
                      [](Run &run, Duration length) {
                          run.world->isPlatformDown = true;
                          run.world->after(length / 2,
                                           [&run] { run.world->isPlatformDown = false; });
                      },
                      {} });
    table.push_back({ "idle", [](Run &, Duration) {}, std::vector<double>(8, 1e-6) });
    return table;
}

std::unique_ptr<Run> makeRun(const Deployment &deployment, const Scenario &scenario,
                             LimiterKind kind)
{
    auto run = std::make_unique<Run>();
    run->kind = kind;
    run->teams = makeTeams(scenario.loadFactors);
    for (Team &team : run->teams)
        team.batchFraction = scenario.batchFraction;
    FleetWorldOptions options;
    options.vms = core::makeVms(2);
    options.storeRegion = core::RegionId("punjab");
    options.limits = limitsOf(run->teams);
    options.domainLatency = deployment.domainLatency;
    options.regionLatency = deployment.regionLatency;
    options.seed = seed;
    options.sizeOf = [](const core::Message &message) {
        return shell::encodeMessage(message).size();
    };
    run->world = std::make_unique<FleetWorld>(options);
    run->isDead.assign(options.vms.size(), false);
    Limiter limiter = kind == LimiterKind::Ledger ? ledgerLimiter(*run)
        : kind == LimiterKind::FixedShares        ? fixedLimiter(*run)
                                                  : ownerLimiter(*run, deployment);
    run->load = std::make_unique<LoadGenerator>(run->world.get(), run->teams, limiter, seed);
    return run;
}

void printTraffic(Run &run, Duration length, double cpuSeconds)
{
    double seconds = length.toSeconds();
    std::map<std::string, double> bytes;
    double worst = 0;
    double reads = 0;
    double writes = 0;
    double watches = 0;
    auto count = static_cast<double>(run.world->size());
    for (std::size_t i = 0; i < run.world->size(); ++i) {
        double sum = 0;
        const core::TrafficCount &traffic = run.world->traffic(i);
        for (const auto &[kind, n] : traffic.bytes) {
            bytes[kind] += static_cast<double>(n) / seconds / count;
            sum += static_cast<double>(n) / seconds;
        }
        worst = std::max(worst, sum);
        reads += static_cast<double>(traffic.reads) / seconds;
        writes += static_cast<double>(traffic.writes) / seconds;
        watches += static_cast<double>(traffic.watches) / seconds;
    }
    fmt::print("    sent per VM: heartbeat {:.0f} B/s, borrow {:.0f} B/s, lend {:.0f} B/s; most of "
               "one VM {:.0f} B/s\n    platform, all VMs: {:.1f} watches/s, {:.2f} reads/s, "
               "{:.2f} writes/s; {:.2f}% of a core per VM with the bench\n",
               bytes["heartbeat"], bytes["borrow"], bytes["lend"], worst, watches, reads, writes,
               100 * cpuSeconds / seconds / count);
}

void runOne(const Deployment &deployment, const Scenario &scenario, LimiterKind kind,
            Duration length)
{
    std::unique_ptr<Run> run = makeRun(deployment, scenario, kind);
    if (kind == LimiterKind::Ledger)
        run->world->startAll();
    run->load->start();
    run->world->run(warmUp);
    run->load->resetResults();
    run->world->resetTraffic();
    scenario.begin(*run, length);
    std::clock_t startedAt = std::clock();
    run->world->run(length);
    double cpuSeconds = static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC;
    const char *names[] = { "ledger", "fixed shares", "owner VM" };
    fmt::print("{:<10} {:<46} {:<13} {:>8} {:>9.3f} {:>8.1f} {:>8.1f} {:>9.3f}\n", deployment.name,
               scenario.name, names[static_cast<int>(kind)], run->load->sent(),
               run->load->worstRefusedPercent(), run->load->waitPercentile(0.5),
               run->load->waitPercentile(0.99), std::max(0.0, run->load->overspent()));
    if (kind != LimiterKind::Ledger)
        return;
    fmt::print("    refused by team, %:");
    for (std::size_t team = 0; team < run->teams.size(); ++team)
        fmt::print(" {:.3f}", run->load->refusedPercent(team));
    fmt::print("\n");
    printTraffic(*run, length, cpuSeconds);
}

} // namespace
} // namespace bluebellshift::experiments

int main(int argc, char **argv)
{
    using namespace bluebellshift::experiments;
    const Deployment deployments[] = {
        { "assoc", Duration::millis(3), Duration::millis(35) },
        { "kolednik", Duration::millis(5), Duration::millis(55) },
    };
    Duration length = Duration::seconds(argc > 1 ? std::atoi(argv[1]) : 120);
    std::string filter = argc > 2 ? argv[2] : "";
    fmt::print("{:<10} {:<46} {:<13} {:>8} {:>9} {:>8} {:>8} {:>9}\n", "deployment", "scenario",
               "limiter", "requests", "refused%", "wait p50", "wait p99", "overspent");
    for (const Deployment &deployment : deployments) {
        for (const Scenario &scenario : scenarios()) {
            if (std::string(scenario.name).find(filter) == std::string::npos)
                continue;
            for (LimiterKind kind :
                 { LimiterKind::Ledger, LimiterKind::FixedShares, LimiterKind::OwnerVm })
                runOne(deployment, scenario, kind, length);
        }
    }
    return 0;
}
