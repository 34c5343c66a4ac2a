// Simulates the planned drain of a region in both deployments in virtual time: by
// RolloutController, in one step, and in steps after fixed waits. Prints CSV with the
// time until the region carries at most 0.1% of the traffic, the minimum headroom of
// the receiving regions, and the maximum traffic moved within one window.
//
//   drainexperiment deploy/association deploy/kolednik
//
// Model: 12 VMs carry equal traffic, with all teams at their full rates. A VM installs
// a step after its lag. Callers cache an answer for up to the cache time; their ages
// are evenly spread. A region's caches warm up to its traffic with a time constant;
// a request above the warm load costs twice as much.
#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/capacity.h"
#include "bluebellshift/core/rolloutcontroller.h"
#include "fmt/format.h"

using namespace bluebellshift::core;

namespace {

constexpr int vmCount = 12;
const Duration tick = Duration::millis(100);
const Duration maxDrainTime = Duration::seconds(3600);
constexpr double warmUpSeconds = 60;
constexpr double coldRequestCost = 1; // extra cost of a request above the warm load
constexpr double drainedFraction = 0.001;

struct Scenario
{
    const char *name;
    Duration maxLag; // of the VMs that don't lag longer
    int laggingVms;  // these install nothing for `laggingFor`
    Duration laggingFor;
};

// Decides when the next step of the roll-out is written.
class Strategy
{
public:
    virtual ~Strategy() = default;
    virtual std::optional<Rollout> next(const Rollout &current, Revision version,
                                        Revision inForceEverywhere, Instant now) = 0;
};

class OneStep : public Strategy
{
public:
    std::optional<Rollout> next(const Rollout &current, Revision, Revision, Instant) override
    {
        if (current.services[0].isDone())
            return std::nullopt;
        Rollout rollout = current;
        for (ServiceShift &shift : rollout.services)
            shift.step = shift.steps;
        return rollout;
    }
};

class FixedWaits : public Strategy
{
public:
    explicit FixedWaits(Duration wait)
        : wait_(wait)
    {
    }
    std::optional<Rollout> next(const Rollout &current, Revision, Revision, Instant now) override
    {
        if (now < due_)
            return std::nullopt;
        due_ = now + wait_;
        Rollout rollout = current;
        bool isDue = false;
        for (ServiceShift &shift : rollout.services) {
            isDue = isDue || !shift.isDone();
            shift.step = std::min(shift.step + 1, shift.steps);
        }
        return isDue ? std::optional<Rollout>(rollout) : std::nullopt;
    }

private:
    Duration wait_;
    Instant due_;
};

class ByController : public Strategy
{
public:
    ByController(BundlePointer bundle, BundlePointer previous)
        : bundle_(std::move(bundle))
        , previous_(std::move(previous))
    {
        RolloutControllerHooks hooks;
        hooks.isInForceEverywhere = [this](Revision revision, Instant) {
            return inForceEverywhere_ >= revision;
        };
        hooks.unhealthyReason = [](Instant) { return std::nullopt; };
        hooks.unsettledRegions = []() { return std::vector<RegionId>(); };
        hooks.rank = [](Revision) { return 0; };
        hooks.newCall = [this]() { return CallId(++calls_); };
        controller_ = std::make_unique<RolloutController>(CoreOptions {}, hooks);
    }
    std::optional<Rollout> next(const Rollout &current, Revision version,
                                Revision inForceEverywhere, Instant now) override
    {
        inForceEverywhere_ = inForceEverywhere;
        controller_->onViewChanged(bundle_, previous_, current, version, now);
        for (const Effect &effect : controller_->onTimer(now, WallTime())) {
            const auto *write = std::get_if<WriteObject>(&effect);
            if (write == nullptr)
                continue;
            controller_->onPlatformReplied({ write->call, PlatformOutcome::Done, {} });
            return *decodeRollout(write->value);
        }
        return std::nullopt;
    }

private:
    BundlePointer bundle_;
    BundlePointer previous_;
    Revision inForceEverywhere_;
    std::uint64_t calls_ = 0;
    std::unique_ptr<RolloutController> controller_;
};

struct Result
{
    Duration finished = maxDrainTime;
    double minHeadroom = 1; // of a receiving region's capacity
    double maxMoved = 0;    // as a fraction of the cap, within one window, over all services
};

class Drain
{
public:
    Drain(BundlePointer before, BundlePointer after, const Scenario &scenario)
        : after_(std::move(after))
        , scenario_(scenario)
    {
        versions_.push_back(*beginRollout(firstRollout(*before, "", {}), *before, *after_, "", {}));
        std::mt19937 random(1);
        std::uniform_int_distribution<std::int64_t> lag(0, scenario.maxLag.toMillis());
        for (int vm = 0; vm < vmCount; ++vm)
            lags_.push_back(Duration::millis(lag(random)));
        writtenAt_.push_back(Instant());
    }

