#include "bluebellshift/gateway/targets/testing/capacitymodel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "bluebellshift/gateway/targets/targetcapacity.h"

namespace bluebellshift::gateway::targets::testing {
namespace {

constexpr double timeoutSeconds = 2.5;
constexpr double neighbourFactor = 2.5;
constexpr double neighbourSeconds = 0.6;
constexpr double freshLoadSeconds = 0.2;

Instant instantOf(double seconds)
{
    return Instant::fromMicros(static_cast<std::int64_t>(seconds * 1e6));
}

Duration durationOf(double seconds)
{
    return Duration::micros(static_cast<std::int64_t>(seconds * 1e6));
}

struct Request
{
    int vm = 0;
    int target = 0;
    double sentAt = 0;
    bool isAnswered = false;
    bool isTimedOut = false;
};

struct ModelTarget
{
    int running = 0;
    std::deque<int> waiting;
    std::deque<double> latencies; // of the last responses
};

// What a VM knows of a target.
struct View
{
    int own = 0;
    int reported = 0; // by the other VMs
    int load = 0;     // by the target
    double loadAt = -1;
    double slowness = 1;
    double limit = 4;
    double shortest = 1e9;
    double average = 0;
    TargetCapacity::Entry *entry = nullptr;
};

struct ModelVm
{
    std::vector<View> views;
    std::unique_ptr<TargetCapacity> capacity;
    double inFlight = 0;
    double expectedOthers = 0; // at each target, if all VMs behave like this one
};

enum class Step { Arrival, End, Timeout, Report };

struct Due
{
    double at = 0;
    Step step = Step::Arrival;
    int id = 0; // of the request or the VM
    bool operator<(const Due &other) const { return at > other.at; }
};

class Model
{
public:
    explicit Model(const CapacityModelOptions &options);
    CapacityModelResult run();

private:
    bool isSlowTarget(int target) const { return target < options_.slowShare * options_.targets; }
    bool hasKnee(int target) const { return target >= options_.targets * (1 - options_.kneeShare); }
    bool usesCapacity() const
    {
        return options_.choice == Choice::Local || options_.choice == Choice::Exchanged;
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    double neighbourAt(int target, double at) const;
    double usualSeconds() const { return options_.workSeconds * 1.1; }
    int othersOf(const ModelVm &vm, const View &view) const;
    double scoreOf(const ModelVm &vm, const View &view) const;
    int choose(ModelVm &vm);
    int chooseByProbes();
    void arrive();
    void start(int id);
    void end(int id);
    void timeOut(int id);
    void report(int id);
    void learn(View &view, double elapsed, bool isTimedOut);
    void learnLimit(View &view, double elapsed, bool isTimedOut);
    void measureUsual();

    const CapacityModelOptions options_;
    std::mt19937_64 random_;
    std::priority_queue<Due> due_;
    std::vector<ModelTarget> targets_;
    std::vector<ModelVm> vms_;
    std::vector<Request> requests_;
    double now_ = 0;
    int nextVm_ = 0;
    double bytes_ = 0;
    double reduced_ = 0;
    double takenAsSlow_ = 0;
    int measurements_ = 0;
    double limits_ = 0; // learned, of targets with a knee
    int limitsMeasured_ = 0;
    std::vector<double> elapsed_;
    int inTime_ = 0;
    int counted_ = 0;
    int atKnee_ = 0;
    int atKneeInTime_ = 0;
    int duringFault_ = 0;
    int duringFaultToSlow_ = 0;
    int afterFault_ = 0;
    int afterFaultToSlow_ = 0;
};

Model::Model(const CapacityModelOptions &options)
    : options_(options)
    , random_(options.seed)
    , targets_(static_cast<std::size_t>(options.targets))
    , vms_(static_cast<std::size_t>(options.vms))
{
    for (std::size_t v = 0; v < vms_.size(); ++v) {
        ModelVm &vm = vms_[v];
        vm.capacity = std::make_unique<TargetCapacity>(true, [](const core::LogRecord &) {});
        vm.views.resize(targets_.size());
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            Target target;
            target.id = TargetId("t" + std::to_string(t));
            target.service = ServiceId("s");
            target.slots = options.slots;
            vm.views[t].entry = vm.capacity->put(target);
            vm.views[t].limit = options.slots;
        }
        due_.push({ uniform() * options.reportSeconds, Step::Report, static_cast<int>(v) });
    }
    due_.push({ 0, Step::Arrival, 0 });
}

// All VMs see the same neighbours; a hash of the period and the target draws them.
double Model::neighbourAt(int target, double at) const
{
    if (options_.neighbourShare <= 0)
        return 1;
    const auto period = static_cast<std::uint64_t>(at / neighbourSeconds);
    std::mt19937_64 draw(period * 1009 + static_cast<std::uint64_t>(target) + options_.seed);
    draw.discard(2);
    const double drawn = std::uniform_real_distribution<double>(0, 1)(draw);
    return drawn < options_.neighbourShare ? neighbourFactor : 1;
}

int Model::othersOf(const ModelVm &vm, const View &view) const
{
    if (now_ - view.loadAt < freshLoadSeconds)
        return view.load;
    return std::max(view.reported, static_cast<int>(vm.expectedOthers));
}

double Model::scoreOf(const ModelVm &vm, const View &view) const
{
    const int occupied = view.own + othersOf(vm, view);
    double pace = 1;
    double limit = options_.slots;
    switch (options_.choice) {
    case Choice::Today:
        pace = view.slowness > 0.6 && view.slowness < 1.5 ? 1 : view.slowness;
        break;
    case Choice::Gradient:
    case Choice::Vegas:
    case Choice::Aimd:
        limit = std::clamp<double>(view.limit, 1, options_.slots);
        break;
    case Choice::Local:
    case Choice::Exchanged: {
        const CapacityEstimate estimate =
            vm.capacity->estimateOf(*view.entry, instantOf(now_))
                .value_or(CapacityEstimate { 1, static_cast<double>(options_.slots) });
        pace = estimate.pace;
        limit = estimate.limit;
        break;
    }
    case Choice::LeastInFlight:
    case Choice::Prequal:
        break;
    }
    const double wait = occupied < limit ? 0 : (occupied - limit + 1) / limit;
    const double crowding = 0.1 * occupied / limit;
    return pace * (1 + wait + crowding);
}

int Model::chooseByProbes()
{
    struct Probe
    {
        int target;
        int inFlight;
        double latency;
    };
    std::vector<Probe> probes;
    for (int i = 0; i < 2; ++i) {
        const int target = static_cast<int>(uniform() * options_.targets);
        const ModelTarget &probed = targets_[static_cast<std::size_t>(target)];
        std::vector<double> sorted(probed.latencies.begin(), probed.latencies.end());
        std::sort(sorted.begin(), sorted.end());
        probes.push_back({ target, probed.running + static_cast<int>(probed.waiting.size()),
                           sorted.empty() ? usualSeconds() : sorted[sorted.size() / 2] });
    }
    const bool isFirstHot = probes[0].inFlight >= options_.slots;
    const bool isSecondHot = probes[1].inFlight >= options_.slots;
    if (isFirstHot || isSecondHot)
        return probes[0].inFlight <= probes[1].inFlight ? probes[0].target : probes[1].target;
    return probes[0].latency <= probes[1].latency ? probes[0].target : probes[1].target;
}

int Model::choose(ModelVm &vm)
{
    if (options_.choice == Choice::Prequal)
        return chooseByProbes();
    int best = 0;
    double bestScore = 1e18;
    for (int t = 0; t < options_.targets; ++t) {
        if (options_.candidateShare < 1 && uniform() >= options_.candidateShare)
            continue;
        const double score = scoreOf(vm, vm.views[static_cast<std::size_t>(t)]) + 0.01 * uniform();
        if (score < bestScore) {
            bestScore = score;
            best = t;
        }
    }
    return best;
}

void Model::arrive()
{
    due_.push({ now_ - std::log(1 - uniform()) / options_.requestsPerSecond, Step::Arrival, 0 });
    const int vmIndex = nextVm_++ % options_.vms;
    ModelVm &vm = vms_[static_cast<std::size_t>(vmIndex)];
    const int chosen = choose(vm);
    View &view = vm.views[static_cast<std::size_t>(chosen)];
    ++view.own;
    ++vm.inFlight;
    vm.expectedOthers +=
        0.05 * (vm.inFlight * (options_.vms - 1) / options_.targets - vm.expectedOthers);
    const int id = static_cast<int>(requests_.size());
    requests_.push_back({ vmIndex, chosen, now_ });
    due_.push({ now_ + timeoutSeconds, Step::Timeout, id });
    if (usesCapacity()) {
        vm.capacity->onSent(*view.entry,
                            { instantOf(now_), Duration(), durationOf(usualSeconds()),
                              ObjectState::None, view.own + othersOf(vm, view) });
    }
    const bool isSlow = isSlowTarget(chosen);
    if (now_ >= options_.faultAt + 1 && now_ < options_.faultEnd) {
        ++duringFault_;
        duringFaultToSlow_ += isSlow ? 1 : 0;
    }
    if (now_ >= options_.faultEnd + 2) {
        ++afterFault_;
        afterFaultToSlow_ += isSlow ? 1 : 0;
    }
    ModelTarget &target = targets_[static_cast<std::size_t>(chosen)];
    if (target.running < options_.slots)
        start(id);
    else
        target.waiting.push_back(id);
}

void Model::start(int id)
{
    const int chosen = requests_[static_cast<std::size_t>(id)].target;
    ModelTarget &target = targets_[static_cast<std::size_t>(chosen)];
    ++target.running;
    double work = options_.workSeconds * std::lognormal_distribution<double>(0, 0.2)(random_);
    if (uniform() < options_.longShare)
        work *= 7;
    if (isSlowTarget(chosen) && now_ >= options_.faultAt && now_ < options_.faultEnd)
        work *= options_.slowFactor;
    if (hasKnee(chosen))
        work *= std::max(1.0, static_cast<double>(target.running) / options_.knee);
    due_.push({ now_ + work * neighbourAt(chosen, now_), Step::End, id });
}

void Model::end(int id)
{
    Request &request = requests_[static_cast<std::size_t>(id)];
    ModelTarget &target = targets_[static_cast<std::size_t>(request.target)];
    --target.running;
    const double elapsed = now_ - request.sentAt;
    target.latencies.push_back(elapsed);
    if (target.latencies.size() > 8)
        target.latencies.pop_front();
    if (!target.waiting.empty()) {
        const int next = target.waiting.front();
        target.waiting.pop_front();
        start(next);
    }
    if (request.isTimedOut)
        return;
    request.isAnswered = true;
    ModelVm &vm = vms_[static_cast<std::size_t>(request.vm)];
    View &view = vm.views[static_cast<std::size_t>(request.target)];
    --view.own;
    --vm.inFlight;
    view.load = std::max(0, target.running + static_cast<int>(target.waiting.size()) - view.own);
    view.loadAt = now_;
    if (usesCapacity()) {
        AttemptEnded ended;
        ended.outcome = AttemptOutcome::Answered;
        ended.status = 200;
        ended.load = LoadReport { target.running, static_cast<int>(target.waiting.size()),
                                  options_.slots, std::nullopt };
        if (options_.reportsWork)
            ended.load->workPercent = static_cast<int>(100 * neighbourAt(request.target, now_));
        vm.capacity->onEnded(*view.entry, instantOf(request.sentAt), ended, instantOf(now_));
    }
    learn(view, elapsed, false);
    if (request.sentAt < options_.faultAt)
        return;
    const bool isInTime = elapsed <= 2 * options_.workSeconds;
    ++counted_;
    inTime_ += isInTime ? 1 : 0;
    elapsed_.push_back(elapsed);
    if (hasKnee(request.target)) {
        ++atKnee_;
        atKneeInTime_ += isInTime ? 1 : 0;
    }
}

void Model::timeOut(int id)
{
    Request &request = requests_[static_cast<std::size_t>(id)];
    if (request.isAnswered)
        return;
    request.isTimedOut = true;
    ModelVm &vm = vms_[static_cast<std::size_t>(request.vm)];
    View &view = vm.views[static_cast<std::size_t>(request.target)];
    --view.own;
    --vm.inFlight;
    if (usesCapacity()) {
        AttemptEnded ended;
        ended.outcome = AttemptOutcome::TimedOut;
        vm.capacity->onEnded(*view.entry, instantOf(request.sentAt), ended, instantOf(now_));
    }
    learn(view, timeoutSeconds, true);
    if (request.sentAt < options_.faultAt)
        return;
    ++counted_;
    elapsed_.push_back(timeoutSeconds);
    atKnee_ += hasKnee(request.target) ? 1 : 0;
}

// The rules of TargetPool, which learns from responses only.
void Model::learn(View &view, double elapsed, bool isTimedOut)
{
    if (!isTimedOut) {
        view.slowness =
            std::clamp(view.slowness + 0.2 * (elapsed / usualSeconds() - view.slowness), 0.3, 12.0);
    }
    learnLimit(view, elapsed, isTimedOut);
}

void Model::learnLimit(View &view, double elapsed, bool isTimedOut)
{
    view.shortest = std::min(view.shortest, elapsed);
    view.average = view.average == 0 ? elapsed : view.average + 0.05 * (elapsed - view.average);
    switch (options_.choice) {
    case Choice::Gradient: {
        const double gradient = std::clamp(1.5 * view.average / elapsed, 0.5, 1.0);
        const double newest = view.limit * gradient + std::sqrt(view.limit) / 2;
        view.limit += 0.2 * (newest - view.limit);
        break;
    }
    case Choice::Vegas: {
        const double queue = view.limit * (1 - view.shortest / elapsed);
        view.limit += queue < 1 ? 0.5 : queue > 2 ? -0.5 : 0;
        break;
    }
    case Choice::Aimd:
        view.limit = isTimedOut ? view.limit * 0.7 : view.limit + 1 / view.limit;
        break;
    default:
        break;
    }
    view.limit = std::clamp<double>(view.limit, 1, options_.slots);
}

// A VM sends its requests in flight, and the samples, to all others.
void Model::report(int id)
{
    due_.push({ now_ + options_.reportSeconds, Step::Report, id });
    if (id == 0 && now_ >= options_.faultAt)
        measureUsual();
    const VmId from("vm" + std::to_string(id));
    const core::TargetSamples samples =
        vms_[static_cast<std::size_t>(id)].capacity->reports(instantOf(now_));
    if (now_ >= options_.faultAt)
        bytes_ += 4 + 10.0 * static_cast<double>(samples.samples.size());
    ModelVm &vm = vms_[static_cast<std::size_t>(id)];
    for (std::size_t t = 0; t < targets_.size(); ++t) {
        vm.views[t].reported = 0;
        for (const ModelVm &other : vms_)
            vm.views[t].reported += &other == &vm ? 0 : other.views[t].own;
    }
    if (options_.choice != Choice::Exchanged)
        return;
    for (ModelVm &other : vms_) {
        if (&other != &vm)
            other.capacity->onReport(from, samples, instantOf(now_));
    }
}

// What the first VM believes of the targets that have neither a fault nor a knee.
void Model::measureUsual()
{
    if (!usesCapacity())
        return;
    double slots = 0;
    double slow = 0;
    int usual = 0;
    for (int t = 0; t < options_.targets; ++t) {
        if (isSlowTarget(t))
            continue;
        const CapacityEstimate estimate = *vms_[0].capacity->estimateOf(
            *vms_[0].views[static_cast<std::size_t>(t)].entry, instantOf(now_));
        if (hasKnee(t)) {
            limits_ += estimate.limit;
            ++limitsMeasured_;
            continue;
        }
        slots += estimate.limit;
        slow += estimate.pace >= TargetCapacity::slowPace ? 1 : 0;
        ++usual;
    }
    reduced_ += 1 - slots / (usual * options_.slots);
    takenAsSlow_ += slow / usual;
    ++measurements_;
}

CapacityModelResult Model::run()
{
    while (!due_.empty() && due_.top().at < options_.seconds) {
        const Due due = due_.top();
        due_.pop();
        now_ = due.at;
        switch (due.step) {
        case Step::Arrival:
            arrive();
            break;
        case Step::End:
            end(due.id);
            break;
        case Step::Timeout:
            timeOut(due.id);
            break;
        case Step::Report:
            report(due.id);
            break;
        }
    }
    const auto shareOf = [](int part, int all) { return all > 0 ? 1.0 * part / all : 0; };
    std::sort(elapsed_.begin(), elapsed_.end());
    CapacityModelResult result;
    result.inTime = shareOf(inTime_, counted_);
    result.medianSeconds = elapsed_[elapsed_.size() / 2];
    result.p99Seconds = elapsed_[elapsed_.size() * 99 / 100];
    result.sentToSlow = shareOf(duringFaultToSlow_, duringFault_);
    result.sentToSlowAfter = shareOf(afterFaultToSlow_, afterFault_);
    result.inTimeAtKnee = shareOf(atKneeInTime_, atKnee_);
    result.reducedUsual = measurements_ > 0 ? reduced_ / measurements_ : 0;
    result.usualTakenAsSlow = measurements_ > 0 ? takenAsSlow_ / measurements_ : 0;
    result.limitAtKnee = limitsMeasured_ > 0 ? limits_ / limitsMeasured_ : 0;
    result.reportBytesPerSecond =
        bytes_ / options_.vms / std::max(0.1, options_.seconds - options_.faultAt);
    return result;
}

} // namespace

const char *toText(Choice choice)
{
    switch (choice) {
    case Choice::LeastInFlight:
        return "least in flight";
    case Choice::Today:
        return "today";
    case Choice::Gradient:
        return "gradient";
    case Choice::Vegas:
        return "vegas";
    case Choice::Aimd:
        return "aimd";
    case Choice::Prequal:
        return "prequal";
    case Choice::Local:
        return "local";
    case Choice::Exchanged:
        return "exchanged";
    }
    return "?";
}

CapacityModelResult runCapacityModel(const CapacityModelOptions &options)
{
    return Model(options).run();
}

} // namespace bluebellshift::gateway::targets::testing
