// A seeded random walk of TrafficSteering and RolloutController on several VMs with
// one store: lagging views, drifting clocks, restarts, lost replies, outages, regions
// that fail for some VMs and recover, and concurrent operators. After every event
// the model compares the splits that any two VMs published within one window,
// including answers that callers still cache. Guards against moving more traffic
// than the cap within a window.
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/capacity.h"
#include "bluebellshift/core/rolloutcontroller.h"
#include "bluebellshift/core/trafficsteering.h"

using namespace bluebellshift::core;

namespace {

constexpr int vmCount = 5;
constexpr double tolerance = 1e-9;
const Duration lease = Duration::millis(2500);
const char *const regionNames[] = { "kpk", "punjab", "sindh" };

using Split = std::vector<RegionShare>;

Split splitFrom(std::vector<double> parts)
{
    double sum = 0;
    for (const double part : parts)
        sum += part;
    Split split;
    for (std::size_t i = 0; i < parts.size(); ++i)
        split.push_back({ RegionId(regionNames[i]), parts[i] / sum });
    return split;
}

Split normalised(Split split)
{
    double sum = 0;
    for (const RegionShare &share : split)
        sum += share.fraction;
    for (RegionShare &share : split)
        share.fraction /= sum;
    return split;
}

BundlePointer makeBundle(const std::string &version, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> part(0, 1);
    auto bundle = std::make_shared<Bundle>();
    bundle->version = version;
    for (const char *name : regionNames)
        bundle->regions.push_back({ RegionId(name), 100, 1.0 / 3, {} });
    const struct
    {
        const char *name;
        double cap;
        int window;
        int cache;
    } services[] = { { "rota", 0.1, 30, 5 }, { "fund", 0.25, 10, 2 } };
    for (const auto &s : services) {
        Service service;
        service.id = ServiceId(s.name);
        service.shiftCapFraction = s.cap;
        service.shiftWindow = Duration::seconds(s.window);
        service.cacheTime = Duration::seconds(s.cache);
        const bool isDrain = part(random) < 0.4;
        service.split = splitFrom({ part(random), part(random), isDrain ? 0 : part(random) });
        service.teamSplits.push_back(
            { TeamId("own"), splitFrom({ part(random), part(random), part(random) }) });
        bundle->services.push_back(service);
    }
    bundle->teams = { { TeamId("own"), 10, 10 }, { TeamId("other"), 10, 10 } };
    return bundle;
}

// The platform's store with one object; lagging readers use its history.
struct Store
{
    std::vector<Rollout> versions; // version n is versions[n - 1]
    bool isDown = false;

    Revision newest() const { return Revision(versions.size()); }
    bool write(Revision expected, const Rollout &next)
    {
        if (expected != newest())
            return false;
        versions.push_back(next);
        return true;
    }
};

// A split that a VM published for one service and team, and for how long.
struct PublishedSplit
{
    int vm = 0;
    int epoch = 0; // raised by a restart, a stale view and the failure of a region
    Instant epochFrom;
    Instant from;
    Instant until; // when a different split replaced it
    Split planned; // from the roll-out alone
    Split actual;  // after failed regions and ramps
};

struct PendingReply
{
    Instant at;
    PlatformReplied reply;
};

struct ModelVm
{
    double drift = 0;
    Duration offset;
    bool isRunning = false;
    bool isCutOff = false; // from the store and all VMs that are not cut off
    Instant cutSince;
    bool isVoter = false; // this process has joined through the store
    Instant refreshedAt = Instant::never();
    Revision installed;
    int epoch = 0;
    Instant epochFrom;
    std::map<RegionId, RegionHealth> health;
    std::map<RegionId, bool> wasUp;
    std::unique_ptr<TrafficSteering> steering;
    std::unique_ptr<RolloutController> controller;
    std::deque<PendingReply> replies;
    std::uint64_t calls = 0;
};

class Walk
{
public:
    Walk(std::uint64_t seed, bool regionsFail)
        : random_(seed)
        , regionsFail_(regionsFail)
    {
        for (int i = 0; i < 4; ++i)
            bundles_.push_back(makeBundle(std::to_string(i), random_));
        store_.versions.push_back(firstRollout(*bundles_[0], "operator", {}));
        for (int i = 0; i < vmCount; ++i) {
            vms_[i].drift = (chance(0.5) ? 1 : -1) * 0.0005;
            vms_[i].offset = Duration::seconds(100 * i);
            restart(i);
        }
    }

    void run(int events)
    {
        for (int i = 0; i < events; ++i) {
            now_ = now_ + Duration::millis(std::uniform_int_distribution<int>(1, 900)(random_));
            injectFaults();
            advanceAll();
        }
    }

