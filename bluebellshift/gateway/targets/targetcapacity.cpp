// Each target has a hidden Markov model with two independent hidden values: its pace and its limit
// (the knee, above which requests share the target). A sample multiplies the probability of each
// pair by the likelihood of the observed time, and between samples the probabilities approach the
// prior. The likelihood has a heavy tail, so that one long request of those that take 7 times as
// long, or a neighbour of 0.6 s, moves the estimate little, and two or three agreeing samples move
// it at once.
//
// A VM of a large fleet sends one request to a target every ten seconds. It can't follow a change
// within a second from its own responses; all VMs together can. They exchange samples, not
// estimates, so that no observation counts twice, and also those of the usual time: a trial with
// the long ones alone made 5 in 100 usual targets seem slow.
#include "bluebellshift/gateway/targets/targetcapacity.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bluebellshift::gateway::targets {
namespace {

constexpr int binsPerOctave = 4;
constexpr int minBin = -16; // 1/16 of the usual time
constexpr int maxBin = 28;  // 128 times
constexpr int maxCheckpoints = 3;
constexpr int binsPerPaceLevel = 2;
constexpr int usualPaceLevel = 2;
constexpr int maxSlowdown = 40; // of a pace of 11.3 and a knee of an eighth of the slots
constexpr int tableSize = maxBin - minBin + maxSlowdown + 8 + 1;
constexpr int tableOffset = maxSlowdown - minBin;
constexpr int informativeBin = 3;      // 1.7 times the usual time
constexpr double limitDeviation = 0.4; // of a limit that still counts as all slots
constexpr double minLikelihood = 1e-4;
// Samples that follow each other closely may show the same neighbour, so that they count less.
constexpr Duration independentAfter = Duration::millis(200);
constexpr double minWeight = 0.15;
constexpr double queuedWeight = 0.4;

constexpr std::array<double, TargetCapacity::paceLevels> pacePrior { 0.005, 0.02,  0.93,  0.015,
                                                                     0.005, 0.005, 0.005, 0.005,
                                                                     0.005, 0.005 };
constexpr std::array<double, TargetCapacity::limitLevels> limitPrior { 0.025, 0.05,  0.075,
                                                                       0.075, 0.075, 0.7 };

constexpr double octavesOfLevel(std::size_t level)
{
    return (static_cast<int>(level) - usualPaceLevel) / 2.0;
}

double limitOfLevel(std::size_t level, int slots)
{
    return std::max(1.0, slots * (static_cast<double>(level) + 1) / TargetCapacity::limitLevels);
}

constexpr double priorOctaves()
{
    double sum = 0;
    for (std::size_t i = 0; i < TargetCapacity::paceLevels; ++i)
        sum += pacePrior[i] * octavesOfLevel(i);
    return sum;
}

double priorLimit(int slots)
{
    double sum = 0;
    for (std::size_t i = 0; i < limitPrior.size(); ++i)
        sum += limitPrior[i] * limitOfLevel(i, slots);
    return sum;
}

// The first checkpoints are at 2.8, 5.7 and 11.3 times the usual time.
constexpr int checkpointBin(int passed)
{
    return passed * binsPerOctave + 2;
}

int binOf(double ratio)
{
    return std::clamp(static_cast<int>(std::lround(binsPerOctave * std::log2(ratio))), minBin,
                      maxBin);
}

double normal(double x, double mean, double deviation)
{
    const double z = (x - mean) / deviation;
    return std::exp(-z * z / 2) / deviation;
}

// Density of a service time by octaves from the usual one at the target's true pace: mostly near
// it, some with a neighbour on the machine for a part of it, and few that take 7 times as long.
double coldDensity(double octaves)
{
    return 0.84 * normal(octaves, 0, 0.25) + 0.08 * normal(octaves, 1.2, 0.5)
        + 0.04 * normal(octaves, -1.1, 0.5) + 0.04 * normal(octaves, 2.8, 0.5) + 0.012;
}

double densityOf(ObjectState object, double octaves)
{
    constexpr double warmOctaves = -1.74; // 0.3 of the time
    // Where a warm object was expected, a cold one must not look like a slow target, nor the
    // reverse.
    constexpr double warmthOfLikely = 0.5;
    constexpr double warmthOfUnknown = 0.35;
    const double warmth = object == ObjectState::None ? 0
        : object == ObjectState::Unknown              ? warmthOfUnknown
                                                      : warmthOfLikely;
    return warmth * coldDensity(octaves - warmOctaves) + (1 - warmth) * coldDensity(octaves);
}

struct Likelihoods
{
    std::array<double, tableSize> density {};
    std::array<double, tableSize> survival {}; // of at least this time
};

const Likelihoods &likelihoodsOf(ObjectState object)
{
    static const std::array<Likelihoods, 3> all = [] {
        std::array<Likelihoods, 3> tables;
        for (int kind = 0; kind < 3; ++kind) {
            Likelihoods &table = tables[static_cast<std::size_t>(kind)];
            double sum = 0;
            for (int i = tableSize - 1; i >= 0; --i) {
                const auto at = static_cast<std::size_t>(i);
                table.density[at] = densityOf(static_cast<ObjectState>(kind),
                                              static_cast<double>(i - tableOffset) / binsPerOctave);
                sum += table.density[at];
                table.survival[at] = sum;
            }
            for (int i = 0; i < tableSize; ++i) {
                const auto at = static_cast<std::size_t>(i);
                table.density[at] = std::max(minLikelihood, table.density[at] / sum);
                table.survival[at] = std::max(minLikelihood, table.survival[at] / sum);
            }
        }
        return tables;
    }();
    return all[static_cast<std::size_t>(object)];
}

std::size_t indexOf(int bin, int slowdown)
{
    return static_cast<std::size_t>(std::clamp(bin - slowdown + tableOffset, 0, tableSize - 1));
}

// A request that may have waited for a slot: its wait is not known, only the queue seen by others.
double queueFactor(int waiting, int slots)
{
    return waiting < 0 ? 1 : 1.2 + static_cast<double>(waiting) / slots;
}

double forgotten(Duration age, Duration memory)
{
    return 1 - std::exp(-std::max(0.0, age.toSeconds()) / memory.toSeconds());
}

bool isUsual(double pace)
{
    return pace > TargetCapacity::minUsualPace && pace < TargetCapacity::maxUsualPace;
}

} // namespace

