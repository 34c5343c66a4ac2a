// Runs a fleet with random faults, by hand: gatewayd.testing.fleethunt KIND FIRST_SEED COUNT [LOGS]
//
// Prints the result of each seed. The logs of the gateways of a seed that breaks a rule are written
// to the folder LOGS. Exit codes: 0 no rule is broken, 1 one is, 2 usage.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <sys/wait.h>
#include <unistd.h>

#include "bluebellshift/gatewayd/testing/fleetrun.h"

using namespace bluebellshift::gatewayd::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds versionInterval { 300 };
constexpr milliseconds runTime { 18'000 };
constexpr milliseconds afterFaults { 7000 }; // contactTime, and a bound

milliseconds between(FleetRun &run, int from, int to)
{
    return milliseconds(from + static_cast<int>(run.random()() % static_cast<unsigned>(to - from)));
}

std::size_t anyVm(FleetRun &run)
{
    return run.random()() % run.vmCount();
}

// Processes that take processor time until the end of the run.
class BusyLoops
{
public:
    explicit BusyLoops(int count)
    {
        for (int i = 0; i < count; ++i) {
            const pid_t process = fork();
            if (process == 0) {
                constexpr unsigned secondsAtMost = 60;
                alarm(secondsAtMost);
                for (volatile unsigned spin = 0;; spin = spin + 1) { }
            }
            processes_.push_back(process);
        }
    }
    ~BusyLoops()
    {
        for (const pid_t process : processes_) {
            if (process <= 0)
                continue;
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
    BusyLoops(const BusyLoops &) = delete;
    BusyLoops &operator=(const BusyLoops &) = delete;

private:
    std::vector<pid_t> processes_;
};

// What is written throughout: versions, starting targets, targets that join and leave.
void schedule(FleetRun &run)
{
    run.every(versionInterval, [&run] {
        run.publish();
        return true;
    });
    for (std::size_t i = 0; i < 4; ++i) {
        const milliseconds at = between(run, 1000, static_cast<int>(runTime.count()));
        ListedTarget *target = run.targets()[i].get();
        run.at(at, [target] { target->drain(); });
        run.at(at + between(run, 300, 3000), [target] { target->leave(); });
        run.at(between(run, 500, static_cast<int>(runTime.count())), [&run] { run.addTarget(); });
    }
    for (std::size_t i = 4; i < run.targets().size(); ++i) {
        ListedTarget *target = run.targets()[i].get();
        for (int step = 0; step < 8; ++step) {
            run.at(milliseconds(600 * step) + between(run, 0, 600),
                   [target, step] { target->setWarmup(4.2 - 0.6 * step); });
        }
    }
}

void scheduleDrill(FleetRun &run, milliseconds at)
{
    const milliseconds copyAge = between(run, 2000, 6000);
    run.at(std::max(at - copyAge, milliseconds(1)), [&run, at, copyAge] {
        const auto copy = run.store().copy();
        run.at(std::min(copyAge, at),
               [&run, copy] { run.drill(copy, between(run, 100, 800), milliseconds(1800)); });
    });
}

void scheduleRestores(FleetRun &run)
{
    const milliseconds first = between(run, 4000, 7000);
    scheduleDrill(run, first);
    if (run.random()() % 2 == 0)
        scheduleDrill(run, first + between(run, 1500, 4000));
    if (run.random()() % 2 == 0) {
        for (std::size_t i = 0; i < run.vmCount(); i += 2) {
            run.at(first - milliseconds(300),
                   [&run, i] { run.disturbLink(i, LinkFault::Silent, between(run, 1000, 5000)); });
        }
    }
}

void schedulePauses(FleetRun &run)
{
    for (int i = 0; i < 14; ++i) {
        run.at(between(run, 500, static_cast<int>(runTime.count()) - 6000),
               [&run] { run.freeze(anyVm(run), between(run, 1000, 6000)); });
    }
}

// Stops half of the readers, and makes the others hear nothing of the store.
void scheduleReaderFaults(FleetRun &run)
{
    for (int i = 0; i < 5; ++i) {
        run.at(between(run, 500, static_cast<int>(runTime.count()) - 6000), [&run] {
            bool isStopped = true;
            for (const std::size_t reader : run.readers()) {
                if (isStopped)
                    run.freeze(reader, between(run, 1000, 6000));
                else
                    run.disturbLink(reader,
                                    run.random()() % 2 == 0 ? LinkFault::SilentToGateway
                                                            : LinkFault::SilentToStore,
                                    between(run, 1000, 6000));
                isStopped = !isStopped;
            }
        });
    }
}

void scheduleLinkFaults(FleetRun &run)
{
    static constexpr LinkFault faults[] = { LinkFault::SilentToStore, LinkFault::SilentToGateway,
                                            LinkFault::Silent, LinkFault::Refused,
                                            LinkFault::Pieces };
    for (int i = 0; i < 16; ++i) {
        run.at(between(run, 500, static_cast<int>(runTime.count()) - 6000), [&run] {
            run.disturbLink(anyVm(run), faults[run.random()() % std::size(faults)],
                            between(run, 500, 5000));
        });
    }
    for (int i = 0; i < 8; ++i) {
        run.at(between(run, 500, static_cast<int>(runTime.count()) - 6000),
               [&run] { run.halfOpenLink(anyVm(run)); });
    }
}

void scheduleSignals(FleetRun &run)
{
    for (int i = 0; i < 10; ++i) {
        run.at(between(run, 500, static_cast<int>(runTime.count()) - 4000), [&run] {
            const std::size_t vm = anyVm(run);
            switch (run.random()() % 4) {
            case 0:
                run.kill(vm);
                break;
            case 1:
                run.reload(vm);
                run.at(between(run, 1, 500), [&run, vm] { run.terminate(vm); });
                break;
            case 2:
                run.reload(vm);
                break;
            default:
                run.terminate(vm);
                break;
            }
        });
    }
}

void scheduleEvacuation(FleetRun &run)
{
    const auto &domains = run.failureDomains();
    const std::string domain = domains[run.random()() % domains.size()];
    run.at(between(run, 1000, 10'000),
           [&run, domain] { run.evacuate(domain, between(run, 6000, 9000)); });
}

void scheduleSeries(FleetRun &run)
{
    scheduleRestores(run);
    scheduleSignals(run);
    scheduleEvacuation(run);
    if (run.random()() % 2 == 0)
        scheduleLinkFaults(run);
    if (run.random()() % 3 == 0)
        schedulePauses(run);
}

struct Kind
{
    std::size_t vms;
    int busyLoops;
    std::function<void(FleetRun &)> schedule;
};

const std::map<std::string, Kind> &kinds()
{
    static const std::map<std::string, Kind> all = {
        { "calm", { 12, 0, [](FleetRun &) {} } },
        { "restores", { 12, 0, scheduleRestores } },
        { "pauses", { 12, 3, schedulePauses } },
        { "readers", { 24, 0, scheduleReaderFaults } },
        { "links", { 12, 0, scheduleLinkFaults } },
        { "signals", { 12, 0, scheduleSignals } },
        { "evacuations", { 12, 0, scheduleEvacuation } },
        { "series", { 12, 0, scheduleSeries } },
        { "large-series", { 24, 0, scheduleSeries } },
    };
    return all;
}

bool play(const std::string &name, const Kind &kind, std::uint64_t seed, const char *logs)
{
    FleetRunOptions options;
    options.vms = kind.vms;
    options.seed = seed;
    const BusyLoops busy(kind.busyLoops);
    FleetRun run(options);
    if (!run.start()) {
        std::printf("%s seed %llu: a gateway doesn't serve\n", name.c_str(),
                    static_cast<unsigned long long>(seed));
        return false;
    }
    schedule(run);
    kind.schedule(run);
    run.runFor(runTime + afterFaults);
    run.stopChanges();
    run.runFor(configApplyTime);
    const FleetRun::Result result = run.finish();
    const bool isKept = result.cases.empty() && result.ownEnds.empty() && result.lateEnds == 0
        && result.isConverged();
    std::printf("%s seed %llu: %s; %s", name.c_str(), static_cast<unsigned long long>(seed),
                isKept ? "kept" : "BROKEN", result.text().c_str());
    std::fflush(stdout);
    if (!isKept && logs != nullptr)
        run.writeLogs(std::string(logs) + '/' + name + '-' + std::to_string(seed), result);
    return isKept;
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int usage = 2;
    const auto kind = argc < 4 ? kinds().end() : kinds().find(argv[1]);
    if (kind == kinds().end()) {
        std::fprintf(stderr, "usage: %s KIND FIRST_SEED COUNT [LOGS]; KIND:", argv[0]);
        for (const auto &[name, ignored] : kinds())
            std::fprintf(stderr, " %s", name.c_str());
        std::fprintf(stderr, "\n");
        return usage;
    }
    const std::uint64_t first = std::strtoull(argv[2], nullptr, 10);
    const std::uint64_t count = std::strtoull(argv[3], nullptr, 10);
    bool isKept = true;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        isKept = play(kind->first, kind->second, seed, argc > 4 ? argv[4] : nullptr) && isKept;
    return isKept ? 0 : 1;
}