    // Ends all faults and waits; the roll-out must then finish.
    void settle()
    {
        store_.isDown = false;
        for (int i = 0; i < vmCount; ++i) {
            vms_[i].isCutOff = false;
            vms_[i].health.clear();
            if (!vms_[i].isRunning)
                restart(i);
        }
        isSettling_ = true;
        for (int i = 0; i < 9000 && current().state != RolloutState::Done; ++i) {
            now_ = now_ + Duration::millis(500);
            if (current().state == RolloutState::Paused)
                store_.write(store_.newest(), *resumeRollout(current(), "operator", {}));
            advanceAll();
        }
    }

    const Rollout &current() const { return store_.versions.back(); }
    int stepsTaken() const { return stepsTaken_; }
    int rampsTaken() const { return rampsTaken_; }
    int repliesLost() const { return repliesLost_; }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }

    Instant localNow(const ModelVm &vm) const
    {
        const auto micros = static_cast<double>(now_.toMicros()) * (1 + vm.drift);
        return Instant::fromMicros(static_cast<std::int64_t>(micros)) + vm.offset;
    }

    void restart(int index)
    {
        ModelVm &vm = vms_[index];
        CoreOptions options;
        options.vm = VmId("vm-" + std::to_string(index));
        options.clockDrift = 0.002;
        TrafficSteeringHooks steeringHooks;
        steeringHooks.regionHealth = [&vm](const RegionId &region) { return vm.health[region]; };
        vm.steering = std::make_unique<TrafficSteering>(options, steeringHooks);
        RolloutControllerHooks hooks;
        hooks.isInForceEverywhere = [this](Revision revision, Instant) {
            return !chance(0.3) && isInForceEverywhere(revision);
        };
        hooks.isHeldByQuorum = [this](Revision revision) { return isHeldByQuorum(revision); };
        hooks.unhealthyReason = [this](Instant) {
            return !isSettling_ && chance(0.002) ? std::optional<std::string>("slow")
                                                 : std::nullopt;
        };
        hooks.unsettledRegions = [&vm]() { return vm.steering->unsettledRegions(); };
        hooks.rank = [this](Revision) { return pick(3); };
        hooks.newCall = [&vm]() { return CallId(++vm.calls); };
        vm.controller = std::make_unique<RolloutController>(options, hooks);
        vm.replies.clear();
        vm.isRunning = true;
        vm.isVoter = false;
        vm.installed = Revision();
        vm.refreshedAt = Instant::never();
        beginEpoch(vm);
    }

    void beginEpoch(ModelVm &vm)
    {
        ++vm.epoch;
        vm.epochFrom = now_;
    }

    bool isFresh(const ModelVm &vm) const { return vm.isRunning && now_ - vm.refreshedAt <= lease; }

    // As seen by a VM that is not cut off. The lease of a VM that was unreachable for
    // longer than a lease may or may not have expired.
    bool isInForceEverywhere(Revision revision) const
    {
        for (const ModelVm &vm : vms_) {
            const bool mayHaveExpired = vm.isCutOff && now_ - vm.cutSince > lease;
            if (isFresh(vm) && vm.installed < revision && !mayHaveExpired)
                return false;
        }
        return true;
    }

    void injectFaults()
    {
        const int index = pick(vmCount);
        ModelVm &vm = vms_[index];
        if (chance(0.01)) {
            vm.isCutOff = !vm.isCutOff;
            vm.cutSince = now_;
        }
        if (chance(0.004))
            restart(index);
        if (chance(0.002))
            vm.isRunning = vm.isVoter = false;
        else if (!vm.isRunning && chance(0.2))
            restart(index);
        if (chance(0.004))
            store_.isDown = !store_.isDown;
        if (regionsFail_ && chance(0.004))
            failRegion();
        if (chance(0.02))
            recoverRegions();
        if (chance(0.01))
            actAsOperator();
    }

    void failRegion()
    {
        const RegionId region(regionNames[pick(3)]);
        const bool forAll = chance(0.5);
        for (ModelVm &vm : vms_) {
            if (forAll || chance(0.3))
                vm.health[region].isUp = false;
        }
    }

    void recoverRegions()
    {
        for (ModelVm &vm : vms_) {
            for (auto &item : vm.health)
                item.second = { true, chance(0.5) ? 1 : 0.3 };
        }
    }

    // An operator acts on a version that may be outdated.
    void actAsOperator()
    {
        const std::size_t back = std::min<std::size_t>(pick(3), store_.versions.size() - 1);
        const Revision seen(store_.versions.size() - back);
        const Rollout &rollout = store_.versions[seen.number() - 1];
        if (chance(0.4)) {
            const auto next = beginRollout(rollout, *bundleOf(rollout.bundle), *bundles_[pick(4)],
                                           "operator", {});
            CHECK(next.ok());
            store_.write(seen, *next);
        } else if (rollout.state == RolloutState::Paused) {
            store_.write(seen, *resumeRollout(rollout, "operator", {}));
        } else if (rollout.state == RolloutState::Moving && chance(0.3)) {
            store_.write(seen, pauseRollout(rollout, "operator", "operator", {}));
        }
    }