TargetCapacity::TargetCapacity(bool isRoomContended, std::function<void(core::LogRecord)> log)
    : isRoomContended_(isRoomContended)
    , log_(std::move(log))
{
}

TargetCapacity::Entry *TargetCapacity::put(const Target &target)
{
    const auto [found, isNew] = entries_.try_emplace(target.id);
    Entry &entry = found->second;
    const int slots = std::max(1, target.slots);
    if (!isNew && entry.startUnixMillis == target.startUnixMillis && entry.slots == slots)
        return &entry;
    if (isNew) {
        entry.id = target.id;
        entry.hash = hashOf(target.id);
        entry.service = &services_[target.service];
        entry.service->entries.push_back(&entry);
        byHash_[entry.hash] = &entry;
        const auto removed = removedAt_.find(entry.hash);
        if (removed != removedAt_.end())
            entry.reportsFrom = removed->second + reportTime * 2;
    }
    entry.startUnixMillis = target.startUnixMillis;
    entry.slots = slots;
    reset(entry);
    return &entry;
}

void TargetCapacity::remove(const TargetId &target, Instant now)
{
    const auto found = entries_.find(target);
    if (found == entries_.end())
        return;
    Entry &entry = found->second;
    inProgress_.erase(std::remove_if(inProgress_.begin(), inProgress_.end(),
                                     [&](const InProgress &one) { return one.entry == &entry; }),
                      inProgress_.end());
    auto &siblings = entry.service->entries;
    siblings.erase(std::remove(siblings.begin(), siblings.end(), &entry), siblings.end());
    byHash_.erase(entry.hash);
    for (auto one = removedAt_.begin(); one != removedAt_.end();)
        one = now - one->second > reportTime * 2 ? removedAt_.erase(one) : std::next(one);
    removedAt_[entry.hash] = now;
    entries_.erase(found);
}

void TargetCapacity::reset(Entry &entry)
{
    for (std::size_t l = 0; l < limitLevels; ++l) {
        for (std::size_t p = 0; p < paceLevels; ++p)
            entry.grid[l][p] = static_cast<float>(limitPrior[l] * pacePrior[p]);
    }
    entry.updatedAt = Instant::never();
    entry.estimatedAt = Instant::never();
    entry.isSlow = false;
    entry.loggedLimit = entry.slots;
    setMeans(entry);
}

bool TargetCapacity::isActive(const Entry &entry) const
{
    return entry.service->reportsLoad && (isRoomContended_ || entry.service->reportsWork);
}

