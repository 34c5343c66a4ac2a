// Simulates a fleet of gateways over several regions, with targets that queue and keep objects
// warm, delays between regions, and callers that return after a refusal, all in virtual time.
//
//   RegionWalk walk({ /*vmCount=*/27, /*targets=*/{ 6, 26, 30 }, ... });
//   walk.run(Duration::seconds(5));
//   walk.setDemand(0, 2.5);
//   double shift = walk.largestShift(&where);
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bluebellshift/gateway/hashing.h"
#include "bluebellshift/gateway/testing/fleetwalk.h"
#include "bluebellshift/gateway/testing/regionshape.h"

namespace bluebellshift::gateway::testing {

inline constexpr std::size_t domainsPerRegion = 3;
inline constexpr Duration window = Duration::seconds(2);
inline constexpr Duration bin = Duration::millis(100); // by which windows slide
// Windows with fewer requests say little about shares.
inline constexpr std::size_t minRequests = 100;
inline constexpr double maxRetryShare = 1.0 / 3; // of the time left, that a caller waits to return

class RegionWalk
{
public:
    explicit RegionWalk(const RegionShape &shape)
        : shape_(shape)
        , random_(shape.seed)
        , fleet_({ shape.vmCount, domainsPerRegion * shape.targets.size(), shape.seed })
        , demand_(shape.targets.size(), 1)
        , domainWeight_(domainsPerRegion * shape.targets.size(), 1)
        , ran_(shape.targets.size())
    {
        auto config = sampleConfig(2);
        const RouteRule sample = config->hosts[0].rules[0];
        for (std::size_t i = 0; i < shape.routes.size(); ++i) {
            RouteRule rule = sample;
            rule.name = fmt::format("route-{}", i);
            rule.pathPrefix = fmt::format("/route-{}/", i);
            rule.latencyObjective = shape.routes[i].objective;
            rule.timeout = shape.routes[i].timeout;
            rule.priority = shape.routes[i].priority;
            config->hosts[0].rules.push_back(rule);
        }
        config->index();
        int all = 0;
        for (std::size_t region = 0; region < shape.targets.size(); ++region) {
            for (int i = 0; i < shape.targets[region]; ++i, ++all)
                addTarget(region, i);
        }
        for (std::size_t i = 0; i < shape.vmCount; ++i) {
            for (const Target &old : sampleTargets(6))
                fleet_.vm(i).removeTarget(old.id);
            for (const auto &[id, simulated] : targets_)
                fleet_.vm(i).putTarget(simulated.target);
            fleet_.vm(i).putConfig(config);
        }
        for (const WalkRoute &route : shape.routes) {
            perSecond_.push_back(shape.load * route.share * all * shape.slots
                                 / route.serviceTime.toSeconds()
                                 / static_cast<double>(shape.targets.size()));
        }
        routeDemand_.assign(shape.routes.size(), 1);
        outcomes_.resize(shape.routes.size());
        fleet_.run(Duration::seconds(6));
        startedAt_ = now();
    }

    // Multiplies the requests of a region, or of a failure domain.
    void setDemand(std::size_t region, double factor) { demand_[region] = factor; }
    void setDomainWeight(std::size_t domain, double weight) { domainWeight_[domain] = weight; }
    // Multiplies the requests of a route.
    void setRouteDemand(std::size_t route, double factor) { routeDemand_[route] = factor; }
    // Ends that share of a region's targets at once.
    void loseTargets(std::size_t region, double share)
    {
        std::vector<TargetId> lost;
        std::size_t all = 0;
        for (const auto &[id, simulated] : targets_) {
            if (simulated.region == region && !simulated.isLost
                && static_cast<double>(lost.size()) < share * static_cast<double>(++all))
                lost.push_back(id);
        }
        for (const TargetId &id : lost) {
            targets_.at(id).isLost = true;
            for (std::size_t i = 0; i < fleet_.size(); ++i)
                fleet_.vm(i).removeTarget(id);
        }
    }

