// Random orders of restored copies, outages, cuts and restarts, while an operator and targets write
// to the store, against a slow model of what must be in force.
//
// STORE_RESTORE_SEEDS sets the number of seeds, STORE_RESTORE_FIRST the first one.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "bluebellshift/gateway/testing/storeexpectation.h"
#include "bluebellshift/gateway/testing/storefleet.h"

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr Duration walkTime = Duration::seconds(45);
constexpr Duration quietTime = Duration::seconds(13); // at the end, for the longest bound
constexpr Duration copyInterval = Duration::millis(500);
constexpr std::size_t copiesKept = 21;                     // 10 s
constexpr Duration heartbeatLoss = Duration::millis(4500); // until the store removes an entry
constexpr int probes = 8;                                  // requests at once

class RestoreWalk
{
public:
    RestoreWalk(std::size_t vmCount, std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
        , fleet_(vmCount, seed, seed % 3 == 0 ? 20 : 0)
        , vms_(vmCount)
        , endsAt_(fleet_.now() + walkTime)
    {
        for (int i = 0; i < StoreFleet::targetCount; ++i)
            targets_.push_back({ StoreFleet::target(i) });
        for (Vm &vm : vms_)
            vm.disturbedAt = fleet_.now();
    }

    // Returns what was wrong first; empty: nothing.
    std::string run()
    {
        expected_.onConfig(version_, fleet_.now() - Duration::seconds(1));
        after(pick(200, 2000), [this] { operate(); });
        after(pick(200, 2000), [this] { changeTargets(); });
        after(seed_ % 4 == 0 ? pick(0, 2500) : pick(3000, 9000), [this] { disturb(); });
        while (fleet_.now() < endsAt_ && problem_.empty()) {
            saveCopy();
            act();
            fleet_.run(FleetWalk::step);
            check();
        }
        return problem_;
    }

private:
    struct Vm
    {
        Instant disturbedAt; // its start, or the latest moment of a cut
        Instant diedAt = Instant::never();
        bool isStoreCut = false;
        std::uint64_t version = 0; // the highest in force
        std::size_t logsRead = 0;
        std::set<TargetId> unused; // that it has to know as leaving
    };
    struct Member
    {
        Target target;
        bool hasLeft = false;
        bool isJoined = true;
    };

    std::int64_t pick(std::int64_t least, std::int64_t most)
    {
        return least
            + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1));
    }
    std::size_t pickVm() { return random_() % vms_.size(); }
    StoreModel::Fault pickFault()
    {
        return random_() % 2 == 0 ? StoreModel::Fault::Refused : StoreModel::Fault::Silent;
    }
    void after(std::int64_t millis, std::function<void()> action)
    {
        agenda_.emplace(fleet_.now() + Duration::millis(millis), std::move(action));
    }
    void act()
    {
        while (!agenda_.empty() && agenda_.begin()->first <= fleet_.now()) {
            const auto action = std::move(agenda_.begin()->second);
            agenda_.erase(agenda_.begin());
            action();
        }
    }
    bool isQuiet() const { return endsAt_ - fleet_.now() < quietTime; }
    void trace(const std::string &what)
    {
        trace_ += fmt::format("{} ms {}; ", sinceStart().toMillis(), what);
    }
    Duration sinceStart() const { return walkTime - (endsAt_ - fleet_.now()); }

    void saveCopy()
    {
        if (fleet_.store().isAway(fleet_.now())
            || (!copies_.empty() && fleet_.now() - copies_.back().first < copyInterval))
            return;
        copies_.emplace_back(fleet_.now(), fleet_.store().copy());
        if (copies_.size() > copiesKept)
            copies_.erase(copies_.begin());
    }

    // The operator's and the targets' writes wait while the store is away.
    bool mustWait(const std::function<void()> &action)
    {
        if (!fleet_.store().isAway(fleet_.now()))
            return false;
        after(100, action);
        return true;
    }

    void operate()
    {
        if (mustWait([this] { operate(); }))
            return;
        if (random_() % 4 != 0) {
            fleet_.putConfig(++version_);
            expected_.onConfig(version_, fleet_.now());
        } else {
            setEvacuated(evacuated_ ? std::nullopt : std::optional(pickDomain()));
        }
        if (!isQuiet() || endsAt_ - fleet_.now() > Duration::seconds(8))
            after(pick(100, 3000), [this] { operate(); });
    }
    FailureDomainId pickDomain()
    {
        return FailureDomainId("domain-" + std::to_string(random_() % StoreFleet::domainCount));
    }
    void setEvacuated(const std::optional<FailureDomainId> &domain)
    {
        const FailureDomainId changed = domain ? *domain : *evacuated_;
        evacuated_ = domain;
        fleet_.setEvacuated(changed, domain.has_value());
        expected_.onEvacuation(changed, domain.has_value(), fleet_.now());
        if (!domain)
            returned_ = changed;
    }

    void changeTargets()
    {
        if (mustWait([this] { changeTargets(); }))
            return;
        const std::size_t i = random_() % targets_.size();
        Member &one = targets_[i];
        const bool mayGo =
            std::count_if(targets_.begin(), targets_.end(),
                          [](const Member &m) { return !m.hasLeft && !m.target.isDraining; })
            > StoreFleet::targetCount;
        if (one.hasLeft || one.target.isDraining || !mayGo) {
            targets_.push_back({ StoreFleet::target(static_cast<int>(targets_.size())) });
            fleet_.putTarget(targets_.back().target);
        } else if (random_() % 2 == 0) {
            one.target.isDraining = true;
            fleet_.putTarget(one.target);
            onLeaving(one.target);
            after(pick(3000, 8000), [this, i] { leave(i); });
        } else {
            leave(i);
        }
        if (!isQuiet() || endsAt_ - fleet_.now() > Duration::seconds(8))
            after(pick(200, 3000), [this] { changeTargets(); });
    }
    void leave(std::size_t i)
    {
        if (mustWait([this, i] { leave(i); }))
            return;
        targets_[i].hasLeft = true;
        removeEntry(i);
    }
    // The rule counts from an acknowledgement that the store gives while it is stable.
    void onLeaving(const Target &target)
    {
        expected_.onLeaving(target.id, fleet_.now(),
                            std::max(fleet_.now(), coreDisturbedAt_ + StoreFleet::contact));
    }
    void removeEntry(std::size_t i)
    {
        const Target &target = targets_[i].target;
        if (fleet_.store().has(Registry::Targets, target.id.text()))
            fleet_.removeTarget(target);
        onLeaving(target);
    }

    // Restores the copy that is closest to `age`, and writes again what others than the VMs wrote.
    void restore(Duration age)
    {
        const auto copy =
            std::min_element(copies_.begin(), copies_.end(), [&](const auto &a, const auto &b) {
                const auto distance = [&](const auto &one) {
                    return std::abs((fleet_.now() - one.first - age).toMicros());
                };
                return distance(a) < distance(b);
            });
        if (copy == copies_.end())
            return;
        const Duration away = Duration::millis(pick(40, 1000));
        const auto fault = pickFault();
        trace(fmt::format("restore of {} ms ago, away {} ms, {}",
                          (fleet_.now() - copy->first).toMillis(), away.toMillis(),
                          fault == StoreModel::Fault::Silent ? "silent" : "refused"));
        fleet_.store().restore(copy->second, fleet_.now(), away, fault);
        expected_.onRestored(copy->first);
        copies_.erase(std::next(copy), copies_.end());
        coreDisturbedAt_ = fleet_.now() + away;
        const std::int64_t awayMillis = away.toMillis() + 20;
        after(awayMillis + pick(1000, 2000), [this] { operateAgain(); });
        const std::uint64_t era = fleet_.store().era().number();
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            after(awayMillis + pick(1000, 2000), [this, i] { writeAgain(i); });
            after(awayMillis + heartbeatLoss.toMillis(), [this, i, era] {
                if (targets_[i].hasLeft && fleet_.store().era().number() == era)
                    removeEntry(i);
            });
        }
    }
    void operateAgain()
    {
        if (mustWait([this] { operateAgain(); }))
            return;
        fleet_.putConfig(version_);
        expected_.onConfig(version_, fleet_.now());
        if (evacuated_)
            setEvacuated(evacuated_);
        if (returned_ && returned_ != evacuated_) {
            fleet_.setEvacuated(*returned_, false);
            expected_.onEvacuation(*returned_, false, fleet_.now());
        }
    }
    void writeAgain(std::size_t i)
    {
        if (targets_[i].hasLeft || mustWait([this, i] { writeAgain(i); }))
            return;
        fleet_.putTarget(targets_[i].target);
        if (targets_[i].target.isDraining)
            onLeaving(targets_[i].target);
    }

    void loseStore()
    {
        const Duration away = Duration::millis(pick(300, 6000));
        trace(fmt::format("store away {} ms", away.toMillis()));
        fleet_.store().setAway(fleet_.now(), away, pickFault());
        coreDisturbedAt_ = fleet_.now() + away;
    }
    void kill(std::size_t vm, bool isNoticed)
    {
        if (!fleet_.walk().isAlive(vm))
            return;
        fleet_.walk().kill(vm, isNoticed);
        vms_[vm].diedAt = fleet_.now();
    }
    void start(std::size_t vm)
    {
        if (fleet_.walk().isAlive(vm))
            return;
        fleet_.walk().restart(vm);
        vms_[vm] = {};
        vms_[vm].disturbedAt = fleet_.now();
    }
    void restartAll(std::int64_t downMillis)
    {
        trace(fmt::format("all VMs killed for {} ms", downMillis));
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            kill(i, false);
            after(downMillis, [this, i] { start(i); });
        }
    }
    void restartOne()
    {
        const std::size_t vm = pickVm();
        const std::int64_t downMillis = pick(100, 15000);
        const bool isPlanned = random_() % 2 == 0;
        trace(fmt::format("VM {} {} for {} ms", vm, isPlanned ? "stopped" : "killed", downMillis));
        if (isPlanned && fleet_.walk().isAlive(vm)) {
            fleet_.walk().vm(vm).reduce(StopRequested { Duration::seconds(2) });
            vms_[vm].disturbedAt = endsAt_; // until it is started again
            after(1500, [this, vm] { kill(vm, true); });
            after(1500 + downMillis, [this, vm] { start(vm); });
        } else {
            kill(vm, random_() % 2 == 0);
            after(downMillis, [this, vm] { start(vm); });
        }
    }
    void cutMessages()
    {
        const std::size_t vm = pickVm();
        const std::int64_t millis = pick(500, 6000);
        trace(fmt::format("VM {} cut from the others for {} ms", vm, millis));
        fleet_.setCut(vm, true);
        after(millis, [this, vm] { fleet_.setCut(vm, false); });
    }
    void cutStore(std::size_t first, std::size_t interval)
    {
        const std::int64_t millis = pick(500, 8000);
        const auto fault = pickFault();
        trace(fmt::format("VMs {} + n * {} cut from the store for {} ms", first, interval, millis));
        for (std::size_t i = first; i < vms_.size(); i += interval) {
            setStoreCut(i, fault);
            after(millis, [this, i] { setStoreCut(i, StoreModel::Fault::None); });
        }
    }
    void setStoreCut(std::size_t vm, StoreModel::Fault fault)
    {
        vms_[vm].isStoreCut = fault != StoreModel::Fault::None;
        if (fleet_.walk().isAlive(vm))
            fleet_.setStorePath(vm, fault);
    }

    void disturb()
    {
        if (isQuiet())
            return;
        switch (random_() % 11) {
        case 0:
        case 1:
            restore(Duration::millis(pick(1000, 10000)));
            break;
        case 2:
            restore(Duration::millis(pick(1000, 10000)));
            after(pick(300, 4000), [this] { restore(Duration::millis(pick(0, 10000))); });
            break;
        case 3:
            trace("history discarded");
            fleet_.store().limitHistory(0);
            after(pick(0, 1000), [this] { restore(Duration::millis(pick(1000, 10000))); });
            after(pick(1000, 5000), [this] { fleet_.store().limitHistory(std::nullopt); });
            break;
        case 4:
            cutStore(random_() % 2, 2);
            after(pick(0, 1000), [this] { restore(Duration::millis(pick(1000, 10000))); });
            break;
        case 5:
            restartAll(pick(20, 1500));
            after(pick(0, 3000), [this] { restore(Duration::millis(pick(1000, 10000))); });
            break;
        case 6:
            restore(Duration::millis(pick(1000, 10000)));
            after(pick(0, 1500), [this] { restartAll(pick(20, 1500)); });
            break;
        case 7:
            loseStore();
            break;
        case 8:
            cutMessages();
            break;
        case 9:
            cutStore(pickVm(), vms_.size());
            break;
        default:
            restartOne();
            break;
        }
        const bool isSoon = random_() % 2 == 0;
        after(isSoon ? pick(100, 4000) : pick(7000, 11000), [this] { disturb(); });
    }

    void check()
    {
        const Instant now = fleet_.now();
        bool isCalm = now - coreDisturbedAt_ >= StoreFleet::contact + fleet_.applyBound();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            Vm &vm = vms_[i];
            if (!fleet_.walk().isAlive(i))
                continue;
            if (vm.isStoreCut || fleet_.isCut(i))
                vm.disturbedAt = std::max(vm.disturbedAt, now);
            isCalm = isCalm && now - vm.disturbedAt >= StoreFleet::contact + fleet_.applyBound();
            checkVersion(i);
            checkDropped(i);
            checkLearned(i);
        }
        const std::size_t perStep = std::max<std::size_t>(1, vms_.size() / 24);
        for (std::size_t i = 0; i < perStep; ++i)
            checkUse(nextProbed_ = (nextProbed_ + 1) % vms_.size());
        checkNames(nextProbed_);
        if (isCalm)
            checkSettled();
        const StoreModel::Rates &rates = fleet_.store().highestRates();
        if (fleet_.store().refusedByRate() > 0)
            fail(fmt::format("{} reads and {} writes in a second", rates.reads, rates.writes));
    }
    void fail(const std::string &what)
    {
        if (problem_.empty())
            problem_ = fmt::format("seed {}, {} VMs, {} ms: {} [{}]", seed_, vms_.size(),
                                   sinceStart().toMillis(), what, trace_);
    }
    bool isInTouch(std::size_t vm) const
    {
        return fleet_.now() - std::max(vms_[vm].disturbedAt, coreDisturbedAt_)
            >= StoreFleet::contact;
    }

    void checkVersion(std::size_t i)
    {
        const std::uint64_t version = fleet_.versionOf(i);
        if (version < vms_[i].version)
            fail(fmt::format("VM {} went back from {} to {}", i, vms_[i].version, version));
        vms_[i].version = std::max(version, vms_[i].version);
        const std::uint64_t oldest = expected_.oldestVersion(fleet_.applyBound(), fleet_.now());
        if (isInTouch(i) && version < oldest)
            fail(fmt::format("VM {} serves by {}, not {}", i, version, oldest));
    }
    // Targets that serve may not be dropped.
    void checkDropped(std::size_t i)
    {
        const auto &logs = fleet_.walk().vm(i).logs();
        for (; vms_[i].logsRead < logs.size(); ++vms_[i].logsRead) {
            const core::LogRecord &line = logs[vms_[i].logsRead];
            if (line.event.number != core::log::targetGone.number)
                continue;
            for (const Member &one : targets_) {
                if (!one.hasLeft && !one.target.isDraining
                    && line.fields.front().value == one.target.id.text())
                    fail(fmt::format("VM {} drops {}", i, one.target.id.text()));
            }
        }
    }
    // What a VM had time to learn, it has to know to its end.
    void checkLearned(std::size_t i)
    {
        if (!isInTouch(i))
            return;
        for (const Member &one : targets_) {
            if ((one.hasLeft || one.target.isDraining)
                && expected_.mustBeUnused(one.target.id, fleet_.applyBound(), fleet_.now()))
                vms_[i].unused.insert(one.target.id);
        }
    }
    void checkUse(std::size_t i)
    {
        if (!fleet_.walk().isAlive(i))
            return;
        const std::set<TargetId> used = fleet_.targetsUsed(i, probes);
        if (used.empty() && isInTouch(i))
            fail(fmt::format("VM {} serves nothing", i));
        for (const Member &one : targets_) {
            if (used.count(one.target.id) == 0)
                continue;
            if (vms_[i].unused.count(one.target.id) > 0)
                fail(fmt::format("VM {} uses {}, which {}", i, one.target.id.text(),
                                 one.hasLeft ? "left" : "drains"));
            if (isInTouch(i)
                && expected_.mustBeEvacuated(one.target.failureDomain, StoreFleet::evacuationBound,
                                             fleet_.now()))
                fail(fmt::format("VM {} uses {} in a domain that is evacuated", i,
                                 one.target.id.text()));
        }
    }
    void checkNames(std::size_t i)
    {
        if (!fleet_.walk().isAlive(i) || !isInTouch(i))
            return;
        for (std::size_t other = 0; other < vms_.size(); ++other) {
            if (!fleet_.walk().isAlive(other)
                && fleet_.now() - vms_[other].diedAt > StoreFleet::lookupBound
                && fleet_.walk().names(i, other))
                fail(fmt::format("VM {} names VM {}, which died", i, other));
        }
    }
    // One secret, the one that VMs held all the while, and all entries.
    void checkSettled()
    {
        const std::string stored = fleet_.storedSecret();
        bool isHeld = false;
        std::vector<Incarnation> incarnations(vms_.size());
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (!fleet_.walk().isAlive(i))
                continue;
            if (fleet_.walk().vm(i).secretHex() != stored || stored.empty())
                fail(fmt::format("VM {} holds the secret '{}', the store '{}'", i,
                                 fleet_.walk().vm(i).secretHex(), stored));
            if (!fleet_.isRegistered(i))
                fail(fmt::format("the entry of VM {} is missing", i));
            incarnations[i] = fleet_.walk().entry(i).incarnation;
            isHeld = isHeld || (!settled_.empty() && settled_[i] == incarnations[i]);
        }
        if (isHeld && stored != settledSecret_)
            fail("another secret is in use than the one that VMs held");
        settled_ = std::move(incarnations);
        settledSecret_ = stored;
    }

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    StoreFleet fleet_;
    StoreExpectation expected_;
    std::vector<Vm> vms_;
    std::vector<Member> targets_;
    std::multimap<Instant, std::function<void()>> agenda_;
    std::vector<std::pair<Instant, StoreModel::Copy>> copies_;
    const Instant endsAt_;
    Instant coreDisturbedAt_ = fleet_.now(); // or until when it will be
    std::uint64_t version_ = 1;
    std::optional<FailureDomainId> evacuated_;
    std::optional<FailureDomainId> returned_; // the latest
    std::size_t nextProbed_ = 0;
    std::vector<Incarnation> settled_; // VMs when the fleet was last settled
    std::string settledSecret_;
    std::string problem_;
    std::string trace_;
};