// Relative to the usual service time of the routes, as of `now`.
double TargetCapacity::paceOf(const Entry &entry, Instant now)
{
    if (entry.updatedAt == Instant::never())
        return 1;
    return std::exp2(entry.meanOctaves * (1 - forgotten(now - entry.updatedAt, paceMemory)));
}

std::optional<CapacityEstimate> TargetCapacity::estimateOf(const Entry &entry, Instant now) const
{
    if (!isActive(entry))
        return std::nullopt;
    if (entry.estimatedAt != now) {
        entry.estimate = computeEstimate(entry, now);
        entry.estimatedAt = now;
    }
    return entry.estimate;
}

CapacityEstimate TargetCapacity::computeEstimate(const Entry &entry, Instant now) const
{
    if (entry.updatedAt == Instant::never())
        return { 1, static_cast<double>(entry.slots) };
    const double median = entry.service->medianPace;
    const double pace = paceOf(entry, now) / (isUsual(median) ? 1 : median);
    const double prior = priorLimit(entry.slots);
    const double share = forgotten(now - entry.updatedAt, limitMemory);
    const double slots = entry.slots;
    const double limit = entry.meanLimit + (prior - entry.meanLimit) * share + slots - prior;
    return { isUsual(pace) ? 1 : pace,
             limit > slots - limitDeviation ? slots : std::max(1.0, limit) };
}

void TargetCapacity::onSent(Entry &entry, const SentRequest &sent)
{
    if (!isActive(entry))
        return;
    examine(sent.at);
    if (sent.usual > Duration())
        inProgress_.push_back({ &entry, sent, 0 });
}

std::optional<TargetCapacity::InProgress> TargetCapacity::take(const Entry &entry, Instant sentAt)
{
    const auto found =
        std::find_if(inProgress_.begin(), inProgress_.end(), [&](const InProgress &one) {
            return one.entry == &entry && one.sent.at == sentAt;
        });
    if (found == inProgress_.end())
        return std::nullopt;
    const InProgress taken = *found;
    *found = inProgress_.back();
    inProgress_.pop_back();
    return taken;
}

void TargetCapacity::onEnded(Entry &entry, Instant sentAt, const AttemptEnded &ended, Instant now)
{
    Service &service = *entry.service;
    service.reportsLoad = service.reportsLoad || ended.load;
    service.reportsWork = service.reportsWork || (ended.load && ended.load->workPercent);
    examine(now);
    if (ended.outcome == AttemptOutcome::TimedOut) {
        onCancelled(entry, sentAt, now);
        return;
    }
    const std::optional<InProgress> request = take(entry, sentAt);
    const bool isServed =
        ended.outcome == AttemptOutcome::Answered && !ended.saysNotRun && ended.status < 400;
    if (!request || !isServed)
        return;
    const int occupied =
        ended.load ? ended.load->running + ended.load->waiting + 1 : request->sent.occupied;
    const int waiting = occupied - entry.slots - 1;
    const double work = ended.load && ended.load->workPercent
        ? std::clamp(*ended.load->workPercent / 100.0, 0.2, 10.0)
        : 1;
    const double usual = request->sent.usual.toSeconds() * queueFactor(waiting, entry.slots) * work;
    const double measured = std::max(1e-4, (now - sentAt - request->sent.transfer).toSeconds());
    Sample sample;
    sample.object = request->sent.object;
    sample.running =
        std::clamp(ended.load ? ended.load->running + 1 : request->sent.occupied, 1, entry.slots);
    sample.isQueued = waiting >= 0;
    sample.passed = request->passed;
    sample.bin = std::max(binOf(measured / usual),
                          request->passed > 0 ? checkpointBin(request->passed) : minBin);
    observe(entry, sample, now);
}

void TargetCapacity::onCancelled(Entry &entry, Instant sentAt, Instant now)
{
    examine(now);
    take(entry, sentAt);
}

// Requests in progress that have passed a checkpoint since they were last examined.
void TargetCapacity::examine(Instant now)
{
    if (now - examinedAt_ < examineInterval)
        return;
    examinedAt_ = now;
    for (InProgress &one : inProgress_) {
        const SentRequest &sent = one.sent;
        const int slots = one.entry->slots;
        const double usual = sent.usual.toSeconds() * queueFactor(sent.occupied - slots - 1, slots);
        const double elapsed = (now - sent.at - sent.transfer).toSeconds();
        int passed = one.passed;
        while (passed < maxCheckpoints
               && elapsed >= usual
                       * std::exp2(checkpointBin(passed + 1) / static_cast<double>(binsPerOctave)))
            ++passed;
        if (passed == one.passed)
            continue;
        Sample sample;
        sample.object = sent.object;
        sample.isQueued = sent.occupied > slots;
        sample.running = std::clamp(sent.occupied, 1, slots);
        sample.passed = one.passed;
        sample.isOver = true;
        sample.bin = checkpointBin(passed);
        one.passed = passed;
        observe(*one.entry, sample, now);
    }
    for (auto &[id, service] : services_)
        updateMedian(service, now);
}

