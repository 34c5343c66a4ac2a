// Plays overload in virtual time with whole gateways that exchange their reports, and prints the
// table of docs/design/admission.md. Targets, callers and rates are a seventh of deployment A's
// service 3 (docs/design/hard-load.md): one route that is urgent, one that is not, and targets on
// which both compete. There is no network delay.
#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

enum class Rule { Today, OnArrival, Plan };

struct RouteModel
{
    const char *name;
    const char *path;
    double perSecond;
    Duration coldWork;
    Duration objective;
    Duration deadline;
    Duration timeout;
    int priority;
    int objects;
};

const RouteModel routes[] = {
    { "history", "/history/x", 64, Duration::millis(2600), Duration::millis(3000),
      Duration::millis(12000), Duration::millis(4000), 2, 16 },
    { "check", "/check/x", 33, Duration::millis(400), Duration::millis(250), Duration::millis(2000),
      Duration::millis(1200), 0, 8 },
};
constexpr std::size_t routeCount = 2;

struct Case
{
    const char *name;
    double demand[routeCount]; // multiples of the usual rates
    bool isBurst = false;      // only from burstBegin to burstEnd
    int targets = 24;
    int smallRegionTargets = 8; // of them, those of the region with a third of the callers
    bool hasPauses = false;     // a quarter of the targets ask for pauses
    bool restartsVms = false;
    bool retriesAtOnce = false; // half of the callers
};

const Case cases[] = {
    { "usual demand", { 1, 1 } },
    { "burst", { 2.5, 1.6 }, true },
    { "1.2 of capacity", { 3.2, 3.2 } },
    { "1.5 of capacity", { 4, 4 } },
    { "small region, burst", { 2.5, 1.6 }, true, 24, 2 },
    { "pauses, burst", { 2.5, 1.6 }, true, 24, 8, true },
    { "all VMs restart", { 2, 1 }, false, 24, 8, false, true },
    { "half retry at once, burst", { 2.5, 1.6 }, true, 24, 8, false, false, true },
};

struct Outcome
{
    int callers = 0;
    int inTime = 0;
    int late = 0;
    int refusedOnce = 0; // whatever came then
    int refusedTwice = 0;
    int failed = 0;              // otherwise
    std::vector<double> seconds; // until the final answer

    double share(int count) const
    {
        return callers == 0 ? 0 : static_cast<double>(count) / callers;
    }
    double credit() const { return share(inTime) + 0.2 * share(late); }
    double quantile(double q)
    {
        if (seconds.empty())
            return 0;
        std::sort(seconds.begin(), seconds.end());
        return seconds[static_cast<std::size_t>(q * static_cast<double>(seconds.size() - 1))];
    }
};

using Outcomes = std::array<Outcome, routeCount>;

class Model
{
public:
    Model(const Case &played, Rule rule, Duration length = Duration::seconds(30))
        : case_(played)
        , rule_(rule)
        , length_(length)
    {
        for (int i = 0; i < case_.targets; ++i)
            targets_.emplace_back();
        startVms();
    }

    Outcomes run()
    {
        while (now_ < begin + length_ + Duration::seconds(6)) {
            if (case_.restartsVms && !hasRestarted_ && now_ >= begin + Duration::seconds(8))
                restartVms();
            if (now_ < begin + length_)
                arrive();
            returnCallers();
            collect();
            now_ = now_ + step;
            for (auto &vm : vms_)
                vm->advance(step);
            finishWork();
            deliver();
        }
        return outcomes_;
    }

private:
    static constexpr Duration step = Duration::millis(5);
    static constexpr Instant begin = Instant::fromMicros(0);
    static constexpr std::size_t vmCount = 6; // two in each failure domain
    static constexpr std::size_t slots = 6;
    static constexpr std::size_t warmObjects = 12; // of a target

