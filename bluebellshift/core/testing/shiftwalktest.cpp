// A seeded random walk of several VMs' Steer and Shift over one store, with
// lagging views, clocks that differ, restarts, lost replies, outages, regions
// that fail for some VMs and return, and operators who race. After every event
// the model compares what any two VMs told their callers within one window,
// answers that callers keep included.
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

// The platform's store with one object; its history serves lagging readers.
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

// What a VM told callers of one service and team for a while.
struct Told
{
    int vm = 0;
    int epoch = 0; // new after a restart, a stale view and a region's failure
    Instant epochFrom;
    Instant from;
    Instant until; // when it began to tell something else
    Split planned; // by the roll-out alone
    Split actual;  // with failed regions and ramps
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
    bool isCutOff = false; // from the store and from all VMs that are not cut off
    Instant cutSince;
    bool isVoter = false; // this run has joined through the store
    Instant refreshedAt = Instant::never();
    Revision installed;
    int epoch = 0;
    Instant epochFrom;
    std::map<RegionId, RegionHealth> health;
    std::map<RegionId, bool> wasUp;
    std::unique_ptr<TrafficSteering> steer;
    std::unique_ptr<RolloutController> shift;
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
            disturb();
            advanceAll();
        }
    }

    // Mends everything and waits; the walk must then come to its end.
    void settle()
    {
        store_.isDown = false;
        for (int i = 0; i < vmCount; ++i) {
            vms_[i].isCutOff = false;
            vms_[i].health.clear();
            if (!vms_[i].isRunning)
                restart(i);
        }
        isCalm_ = true;
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
    int anyOf(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }

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
        TrafficSteeringHooks steerHooks;
        steerHooks.regionHealth = [&vm](const RegionId &region) { return vm.health[region]; };
        vm.steer = std::make_unique<TrafficSteering>(options, steerHooks);
        RolloutControllerHooks hooks;
        hooks.isInForceEverywhere = [this](Revision revision, Instant) {
            return !chance(0.3) && isInForceEverywhere(revision);
        };
        hooks.isHeldByQuorum = [this](Revision revision) { return isHeldByQuorum(revision); };
        hooks.unhealthyReason = [this](Instant) {
            return !isCalm_ && chance(0.002) ? std::optional<std::string>("slow") : std::nullopt;
        };
        hooks.unsettledRegions = [&vm]() { return vm.steer->unsettledRegions(); };
        hooks.rank = [this](Revision) { return anyOf(3); };
        hooks.newCall = [&vm]() { return CallId(++vm.calls); };
        vm.shift = std::make_unique<RolloutController>(options, hooks);
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

    // As a VM that is not cut off sees it: who is not heard for a lease may have
    // lapsed, or may not.
    bool isInForceEverywhere(Revision revision) const
    {
        for (const ModelVm &vm : vms_) {
            const bool isUnheard = vm.isCutOff && now_ - vm.cutSince > lease;
            if (isFresh(vm) && vm.installed < revision && !isUnheard)
                return false;
        }
        return true;
    }

    void disturb()
    {
        const int index = anyOf(vmCount);
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
            mendRegions();
        if (chance(0.01))
            operate();
    }

    void failRegion()
    {
        const RegionId region(regionNames[anyOf(3)]);
        const bool forAll = chance(0.5);
        for (ModelVm &vm : vms_) {
            if (forAll || chance(0.3))
                vm.health[region].isUp = false;
        }
    }

    void mendRegions()
    {
        for (ModelVm &vm : vms_) {
            for (auto &item : vm.health)
                item.second = { true, chance(0.5) ? 1 : 0.3 };
        }
    }

    // An operator acts on what it read, perhaps a while ago.
    void operate()
    {
        const std::size_t back = std::min<std::size_t>(anyOf(3), store_.versions.size() - 1);
        const Revision seen(store_.versions.size() - back);
        const Rollout &rollout = store_.versions[seen.number() - 1];
        if (chance(0.4)) {
            const auto next = beginRollout(rollout, *bundleOf(rollout.bundle), *bundles_[anyOf(4)],
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
            timer(vms_[i]);
            deliver(vms_[i]);
        }
        for (int i = 0; i < vmCount; ++i)
            tell(i);
        check();
    }

    // The newest revision among those whom a VM hears, if more than half of the
    // voters are; a run that ended speaks no more.
    Revision wordOfMajority(const ModelVm &to) const
    {
        Revision newest;
        int speaking = 0;
        for (const ModelVm &vm : vms_) {
            if (!vm.isRunning || !vm.isVoter || vm.isCutOff != to.isCutOff)
                continue;
            ++speaking;
            newest = std::max(newest, vm.installed);
        }
        return 2 * speaking > vmCount ? newest : Revision();
    }

    bool isHeldByQuorum(Revision revision) const
    {
        int holding = 0;
        for (const ModelVm &vm : vms_)
            holding += !vm.isVoter || vm.installed >= revision ? 1 : 0;
        return 2 * holding >= vmCount;
    }

    // A VM is fresh when it has just heard from the store, or, when it can't reach
    // the store, by the word of a majority.
    void refresh(ModelVm &vm)
    {
        if (chance(0.3))
            return;
        const bool isReachable = !store_.isDown && !vm.isCutOff;
        const Revision newest = isReachable ? store_.newest() : wordOfMajority(vm);
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
        // Through the codec, as the object would come.
        const auto decoded = decodeRollout(encodeRollout(rollout));
        CHECK_TEXT(decoded.ok(), decoded.status().ToString().c_str());
        vm.steer->onViewChanged(inForce, previous, *decoded, {}, {}, localNow(vm));
        vm.shift->onViewChanged(inForce, previous, *decoded, revision, localNow(vm));
    }

    void timer(ModelVm &vm)
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
        for (const Effect &effect : vm.steer->onTimer(localNow(vm))) {
            const auto *line = std::get_if<WriteLog>(&effect);
            if (line != nullptr && line->record.event.number == log::regionAdmitted.number)
                ++rampsTaken_;
        }
        for (const Effect &effect : vm.shift->onTimer(localNow(vm), {})) {
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
        vm.replies.push_back({ now_ + Duration::millis(anyOf(3000)), reply });
    }

    void answerRead(ModelVm &vm, const ReadObject &read)
    {
        PlatformReplied reply;
        reply.call = read.call;
        const bool isLost = store_.isDown || vm.isCutOff || chance(0.2);
        reply.outcome = isLost ? PlatformOutcome::Unknown : PlatformOutcome::Done;
        reply.object = { kind::rollout, rolloutName, store_.newest(), encodeRollout(current()) };
        vm.replies.push_back({ now_ + Duration::millis(anyOf(1000)), reply });
    }

    void deliver(ModelVm &vm)
    {
        while (!vm.replies.empty() && vm.replies.front().at <= now_) {
            vm.shift->onPlatformReplied(vm.replies.front().reply);
            vm.replies.pop_front();
        }
    }

    // No VM's write repeats or skips a step.
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

    void tell(int index)
    {
        const ModelVm &vm = vms_[index];
        if (!isFresh(vm) || vm.installed == Revision())
            return;
        const Rollout &rollout = store_.versions[vm.installed.number() - 1];
        for (const Service &service : bundleOf(rollout.bundle)->services) {
            for (const char *team : { "own", "other" }) {
                Told told { index, vm.epoch, vm.epochFrom, now_, now_, {}, {} };
                const ServiceShift *shift = rollout.findService(service.id);
                told.planned = splitInForce(service, shift, TeamId(team));
                told.actual = normalised(vm.steer->weights(service, TeamId(team)));
                if (told.actual.empty())
                    continue; // every region is down: all requests are refused
                remember(service.id.text() + "/" + team, told);
            }
        }
    }

    void remember(const std::string &key, const Told &told)
    {
        std::deque<Told> &list = told_[key];
        for (auto last = list.rbegin(); last != list.rend(); ++last) {
            if (last->vm != told.vm)
                continue;
            if (last->epoch == told.epoch && splitDistance(last->planned, told.planned) == 0
                && splitDistance(last->actual, told.actual) == 0) {
                last->until = now_;
                return;
            }
            break;
        }
        list.push_back(told);
    }

    // Whatever is told now, against whatever could still be in effect a window ago.
    void check()
    {
        for (const Service &service : bundles_[0]->services) {
            for (const char *team : { "own", "other" })
                checkWindow(service, told_[service.id.text() + "/" + team]);
        }
    }

    void checkWindow(const Service &service, std::deque<Told> &list)
    {
        const Instant begin = now_ - service.shiftWindow - service.cacheTime;
        const auto isOver = [&](const Told &told) { return told.until < begin; };
        list.erase(std::remove_if(list.begin(), list.end(), isOver), list.end());
        for (const Told &newer : list) {
            if (newer.from != now_)
                continue;
            for (const Told &older : list) {
                const double planned = splitDistance(older.planned, newer.planned);
                CHECK(planned <= service.shiftCapFraction + tolerance);
                if (older.vm != newer.vm || older.epoch != newer.epoch)
                    continue;
                const double actual = splitDistance(older.actual, newer.actual);
                // A step that was under way when the region failed adds to what the
                // failure moves at once; no further one is taken.
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
    std::map<std::string, std::deque<Told>> told_;
    bool isCalm_ = false;
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
    // The walk is of no use unless it gets somewhere.
    printf("\n%d steps, %d ramp steps, %d lost replies\n", steps, ramps, lost);
    CHECK(steps > 500);
    CHECK(ramps > 100);
    CHECK(lost > 100);
}