// If most targets of a service seem slow, its routes have become slower, not the targets.
void TargetCapacity::updateMedian(Service &service, Instant now)
{
    if (service.entries.empty() || now - service.medianAt < examineInterval * 5)
        return;
    service.medianAt = now;
    std::vector<float> paces;
    paces.reserve(service.entries.size());
    for (const Entry *entry : service.entries)
        paces.push_back(static_cast<float>(paceOf(*entry, now)));
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    service.medianPace = *middle;
}

void TargetCapacity::observe(Entry &entry, const Sample &sample, Instant now)
{
    apply(entry, sample, now);
    reported_.push_back({ now, { entry.hash, encode(sample) } });
    ++reportedEnd_;
    if (reported_.size() > maxReported)
        reported_.pop_front();
}

void TargetCapacity::decay(Entry &entry, Instant now)
{
    if (entry.updatedAt == Instant::never()) {
        entry.updatedAt = now;
        return;
    }
    const auto paceShare = static_cast<float>(forgotten(now - entry.updatedAt, paceMemory));
    const auto limitShare = static_cast<float>(forgotten(now - entry.updatedAt, limitMemory));
    entry.updatedAt = std::max(entry.updatedAt, now);
    std::array<float, paceLevels> ofPace {};
    for (std::size_t l = 0; l < limitLevels; ++l) {
        float ofLimit = 0;
        for (std::size_t p = 0; p < paceLevels; ++p)
            ofLimit += entry.grid[l][p];
        for (std::size_t p = 0; p < paceLevels; ++p) {
            float &cell = entry.grid[l][p];
            cell += paceShare * (static_cast<float>(pacePrior[p]) * ofLimit - cell);
            ofPace[p] += cell;
        }
    }
    for (std::size_t l = 0; l < limitLevels; ++l) {
        for (std::size_t p = 0; p < paceLevels; ++p) {
            float &cell = entry.grid[l][p];
            cell += limitShare * (static_cast<float>(limitPrior[l]) * ofPace[p] - cell);
        }
    }
}

double TargetCapacity::likelihood(const Sample &sample, int slowdown)
{
    const Likelihoods &table = likelihoodsOf(sample.object);
    const std::size_t at = indexOf(sample.bin, slowdown);
    const double observed = sample.isOver ? table.survival[at] : table.density[at];
    if (sample.passed == 0)
        return observed;
    return observed / table.survival[indexOf(checkpointBin(sample.passed), slowdown)];
}

void TargetCapacity::apply(Entry &entry, const Sample &sample, Instant now)
{
    const Duration gap =
        entry.updatedAt == Instant::never() ? independentAfter : now - entry.updatedAt;
    const double weight = (sample.isQueued ? queuedWeight : 1)
        * std::clamp(gap.toSeconds() / independentAfter.toSeconds(), minWeight, 1.0);
    decay(entry, now);
    double sum = 0;
    std::array<float, paceLevels> factors {};
    int factorsOf = -1; // many limits share a factor, in particular all those above `running`
    for (std::size_t l = 0; l < limitLevels; ++l) {
        const double share = sample.running / limitOfLevel(l, entry.slots);
        const int sharing = share <= 1 ? 0 : binOf(share);
        for (std::size_t p = 0; p < paceLevels && sharing != factorsOf; ++p) {
            const int pace = (static_cast<int>(p) - usualPaceLevel) * binsPerPaceLevel;
            factors[p] = static_cast<float>(std::pow(likelihood(sample, pace + sharing), weight));
        }
        factorsOf = sharing;
        for (std::size_t p = 0; p < paceLevels; ++p) {
            entry.grid[l][p] *= factors[p];
            sum += entry.grid[l][p];
        }
    }
    for (auto &row : entry.grid) {
        for (float &cell : row)
            cell = static_cast<float>(cell / sum);
    }
    setMeans(entry);
    logChange(entry, now);
}