    // Starts all lost targets of a region again.
    void returnTargets(std::size_t region)
    {
        for (auto &[id, simulated] : targets_) {
            if (simulated.region != region || !simulated.isLost)
                continue;
            simulated.isLost = false;
            simulated.running = 0;
            simulated.queue.clear();
            simulated.warm.clear();
            simulated.target.startUnixMillis += 1000;
            for (std::size_t i = 0; i < fleet_.size(); ++i)
                fleet_.vm(i).putTarget(simulated.target);
        }
    }

    struct Outcomes
    {
        std::size_t offered = 0;
        std::size_t inTime = 0;
        std::size_t late = 0;

        double inTimeShare() const
        {
            return static_cast<double>(inTime)
                / static_cast<double>(std::max<std::size_t>(1, offered));
        }
    };
    // Of the requests of a route that were offered since the latest call of resetOutcomes().
    const Outcomes &outcomes(std::size_t route) const { return outcomes_[route]; }
    void resetOutcomes()
    {
        outcomes_.assign(outcomes_.size(), {});
        countedAfter_ = lastRequest_;
    }
    std::size_t regionCount() const { return shape_.targets.size(); }

    void run(Duration time)
    {
        for (Duration passed; passed < time; passed = passed + FleetWalk::step) {
            for (std::size_t region = 0; region < regionCount(); ++region)
                offer(region);
            endDue();
            fleet_.run(FleetWalk::step);
            for (std::size_t i = 0; i < fleet_.size(); ++i)
                takeEffects(i);
        }
    }

    // The largest change of shares between two adjoining windows, of the requests of any region.
    double largestShift(std::string *where) const
    {
        double largest = 0;
        const auto bins = static_cast<std::size_t>(window.toMicros() / bin.toMicros());
        for (std::size_t from = 0; from < ran_.size(); ++from) {
            const std::vector<std::vector<std::size_t>> &counts = ran_[from];
            for (std::size_t at = bins; at + bins <= counts.size(); ++at) {
                const double shift =
                    shiftBetween(sum(counts, at - bins, at), sum(counts, at, at + bins));
                if (shift <= largest)
                    continue;
                largest = shift;
                *where = fmt::format("seed {}: {:.0f} in 100 of region-{} at {:.1f} s", shape_.seed,
                                     100 * shift, from, static_cast<double>(at) * bin.toSeconds());
            }
        }
        return largest;
    }

    // The requests that ran, as a share of those that were offered.
    double servedShare() const
    {
        return static_cast<double>(served_)
            / static_cast<double>(std::max<std::size_t>(1, offered_));
    }

private:
    struct Caller
    {
        std::size_t vm = 0;
        Instant deadline;
        bool hasReturned = false;
        std::size_t route = 0;
        int object = 0;
        Instant firstAt;
        std::uint64_t number = 0; // of its first request
    };
    struct Work
    {
        std::size_t vm = 0;
        std::uint64_t request = 0;
        std::size_t route = 0;
        int object = 0;
        std::uint64_t number = 0; // of this attempt
    };
    struct SimulatedTarget
    {
        Target target;
        std::size_t region = 0;
        int running = 0;
        std::deque<Work> queue;
        std::deque<std::pair<std::size_t, int>> warm; // routes and objects, latest last
        bool isLost = false;
        std::set<std::uint64_t> started; // attempts
        std::set<std::uint64_t> cancelled;
    };
    enum class Step { Arrives, Ends, Responds, Returns, Cancelled };
    struct Due
    {
        Step step = Step::Arrives;
        Work work;
        TargetId target;
        bool isRejected = false;
        LoadReport load;
        bool isCut = false; // the target is gone
    };

    Instant now() { return fleet_.vm(0).now(); }

    void addTarget(std::size_t region, int number)
    {
        SimulatedTarget simulated;
        simulated.region = region;
        Target &target = simulated.target;
        target.id = TargetId(fmt::format("target-{}-{}", region, number));
        target.service = ServiceId("s");
        target.endpoint = { "10.0.0.9", static_cast<std::uint16_t>(9000 + targets_.size()) };
        target.failureDomain = FailureDomainId(fmt::format(
            "domain-{}",
            region * domainsPerRegion + static_cast<std::size_t>(number) % domainsPerRegion));
        target.slots = shape_.slots;
        targets_[target.id] = std::move(simulated);
    }