    Result run(Strategy &strategy)
    {
        for (Instant now; now < Instant() + maxDrainTime; now = now + tick) {
            const auto next = strategy.next(versions_.back(), Revision(versions_.size()),
                                            Revision(installedByAll(now)), now);
            if (next) {
                versions_.push_back(*next);
                writtenAt_.push_back(now);
            }
            measure(now);
            if (result_.finished < maxDrainTime && now - Instant() > result_.finished + tick * 3000)
                break;
        }
        return result_;
    }

private:
    std::size_t installedBy(int vm, Instant now) const
    {
        if (vm < scenario_.laggingVms && now < Instant() + scenario_.laggingFor)
            return 1;
        std::size_t version = versions_.size();
        while (version > 1 && writtenAt_[version - 1] + lags_[vm] > now)
            --version;
        return version;
    }

    std::size_t installedByAll(Instant now) const
    {
        std::size_t oldest = versions_.size();
        for (int vm = 0; vm < vmCount; ++vm)
            oldest = std::min(oldest, installedBy(vm, now));
        return oldest;
    }

    // The fraction of a service's traffic in each region, over all VMs and cached answers.
    std::vector<double> splitInEffect(const Service &service, std::size_t index, Instant now)
    {
        std::vector<double> published(after_->regions.size(), 0);
        for (int vm = 0; vm < vmCount; ++vm) {
            const Rollout &rollout = versions_[installedBy(vm, now) - 1];
            const auto split = splitInForce(service, rollout.findService(service.id), TeamId());
            for (std::size_t r = 0; r < published.size(); ++r)
                published[r] += fractionOf(split, after_->regions[r].id) / vmCount;
        }
        std::deque<std::vector<double>> &cached = cached_[index];
        const std::size_t length =
            1 + static_cast<std::size_t>(service.cacheTime.toMicros() / tick.toMicros());
        while (cached.size() < length)
            cached.push_back(published);
        cached.pop_front();
        cached.push_back(published);
        std::vector<double> mean(published.size(), 0);
        for (const auto &split : cached) {
            for (std::size_t r = 0; r < mean.size(); ++r)
                mean[r] += split[r] / static_cast<double>(cached.size());
        }
        return mean;
    }

    void measure(Instant now)
    {
        double rates = 0;
        for (const TeamLimit &team : after_->teams)
            rates += team.ratePerSecond;
        std::vector<double> loads(after_->regions.size(), 0);
        double remaining = 0; // in the drained regions
        for (std::size_t s = 0; s < after_->services.size(); ++s) {
            const Service &service = after_->services[s];
            const std::vector<double> parts = splitInEffect(service, s, now);
            updateMaxMoved(service, s, parts);
            for (std::size_t r = 0; r < parts.size(); ++r) {
                loads[r] += parts[r] * service.trafficFraction * rates;
                if (fractionOf(service.split, after_->regions[r].id) == 0)
                    remaining = std::max(remaining, parts[r]);
            }
        }
        if (remaining > drainedFraction)
            result_.finished = maxDrainTime;
        else if (result_.finished == maxDrainTime)
            result_.finished = now - Instant();
        updateMinHeadroom(loads);
    }