void TargetCapacity::setMeans(Entry &entry)
{
    double logPace = 0;
    double limit = 0;
    for (std::size_t l = 0; l < limitLevels; ++l) {
        const double limitHere = limitOfLevel(l, entry.slots);
        for (std::size_t p = 0; p < paceLevels; ++p) {
            logPace += entry.grid[l][p] * octavesOfLevel(p);
            limit += entry.grid[l][p] * limitHere;
        }
    }
    entry.meanOctaves = static_cast<float>(logPace - priorOctaves());
    entry.meanLimit = static_cast<float>(limit);
    entry.estimatedAt = Instant::never();
}

void TargetCapacity::logChange(Entry &entry, Instant now)
{
    const CapacityEstimate estimate = computeEstimate(entry, now);
    const bool isSlow = estimate.pace >= (entry.isSlow ? usualPace : slowPace);
    const bool isMoved = std::abs(estimate.limit - entry.loggedLimit) >= 1;
    if (isSlow == entry.isSlow && !isMoved)
        return;
    entry.isSlow = isSlow;
    entry.loggedLimit = static_cast<int>(std::lround(estimate.limit));
    if (!isActive(entry))
        return;
    if (now - logWindowAt_ >= logWindow) {
        logWindowAt_ = now;
        logsInWindow_ = 0;
    }
    if (++logsInWindow_ > maxLogsPerWindow)
        return;
    log_({ core::log::targetCapacity,
           { { "target", entry.id.text() },
             { "pace", fmt::format("{:.2f}", estimate.pace) },
             { "limit", fmt::format("{:.1f}", estimate.limit) },
             { "slots", std::to_string(entry.slots) } } });
}

core::TargetSamples TargetCapacity::reports(Instant now)
{
    examine(now);
    while (!reported_.empty() && now - reported_.front().at > reportTime)
        reported_.pop_front();
    core::TargetSamples samples;
    samples.end = reportedEnd_;
    for (const Reported &one : reported_)
        samples.samples.push_back(one.sample);
    return samples;
}

void TargetCapacity::onReport(const VmId &from, const core::TargetSamples &reported, Instant now)
{
    if (reported.samples.size() > reported.end)
        return;
    std::uint64_t &received = receivedEnds_[from];
    if (reported.end < received) // the VM restarted
        received = 0;
    const std::uint64_t begin = reported.end - reported.samples.size();
    const std::uint64_t unknown = std::max(begin, received);
    received = reported.end;
    for (std::uint64_t number = unknown; number < reported.end; ++number) {
        const core::TargetSample &one = reported.samples[number - begin];
        const auto found = byHash_.find(one.target);
        if (found == byHash_.end() || now < found->second->reportsFrom)
            continue;
        Sample sample = decode(one.code);
        sample.running = std::min(sample.running, found->second->slots);
        apply(*found->second, sample, now);
    }
}

// 2 bits of the object, 2 of the checkpoints, 1 of isOver, 6 of the bin, 1 of isQueued and the rest
// of the number of running requests.
std::uint32_t TargetCapacity::encode(const Sample &sample)
{
    const auto bin = static_cast<std::uint32_t>(sample.bin - minBin);
    return static_cast<std::uint32_t>(sample.object)
        | static_cast<std::uint32_t>(sample.passed) << 2
        | static_cast<std::uint32_t>(sample.isOver) << 4 | bin << 5
        | static_cast<std::uint32_t>(sample.isQueued) << 11
        | static_cast<std::uint32_t>(std::min(sample.running, 255)) << 12;
}

TargetCapacity::Sample TargetCapacity::decode(std::uint32_t code)
{
    Sample sample;
    sample.object = static_cast<ObjectState>(std::min(code & 3U, 2U));
    sample.passed = static_cast<int>(code >> 2 & 3U);
    sample.isOver = (code >> 4 & 1U) != 0;
    sample.bin = std::min(maxBin, static_cast<int>(code >> 5 & 63U) + minBin);
    sample.isQueued = (code >> 11 & 1U) != 0;
    sample.running = std::max(1, static_cast<int>(code >> 12 & 255U));
    return sample;
}

std::size_t TargetCapacity::slowCount() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [this](const auto &one) {
            return one.second.isSlow && isActive(one.second);
        }));
}

std::size_t TargetCapacity::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [this](const auto &one) {
            return one.second.loggedLimit < one.second.slots && isActive(one.second);
        }));
}

} // namespace bluebellshift::gateway::targets