    std::size_t regionOfVm(std::size_t vm) const
    {
        return vm % (domainsPerRegion * regionCount()) / domainsPerRegion;
    }

    Duration delay(std::size_t vm, const SimulatedTarget &target) const
    {
        return Duration::millis(regionOfVm(vm) == target.region ? 4 : 36);
    }

    // Sends the region's new requests to its VMs.
    void offer(std::size_t region)
    {
        std::vector<double> weights(fleet_.size(), 0);
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (regionOfVm(i) == region)
                weights[i] = domainWeight_[i % domainWeight_.size()];
        }
        std::discrete_distribution<std::size_t> vms(weights.begin(), weights.end());
        for (std::size_t route = 0; route < shape_.routes.size(); ++route) {
            const double perSecond = perSecond_[route] * demand_[region] * routeDemand_[route];
            if (perSecond <= 0)
                continue;
            std::poisson_distribution<int> arrivals(perSecond * FleetWalk::step.toSeconds());
            for (int count = arrivals(random_); count > 0; --count)
                offerOne(route, vms(random_));
        }
    }

    void offerOne(std::size_t route, std::size_t vm)
    {
        ++offered_;
        ++outcomes_[route].offered;
        Caller caller;
        caller.vm = vm;
        caller.deadline = now() + shape_.routes[route].timeout;
        caller.route = route;
        caller.firstAt = now();
        const int objects = shape_.routes[route].objects;
        if (objects > 0) {
            // Each region's callers ask for objects of their own.
            const auto number = static_cast<int>(random_() % static_cast<std::uint64_t>(objects));
            caller.object = 1 + number + objects * static_cast<int>(regionOfVm(vm));
        }
        caller.number = ++lastRequest_;
        callers_[lastRequest_] = caller;
        request(lastRequest_);
    }

    void request(std::uint64_t id)
    {
        const Caller &caller = callers_.at(id);
        RequestArrived arrived =
            fleet_.vm(caller.vm).arrival(id, fmt::format("/route-{}/x", caller.route));
        if (caller.object > 0)
            arrived.affinityKey = fmt::format("object-{}", caller.object);
        arrived.deadline = caller.deadline - now();
        fleet_.vm(caller.vm).reduce(arrived);
        takeEffects(caller.vm);
    }

    void takeEffects(std::size_t vm)
    {
        for (const SendAttempt &sent : fleet_.vm(vm).takeSent())
            onSent(vm, sent);
        for (const RequestId cancelled : fleet_.vm(vm).takeCancelled())
            onCancelled(vm, cancelled);
        for (const Ended &ended : fleet_.vm(vm).takeEnded())
            onEnded(ended);
    }

    void onSent(std::size_t vm, const SendAttempt &sent)
    {
        const Caller &caller = callers_.at(sent.request.number());
        const Work work { vm, sent.request.number(), caller.route, caller.object, ++lastAttempt_ };
        sent_[work.request] = { sent.target, work };
        schedule(delay(vm, targets_.at(sent.target)),
                 { Step::Arrives, work, sent.target, false, {} });
    }

    void onCancelled(std::size_t vm, RequestId request)
    {
        const auto found = sent_.find(request.number());
        if (!shape_.dropsCancelled || found == sent_.end())
            return;
        const auto &[target, work] = found->second;
        schedule(delay(vm, targets_.at(target)), { Step::Cancelled, work, target, false, {} });
    }

    void onEnded(const Ended &ended)
    {
        const std::uint64_t id = ended.request.number();
        Caller &caller = callers_.at(id);
        const bool returns = !ended.isForwarded && !caller.hasReturned
            && ended.retryAfter.toSeconds()
                <= maxRetryShare * (caller.deadline - now()).toSeconds();
        if (ended.isForwarded && caller.number > countedAfter_) {
            const bool isInTime = now() - caller.firstAt <= shape_.routes[caller.route].objective;
            ++(isInTime ? outcomes_[caller.route].inTime : outcomes_[caller.route].late);
        }
        if (!returns) {
            callers_.erase(id);
            sent_.erase(id);
            return;
        }
        Caller returning = caller;
        returning.hasReturned = true;
        callers_.erase(id);
        sent_.erase(id);
        callers_[++lastRequest_] = returning;
        schedule(ended.retryAfter,
                 { Step::Returns, { returning.vm, lastRequest_ }, {}, false, {} });
    }