    BundlePointer bundleOf(const std::string &version) const
    {
        for (const BundlePointer &bundle : bundles_) {
            if (bundle->version == version)
                return bundle;
        }
        return nullptr;
    }

    void advanceAll()
    {
        for (int i = 0; i < vmCount; ++i) {
            if (!vms_[i].isRunning)
                continue;
            refresh(vms_[i]);
            runTimers(vms_[i]);
            deliver(vms_[i]);
        }
        for (int i = 0; i < vmCount; ++i)
            publish(i);
        check();
    }

    // The newest revision among the voters that a VM can reach, if they are a
    // majority. A process that has ended doesn't count.
    Revision newestRevisionOfMajority(const ModelVm &to) const
    {
        Revision newest;
        int reachableVoters = 0;
        for (const ModelVm &vm : vms_) {
            if (!vm.isRunning || !vm.isVoter || vm.isCutOff != to.isCutOff)
                continue;
            ++reachableVoters;
            newest = std::max(newest, vm.installed);
        }
        return 2 * reachableVoters > vmCount ? newest : Revision();
    }

    bool isHeldByQuorum(Revision revision) const
    {
        int holding = 0;
        for (const ModelVm &vm : vms_)
            holding += !vm.isVoter || vm.installed >= revision ? 1 : 0;
        return 2 * holding >= vmCount;
    }

    // Refreshes a VM's lease from the store or, if the store is unreachable, from a
    // majority of the voters.
    void refresh(ModelVm &vm)
    {
        if (chance(0.3))
            return;
        const bool isReachable = !store_.isDown && !vm.isCutOff;
        const Revision newest = isReachable ? store_.newest() : newestRevisionOfMajority(vm);
        if (newest == Revision())
            return;
        vm.isVoter = vm.isVoter || isReachable;
        if (!isFresh(vm) && vm.refreshedAt != Instant::never())
            beginEpoch(vm);
        vm.refreshedAt = now_;
        if (vm.installed < newest)
            install(vm, newest);
    }

    void install(ModelVm &vm, Revision revision)
    {
        vm.installed = revision;
        const Rollout &rollout = store_.versions[revision.number() - 1];
        const BundlePointer inForce = bundleOf(rollout.bundle);
        const BundlePointer previous = bundleOf(rollout.previous);
        // Passes through the codec, as a real object does.
        const auto decoded = decodeRollout(encodeRollout(rollout));
        CHECK_TEXT(decoded.ok(), decoded.status().ToString().c_str());
        vm.steering->onViewChanged(inForce, previous, *decoded, {}, {}, localNow(vm));
        vm.controller->onViewChanged(inForce, previous, *decoded, revision, localNow(vm));
    }

    void runTimers(ModelVm &vm)
    {
        if (vm.installed == Revision())
            return;
        for (const char *name : regionNames) {
            const RegionId region(name);
            const bool isUp = vm.health[region].isUp;
            if (vm.wasUp[region] && !isUp)
                beginEpoch(vm);
            vm.wasUp[region] = isUp;
        }
        for (const Effect &effect : vm.steering->onTimer(localNow(vm))) {
            const auto *line = std::get_if<WriteLog>(&effect);
            if (line != nullptr && line->record.event.number == log::regionAdmitted.number)
                ++rampsTaken_;
        }
        for (const Effect &effect : vm.controller->onTimer(localNow(vm), {})) {
            if (const auto *write = std::get_if<WriteObject>(&effect))
                answerWrite(vm, *write);
            if (const auto *read = std::get_if<ReadObject>(&effect))
                answerRead(vm, *read);
        }
    }

    void answerWrite(ModelVm &vm, const WriteObject &write)
    {
        PlatformReplied reply;
        reply.call = write.call;
        const auto next = decodeRollout(write.value);
        CHECK(next.ok());
        if (store_.isDown || vm.isCutOff || chance(0.05)) {
            reply.outcome = PlatformOutcome::Unreachable;
        } else {
            const bool isDone = store_.write(write.expected, *next);
            if (isDone)
                checkStep();
            reply.outcome = isDone ? PlatformOutcome::Done : PlatformOutcome::Conflict;
            reply.object = { kind::rollout, rolloutName, store_.newest(), write.value };
        }
        if (chance(0.2)) {
            reply.outcome = PlatformOutcome::Unknown;
            ++repliesLost_;
        }
        vm.replies.push_back({ now_ + Duration::millis(pick(3000)), reply });
    }