    struct Caller
    {
        std::size_t route;
        std::uint64_t object;
        std::size_t vm;
        Instant sentAt; // at first
        int refusals = 0;
    };
    struct Work
    {
        std::uint64_t request;
        Instant endsAt;
    };
    struct TargetModel
    {
        std::deque<std::uint64_t> waiting;
        std::vector<Work> running;
        std::list<std::uint64_t> warm; // most recent first
    };

    static std::string domainOf(std::size_t index)
    {
        static const char *const domains[] = { "near-1", "near-2", "far-1" };
        return domains[index % 3];
    }

    GatewayOptions optionsOf(std::size_t vm) const
    {
        GatewayOptions options = sampleOptions("vm-" + std::to_string(vm));
        options.vm.failureDomain = FailureDomainId(domainOf(vm));
        options.vm.region = RegionId(vm % 3 == 2 ? "far" : "near");
        options.features.isRoomContended = rule_ != Rule::Today;
        return options;
    }

    std::shared_ptr<TrafficConfig> config() const
    {
        std::shared_ptr<TrafficConfig> config = sampleConfig();
        const RouteRule sample = config->hosts[0].rules[0];
        config->hosts[0].rules.clear();
        for (const RouteModel &one : routes) {
            RouteRule rule = sample;
            rule.name = one.name;
            rule.pathPrefix = "/" + rule.name + "/";
            rule.priority = one.priority;
            // Without an objective, no request waits, nor is sent without a free slot.
            rule.latencyObjective = rule_ == Rule::OnArrival ? Duration::micros(1) : one.objective;
            rule.timeout = one.timeout;
            config->hosts[0].rules.push_back(rule);
        }
        config->index();
        return config;
    }

    std::vector<Target> registered() const
    {
        std::vector<Target> all = sampleTargets(case_.targets);
        for (std::size_t i = 0; i < all.size(); ++i) {
            const bool isInSmallRegion = static_cast<int>(i) < case_.smallRegionTargets;
            all[i].failureDomain = FailureDomainId(isInSmallRegion ? "far-1" : domainOf(i % 2));
            all[i].slots = slots;
        }
        return all;
    }