    void schedule(Duration in, Due due) { due_.emplace(now() + in, std::move(due)); }

    void endDue()
    {
        while (!due_.empty() && due_.begin()->first <= now()) {
            const Due due = due_.begin()->second;
            due_.erase(due_.begin());
            switch (due.step) {
            case Step::Arrives:
                onArrived(targets_.at(due.target), due.work);
                break;
            case Step::Ends:
                onWorkEnded(targets_.at(due.target), due.work);
                break;
            case Step::Responds:
                respond(due);
                break;
            case Step::Returns:
                request(due.work.request);
                break;
            case Step::Cancelled:
                drop(targets_.at(due.target), due.work);
                break;
            }
        }
    }

    void onArrived(SimulatedTarget &target, const Work &work)
    {
        if (target.isLost) {
            Due due { Step::Responds, work, target.target.id, false, {} };
            due.isCut = true;
            schedule(delay(work.vm, target), std::move(due));
            return;
        }
        if (target.running == shape_.slots
            && target.queue.size() == static_cast<std::size_t>(shape_.maxQueue)) {
            answer(target, work, true);
            return;
        }
        count(regionOfVm(work.vm), target.region);
        if (target.running < shape_.slots)
            start(target, work);
        else
            target.queue.push_back(work);
    }

    void start(SimulatedTarget &target, const Work &work)
    {
        ++target.running;
        target.started.insert(work.number);
        std::uniform_real_distribution<double> spread(0.6, 1.4);
        const double micros =
            serviceMicros(target, work) * spread(random_) * machineFactor(target) * longFactor();
        schedule(Duration::micros(static_cast<std::int64_t>(micros)),
                 { Step::Ends, work, target.target.id, false, {} });
    }

    // Takes back a request whose connection was closed.
    void drop(SimulatedTarget &target, const Work &work)
    {
        if (target.started.count(work.number) > 0) {
            target.cancelled.insert(work.number);
            endWork(target, work);
            return;
        }
        const auto waiting =
            std::find_if(target.queue.begin(), target.queue.end(),
                         [&](const Work &one) { return one.number == work.number; });
        if (waiting != target.queue.end())
            target.queue.erase(waiting);
    }

    double longFactor()
    {
        if (shape_.longShare <= 0)
            return 1;
        std::bernoulli_distribution isLong(shape_.longShare);
        return isLong(random_) ? shape_.longFactor : 1;
    }

    double machineFactor(const SimulatedTarget &target)
    {
        if (shape_.busyShare <= 0)
            return 1;
        const auto period =
            static_cast<std::uint64_t>(now().toMicros() / shape_.busyTime.toMicros());
        const std::uint64_t hash =
            mixHashes(hashText(target.target.id.text()), period + shape_.seed);
        return toFraction(hash) < shape_.busyShare ? shape_.busyFactor : 1;
    }

    double serviceMicros(SimulatedTarget &target, const Work &work)
    {
        const auto micros = static_cast<double>(shape_.routes[work.route].serviceTime.toMicros());
        if (work.object == 0)
            return micros;
        const std::pair<std::size_t, int> key { work.route, work.object };
        const auto known = std::find(target.warm.begin(), target.warm.end(), key);
        const bool isWarm = known != target.warm.end();
        if (isWarm)
            target.warm.erase(known);
        target.warm.push_back(key);
        if (target.warm.size() > shape_.warmObjects)
            target.warm.pop_front();
        return isWarm ? micros * warmTimeFactor : micros;
    }