    void updateMaxMoved(const Service &service, std::size_t index, const std::vector<double> &parts)
    {
        std::deque<std::vector<double>> &window = windows_[index];
        window.push_back(parts);
        const auto length =
            static_cast<std::size_t>(service.shiftWindow.toMicros() / tick.toMicros());
        if (window.size() > length + 1)
            window.pop_front();
        double moved = 0;
        for (std::size_t r = 0; r < parts.size(); ++r)
            moved += std::max(0.0, parts[r] - window.front()[r]);
        result_.maxMoved = std::max(result_.maxMoved, moved / service.shiftCapFraction);
    }

    void updateMinHeadroom(const std::vector<double> &loads)
    {
        if (warmLoads_.empty())
            warmLoads_ = loads;
        for (std::size_t r = 0; r < loads.size(); ++r) {
            const double cold = std::max(0.0, loads[r] - warmLoads_[r]);
            warmLoads_[r] += cold * tick.toSeconds() / warmUpSeconds;
            const double cost = loads[r] + coldRequestCost * cold;
            const double headroom = 1 - cost / after_->regions[r].capacityPerSecond;
            result_.minHeadroom = std::min(result_.minHeadroom, headroom);
        }
    }

    BundlePointer after_;
    Scenario scenario_;
    std::vector<Rollout> versions_;
    std::vector<Instant> writtenAt_;
    std::vector<Duration> lags_;
    std::deque<std::vector<double>> cached_[8];
    std::deque<std::vector<double>> windows_[8];
    std::vector<double> warmLoads_;
    Result result_;
};

BundlePointer load(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    absl::StatusOr<Bundle> bundle = parseBundle(text.str());
    if (!bundle.ok()) {
        fmt::print(stderr, "{}: {}\n", path, bundle.status().ToString());
        return nullptr;
    }
    return std::make_shared<Bundle>(*std::move(bundle));
}

void report(const std::string &deployment, const Scenario &scenario, const char *strategy,
            const Result &result)
{
    fmt::print("{},{},{},{:.1f},{:.1f},{:.2f}\n", deployment, scenario.name, strategy,
               result.finished.toSeconds(), 100 * result.minHeadroom, result.maxMoved);
}

bool runDeployment(const std::string &folder)
{
    const BundlePointer before = load(folder + "/bundle-1.toml");
    const BundlePointer after = load(folder + "/bundle-2.toml");
    if (before == nullptr || after == nullptr)
        return false;
    const std::string name = folder.substr(folder.rfind('/') + 1);
    const Duration window = after->services[0].shiftWindow;
    const Scenario scenarios[] = {
        { "VMs within 0.5 s", Duration::millis(500), 0, Duration() },
        { "one VM blind for 70 s", Duration::millis(500), 1, Duration::seconds(70) },
        { "six VMs blind for 70 s", Duration::millis(500), 6, Duration::seconds(70) },
    };
    for (const Scenario &scenario : scenarios) {
        OneStep oneStep;
        report(name, scenario, "one step", Drain(before, after, scenario).run(oneStep));
        FixedWaits halfWindow(window / 2);
        report(name, scenario, "fixed wait of half a window",
               Drain(before, after, scenario).run(halfWindow));
        FixedWaits wholeWindow(window);
        report(name, scenario, "fixed wait of one window",
               Drain(before, after, scenario).run(wholeWindow));
        ByController byController(after, before);
        report(name, scenario, "shift", Drain(before, after, scenario).run(byController));
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    fmt::print("deployment,scenario,strategy,seconds_to_drain,least_headroom_percent,"
               "most_moved_in_a_window_of_cap\n");
    for (int i = 1; i < argc; ++i) {
        if (!runDeployment(argv[i]))
            return 1;
    }
    return 0;
}