    void startVms()
    {
        vms_.clear();
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            vms_.push_back(std::make_unique<GatewayBench>(optionsOf(vm)));
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            std::vector<VmEntry> others;
            for (std::size_t other = 0; other < vmCount; ++other) {
                if (other != vm)
                    others.push_back(optionsOf(other).vm);
            }
            vms_[vm]->begin(config(), registered(), others, Duration::millis(500));
        }
        deliver();
    }

    // Callers whose request was under way get no answer and don't come back.
    void restartVms()
    {
        hasRestarted_ = true;
        for (const auto &[request, caller] : callers_) {
            ++outcomes_[caller.route].failed;
            outcomes_[caller.route].seconds.push_back((now_ - caller.sentAt).toSeconds());
        }
        callers_.clear();
        startVms();
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    // For arrivals, so that all rules get the same ones.
    double arrivalChance() { return std::uniform_real_distribution<double>(0, 1)(arrivals_); }

    void arrive()
    {
        const bool isRaised = !case_.isBurst
            || (now_ >= begin + Duration::seconds(5) && now_ < begin + Duration::seconds(17));
        for (std::size_t route = 0; route < routeCount; ++route) {
            const double rate = routes[route].perSecond * (isRaised ? case_.demand[route] : 1);
            std::poisson_distribution<int> arrivals(rate * step.toSeconds());
            for (int n = arrivals(arrivals_); n > 0; --n) {
                ++outcomes_[route].callers;
                const auto object =
                    static_cast<std::uint64_t>(arrivalChance() * routes[route].objects);
                send({ route, object, static_cast<std::size_t>(arrivalChance() * vmCount), now_,
                       0 });
            }
        }
    }

    std::size_t anyVm() { return static_cast<std::size_t>(chance() * vmCount); }

    void send(const Caller &caller)
    {
        const std::uint64_t id = ++lastRequest_;
        callers_[id] = caller;
        RequestArrived arrived = vms_[caller.vm]->arrival(id, routes[caller.route].path);
        arrived.affinityKey = std::to_string(caller.object);
        arrived.deadline = caller.sentAt + routes[caller.route].deadline - now_;
        vms_[caller.vm]->reduce(arrived);
    }

    void returnCallers()
    {
        while (!returns_.empty() && returns_.begin()->first <= now_) {
            Caller caller = returns_.begin()->second;
            returns_.erase(returns_.begin());
            caller.vm = anyVm();
            send(caller);
        }
    }

    void collect()
    {
        for (auto &vm : vms_) {
            for (const SendAttempt &attempt : vm->takeSent())
                onSent(attempt);
            for (const RequestId request : vm->takeCancelled())
                cancel(request.number());
            for (const Ended &ended : vm->takeEnded())
                onEnded(ended);
        }
    }

    static std::size_t indexOf(const TargetId &target)
    {
        return std::stoul(target.text().substr(1));
    }

    void onSent(const SendAttempt &attempt)
    {
        const std::size_t index = indexOf(attempt.target);
        const std::uint64_t request = attempt.request.number();
        if (isPausing(index)) {
            AttemptEnded ended = responseOf(index);
            ended.status = 503;
            ended.saysNotRun = true;
            ended.pause = Duration::seconds(1);
            answers_.emplace_back(request, ended);
            return;
        }
        targets_[index].waiting.push_back(request);
        startWork(targets_[index]);
    }

    bool isPausing(std::size_t index) const
    {
        return case_.hasPauses && index % 4 == 0 && now_ >= begin + Duration::seconds(5)
            && now_ < begin + Duration::seconds(17);
    }

    void startWork(TargetModel &target)
    {
        while (!target.waiting.empty() && target.running.size() < slots) {
            const std::uint64_t request = target.waiting.front();
            target.waiting.pop_front();
            const auto found = callers_.find(request);
            if (found == callers_.end())
                continue;
            const Caller &caller = found->second;
            const std::uint64_t object = caller.object * routeCount + caller.route;
            const auto known = std::find(target.warm.begin(), target.warm.end(), object);
            double work = routes[caller.route].coldWork.toSeconds() * (0.7 + 0.6 * chance());
            if (known != target.warm.end()) {
                work *= 0.3;
                target.warm.erase(known);
            }
            target.warm.push_front(object);
            if (target.warm.size() > warmObjects)
                target.warm.pop_back();
            target.running.push_back(
                { request, now_ + Duration::micros(static_cast<std::int64_t>(work * 1e6)) });
        }
    }

    AttemptEnded responseOf(std::size_t index) const
    {
        const TargetModel &target = targets_[index];
        AttemptEnded ended;
        ended.outcome = AttemptOutcome::Answered;
        ended.status = 200;
        ended.isAuthentic = true;
        ended.load = LoadReport { static_cast<int>(target.running.size()),
                                  static_cast<int>(target.waiting.size()), static_cast<int>(slots),
                                  std::nullopt };
        return ended;
    }

    void cancel(std::uint64_t request)
    {
        for (TargetModel &target : targets_) {
            auto &waiting = target.waiting;
            waiting.erase(std::remove(waiting.begin(), waiting.end(), request), waiting.end());
            auto &running = target.running;
            running.erase(std::remove_if(running.begin(), running.end(),
                                         [&](const Work &work) { return work.request == request; }),
                          running.end());
        }
    }

    void finishWork()
    {
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            std::vector<std::uint64_t> done;
            auto &running = targets_[i].running;
            for (const Work &work : running) {
                if (work.endsAt <= now_)
                    done.push_back(work.request);
            }
            running.erase(std::remove_if(running.begin(), running.end(),
                                         [&](const Work &work) { return work.endsAt <= now_; }),
                          running.end());
            startWork(targets_[i]);
            for (const std::uint64_t request : done)
                answers_.emplace_back(request, responseOf(i));
        }
        for (const auto &[request, ended] : std::exchange(answers_, {})) {
            const auto found = callers_.find(request);
            if (found != callers_.end())
                vms_[found->second.vm]->finish(request, ended);
        }
        collect();
    }

    void onEnded(const Ended &ended)
    {
        const auto found = callers_.find(ended.request.number());
        if (found == callers_.end())
            return;
        Caller caller = found->second;
        callers_.erase(found);
        const RouteModel &route = routes[caller.route];
        Outcome &outcome = outcomes_[caller.route];
        const Duration took = now_ - caller.sentAt;
        if (ended.isForwarded) {
            ++(took <= route.objective ? outcome.inTime : outcome.late);
            outcome.seconds.push_back(took.toSeconds());
            return;
        }
        const bool isRefusal = ended.status == 503 || ended.status == 429;
        const Duration left = route.deadline - took;
        if (isRefusal && ++caller.refusals == 1 && left > Duration()) {
            ++outcome.refusedOnce;
            const bool isAtOnce = case_.retriesAtOnce && chance() < 0.5;
            const Duration wait = isAtOnce ? Duration() : std::min(ended.retryAfter, left / 3);
            returns_.emplace(now_ + wait, caller);
            return;
        }
        ++(isRefusal ? outcome.refusedTwice : outcome.failed);
        outcome.seconds.push_back(took.toSeconds());
    }

    void deliver()
    {
        for (auto &vm : vms_) {
            for (const Outgoing &outgoing : vm->takeOutgoing()) {
                const std::size_t to = std::stoul(outgoing.to.text().substr(3));
                if (to < vms_.size())
                    vms_[to]->reduce(outgoing.event);
            }
        }
    }

    const Case &case_;
    const Rule rule_;
    const Duration length_;
    std::mt19937_64 random_ { 20261206 };   // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible
    std::mt19937_64 arrivals_ { 20261207 }; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same
    Instant now_ = begin;
    std::vector<std::unique_ptr<GatewayBench>> vms_;
    std::vector<TargetModel> targets_;
    std::map<std::uint64_t, Caller> callers_; // whose request is at a VM
    std::multimap<Instant, Caller> returns_;
    std::vector<std::pair<std::uint64_t, AttemptEnded>> answers_;
    Outcomes outcomes_;
    std::uint64_t lastRequest_ = 0;
    bool hasRestarted_ = false;
};