    void onWorkEnded(SimulatedTarget &target, const Work &work)
    {
        if (target.isLost) {
            Due due { Step::Responds, work, target.target.id, false, {} };
            due.isCut = true;
            schedule(delay(work.vm, target), std::move(due));
            return;
        }
        if (target.cancelled.erase(work.number) > 0)
            return;
        ++served_;
        endWork(target, work);
        answer(target, work, false);
    }

    // Frees the slot and begins the next request.
    void endWork(SimulatedTarget &target, const Work &work)
    {
        --target.running;
        target.started.erase(work.number);
        if (!target.queue.empty()) {
            const Work next = target.queue.front();
            target.queue.pop_front();
            start(target, next);
        }
    }

    void answer(const SimulatedTarget &target, const Work &work, bool isRejected)
    {
        LoadReport load { target.running, static_cast<int>(target.queue.size()), shape_.slots,
                          std::nullopt };
        if (shape_.busyShare > 0)
            load.workPercent = static_cast<int>(100 * machineFactor(target));
        schedule(delay(work.vm, target),
                 { Step::Responds, work, target.target.id, isRejected, load });
    }

    void respond(const Due &due)
    {
        AttemptEnded ended;
        ended.outcome = due.isCut ? AttemptOutcome::Cut : AttemptOutcome::Answered;
        ended.status = due.isRejected ? 503 : 200;
        ended.saysNotRun = due.isRejected;
        ended.isAuthentic = true;
        if (!due.isCut)
            ended.load = due.load;
        ended.connectTime = delay(due.work.vm, targets_.at(due.target)) * 2;
        fleet_.vm(due.work.vm).finish(due.work.request, ended);
        takeEffects(due.work.vm);
    }

    void count(std::size_t from, std::size_t to)
    {
        const auto at = static_cast<std::size_t>((now() - startedAt_).toMicros() / bin.toMicros());
        auto &bins = ran_[from];
        while (bins.size() <= at)
            bins.emplace_back(regionCount(), 0);
        ++bins[at][to];
    }

    static std::vector<std::size_t> sum(const std::vector<std::vector<std::size_t>> &counts,
                                        std::size_t begin, std::size_t end)
    {
        std::vector<std::size_t> total(counts[begin].size(), 0);
        for (std::size_t i = begin; i < end; ++i) {
            for (std::size_t to = 0; to < total.size(); ++to)
                total[to] += counts[i][to];
        }
        return total;
    }

    static double shiftBetween(const std::vector<std::size_t> &before,
                               const std::vector<std::size_t> &after)
    {
        std::size_t allBefore = 0;
        std::size_t allAfter = 0;
        for (std::size_t i = 0; i < before.size(); ++i) {
            allBefore += before[i];
            allAfter += after[i];
        }
        if (allBefore < minRequests || allAfter < minRequests)
            return 0;
        double shift = 0;
        for (std::size_t i = 0; i < before.size(); ++i) {
            shift += std::abs(static_cast<double>(after[i]) / static_cast<double>(allAfter)
                              - static_cast<double>(before[i]) / static_cast<double>(allBefore));
        }
        return shift / 2;
    }

    const RegionShape shape_;
    std::mt19937_64 random_;
    FleetWalk fleet_;
    std::map<TargetId, SimulatedTarget> targets_;
    std::vector<double> demand_;       // of each region, against the usual
    std::vector<double> domainWeight_; // share of a domain's VMs in their region's callers
    std::vector<double> routeDemand_;
    std::vector<double> perSecond_; // requests of a region, by route
    std::vector<Outcomes> outcomes_;
    std::uint64_t countedAfter_ = 0; // the latest request that is not in outcomes_
    std::multimap<Instant, Due> due_;
    std::map<std::uint64_t, Caller> callers_;
    // By region of the callers, bin and region of the target.
    std::vector<std::vector<std::vector<std::size_t>>> ran_;
    Instant startedAt_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastAttempt_ = 0;
    std::map<std::uint64_t, std::pair<TargetId, Work>> sent_; // the latest attempt of each request
    std::size_t offered_ = 0;
    std::size_t served_ = 0;
};

} // namespace bluebellshift::gateway::testing