    void answerRead(ModelVm &vm, const ReadObject &read)
    {
        PlatformReplied reply;
        reply.call = read.call;
        const bool isLost = store_.isDown || vm.isCutOff || chance(0.2);
        reply.outcome = isLost ? PlatformOutcome::Unknown : PlatformOutcome::Done;
        reply.object = { kind::rollout, rolloutName, store_.newest(), encodeRollout(current()) };
        vm.replies.push_back({ now_ + Duration::millis(pick(1000)), reply });
    }

    void deliver(ModelVm &vm)
    {
        while (!vm.replies.empty() && vm.replies.front().at <= now_) {
            vm.controller->onPlatformReplied(vm.replies.front().reply);
            vm.replies.pop_front();
        }
    }

    // Checks that no write repeats or skips a step.
    void checkStep()
    {
        const Rollout &after = current();
        const Rollout &before = store_.versions[store_.versions.size() - 2];
        CHECK_EQUAL(before.serial, after.serial);
        for (const ServiceShift &shift : after.services) {
            const int step = shift.step - before.findService(shift.service)->step;
            CHECK(step == 0 || step == 1);
            stepsTaken_ += step;
        }
    }

    void publish(int index)
    {
        const ModelVm &vm = vms_[index];
        if (!isFresh(vm) || vm.installed == Revision())
            return;
        const Rollout &rollout = store_.versions[vm.installed.number() - 1];
        for (const Service &service : bundleOf(rollout.bundle)->services) {
            for (const char *team : { "own", "other" }) {
                PublishedSplit published { index, vm.epoch, vm.epochFrom, now_, now_, {}, {} };
                const ServiceShift *shift = rollout.findService(service.id);
                published.planned = splitInForce(service, shift, TeamId(team));
                published.actual = normalised(vm.steering->weights(service, TeamId(team)));
                if (published.actual.empty())
                    continue; // every region is down, so all requests are refused
                record(service.id.text() + "/" + team, published);
            }
        }
    }

    void record(const std::string &key, const PublishedSplit &published)
    {
        std::deque<PublishedSplit> &list = published_[key];
        for (auto last = list.rbegin(); last != list.rend(); ++last) {
            if (last->vm != published.vm)
                continue;
            if (last->epoch == published.epoch
                && splitDistance(last->planned, published.planned) == 0
                && splitDistance(last->actual, published.actual) == 0) {
                last->until = now_;
                return;
            }
            break;
        }
        list.push_back(published);
    }

    // Compares the splits published now with all that were in effect within a window.
    void check()
    {
        for (const Service &service : bundles_[0]->services) {
            for (const char *team : { "own", "other" })
                checkWindow(service, published_[service.id.text() + "/" + team]);
        }
    }

    void checkWindow(const Service &service, std::deque<PublishedSplit> &list)
    {
        const Instant begin = now_ - service.shiftWindow - service.cacheTime;
        const auto hasEnded = [&](const PublishedSplit &published) {
            return published.until < begin;
        };
        list.erase(std::remove_if(list.begin(), list.end(), hasEnded), list.end());
        for (const PublishedSplit &newer : list) {
            if (newer.from != now_)
                continue;
            for (const PublishedSplit &older : list) {
                const double planned = splitDistance(older.planned, newer.planned);
                CHECK(planned <= service.shiftCapFraction + tolerance);
                if (older.vm != newer.vm || older.epoch != newer.epoch)
                    continue;
                const double actual = splitDistance(older.actual, newer.actual);
                // A step in progress when the region failed adds to the traffic that the
                // failure moves at once; no further step is taken.
                const bool failedWithin = newer.epochFrom >= begin;
                if (failedWithin && planned > 0)
                    continue;
                CHECK(actual <= service.shiftCapFraction + tolerance);
            }
        }
    }

    std::mt19937_64 random_;
    bool regionsFail_;
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::vector<BundlePointer> bundles_;
    Store store_;
    ModelVm vms_[vmCount];
    std::map<std::string, std::deque<PublishedSplit>> published_;
    bool isSettling_ = false;
    int stepsTaken_ = 0;
    int rampsTaken_ = 0;
    int repliesLost_ = 0;
};

} // namespace

TEST_GROUP(ShiftWalk) {};

TEST(ShiftWalk, NeverMovesMoreThanTheCapInAnyWindow)
{
    int steps = 0;
    int ramps = 0;
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Walk walk(seed, seed % 2 == 0);
        walk.run(3000);
        walk.settle();
        CHECK_TEXT(walk.current().state == RolloutState::Done,
                   encodeRollout(walk.current()).c_str());
        steps += walk.stepsTaken();
        ramps += walk.rampsTaken();
        lost += walk.repliesLost();
    }
    // The walk proves little unless it reaches many steps, ramps and lost replies.
    printf("\n%d steps, %d ramp steps, %d lost replies\n", steps, ramps, lost);
    CHECK(steps > 500);
    CHECK(ramps > 100);
    CHECK(lost > 100);
}