const char *nameOf(Rule rule)
{
    switch (rule) {
    case Rule::Today:
        return "today's";
    case Rule::OnArrival:
        return "refuse on arrival";
    case Rule::Plan:
        return "plan";
    }
    return "";
}

void print(const Case &played, Rule rule, Outcomes &outcomes)
{
    for (std::size_t route = 0; route < routeCount; ++route) {
        Outcome &one = outcomes[route];
        std::printf(
            "| %s | %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f |\n",
            played.name, nameOf(rule), routes[route].name, one.callers, one.share(one.inTime),
            one.share(one.late), one.share(one.refusedOnce), one.share(one.refusedTwice),
            one.share(one.failed), one.quantile(0.5), one.quantile(0.99), one.credit());
    }
}

} // namespace

TEST_GROUP(AdmissionModel) {};

// Guards against a change that serves a burst worse than refusing on arrival, or than the rule for
// services that are not contended.
TEST(AdmissionModel, ServesMoreInTimeThanTodaysRuleInEachCase)
{
    std::printf(
        "\n| case | rule | route | callers | in time | late | refused | refused twice | "
        "failed | p50 s | p99 s | credit |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    std::string worse; // cases
    for (const Case &played : cases) {
        std::map<Rule, Outcomes> outcomes;
        for (const Rule rule : { Rule::Today, Rule::OnArrival, Rule::Plan }) {
            outcomes[rule] = Model(played, rule).run();
            print(played, rule, outcomes[rule]);
        }
        const auto credit = [&](Rule rule) {
            return outcomes[rule][0].credit() + outcomes[rule][1].credit();
        };
        if (credit(Rule::Plan) < credit(Rule::Today) - 0.02)
            worse += std::string(played.name) + "; ";
    }
    STRCMP_EQUAL("", worse.c_str());
}