std::uint64_t fromEnvironment(const char *name, std::uint64_t byDefault)
{
    const char *value = std::getenv(name);
    return value != nullptr ? std::strtoull(value, nullptr, 10) : byDefault;
}

// Runs every fifth seed with the large fleet.
std::string walksWith(bool isLarge)
{
    const std::uint64_t first = fromEnvironment("STORE_RESTORE_FIRST", 1);
    const std::uint64_t count = fromEnvironment("STORE_RESTORE_SEEDS", 20);
    std::string problems;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        if ((seed % 5 == 0) != isLarge)
            continue;
        const std::string problem = RestoreWalk(isLarge ? 100 : 12, seed).run();
        if (!problem.empty())
            problems += problem + '\n';
    }
    return problems;
}

} // namespace

TEST_GROUP(StoreRestoreWalk) {};

// Guards against any order of drills and other faults after which a small fleet, in which each VM
// watches the store, breaks a bound, goes back, calls too often or ends with two secrets.
TEST(StoreRestoreWalk, SmallFleetsKeepTheBoundsThroughRandomDrills)
{
    STRCMP_EQUAL("", walksWith(/*isLarge=*/false).c_str());
}

// Guards against the same in a large fleet, in which few VMs read the store for all.
TEST(StoreRestoreWalk, LargeFleetsKeepTheBoundsThroughRandomDrills)
{
    STRCMP_EQUAL("", walksWith(/*isLarge=*/true).c_str());
}
