// State is kept by target and start time, not by registry entry: an entry may lapse and return
// while the target is still about to stop, and a response may arrive after its target's entry is
// gone or shows the next start.
//
// After a pause, requests that wait would all go to the target at once and fill it again. One
// request in each probeInterval goes there until one of them is accepted.
#include "bluebellshift/gateway/targets/targetsignals.h"

#include <algorithm>

namespace bluebellshift::gateway::targets {

TargetSignals::TargetSignals(std::function<void(core::LogRecord)> log)
    : log_(std::move(log))
{
}

void TargetSignals::onResponse(const TargetStart &target, const AttemptEnded &ended, Instant now)
{
    const bool tellsWork = ended.load && ended.load->workPercent;
    const bool isKnown = find(target) != nullptr;
    if (!isKnown && !ended.saysLeaving && !ended.pause && !tellsWork)
        return;
    Entry &entry = entryOf(target, now);
    if (ended.saysLeaving) {
        entry.leavingHeardAt = now;
        setLeaving(target, entry, "its response says so");
    }
    if (tellsWork) {
        entry.work = std::clamp(*ended.load->workPercent / 100.0, minWorkFactor, maxWorkFactor);
        entry.workAt = now;
    }
    if (ended.pause) {
        setPause(target, entry, std::min(*ended.pause, maxPause), now);
        return;
    }
    const bool takesRequests = ended.outcome == AttemptOutcome::Answered && !ended.saysNotRun;
    if (takesRequests && entry.pausedUntil != Instant::never() && now >= entry.pausedUntil) {
        entry.pausedUntil = Instant::never();
        entry.probeSentAt = Instant::never();
        log_({ core::log::targetReturned,
               { { "target", target.id.text() }, { "reason", "it served after its pause" } } });
    }
}

void TargetSignals::setLeaving(const TargetStart &target, Entry &entry, const std::string &reason)
{
    if (std::exchange(entry.isLeaving, true))
        return;
    log_({ core::log::targetLeaving, { { "target", target.id.text() }, { "reason", reason } } });
}

void TargetSignals::setPause(const TargetStart &target, Entry &entry, Duration pause, Instant now)
{
    // Responses of requests that were under way together may arrive in any order: the pause that
    // ends last holds, so that none of them is cut short.
    const bool isLonger = entry.pausedUntil == Instant::never() || now + pause > entry.pausedUntil;
    if (!isLonger)
        return;
    entry.pausedUntil = now + pause;
    entry.probeSentAt = Instant::never();
    log_({ core::log::targetPaused,
           { { "target", target.id.text() }, { "pauseMs", std::to_string(pause.toMillis()) } } });
}

void TargetSignals::onSent(const TargetStart &target, Instant now)
{
    const auto found = entries_.find(target);
    if (found != entries_.end() && found->second.pausedUntil != Instant::never())
        found->second.probeSentAt = now;
}

void TargetSignals::onReport(const TargetStart &target, Duration age, const VmId &from, Instant now)
{
    if (age > reportTime)
        return;
    setLeaving(target, entryOf(target, now), "reported by " + from.text());
}

TargetSignals::State TargetSignals::stateOf(const TargetStart &target, Instant now) const
{
    const Entry *entry = find(target);
    if (entry == nullptr)
        return State::Usable;
    if (entry->isLeaving)
        return State::Leaving;
    if (entry->pausedUntil == Instant::never())
        return State::Usable;
    const bool mayProbe = now >= entry->pausedUntil
        && (entry->probeSentAt == Instant::never() || now - entry->probeSentAt >= probeInterval);
    return mayProbe ? State::Usable : State::Paused;
}

std::optional<Instant> TargetSignals::pauseEnd(const TargetStart &target, Instant now) const
{
    if (stateOf(target, now) != State::Paused)
        return std::nullopt;
    const Entry &entry = *find(target);
    return now < entry.pausedUntil ? entry.pausedUntil : entry.probeSentAt + probeInterval;
}

// The pace is expected to change at a random moment within workAge, so that its weight falls
// linearly.
double TargetSignals::workFactor(const TargetStart &target, Instant now) const
{
    const Entry *entry = find(target);
    if (entry == nullptr || entry->workAt == Instant::never())
        return 1;
    const double age = (now - entry->workAt).toSeconds() / workAge.toSeconds();
    return 1 + (entry->work - 1) * std::clamp(1 - age, 0.0, 1.0);
}

std::vector<LeavingTarget> TargetSignals::reports(Instant now) const
{
    std::vector<LeavingTarget> reported;
    for (const auto &[target, entry] : entries_) {
        if (entry.leavingHeardAt == Instant::never() || now - entry.leavingHeardAt > reportTime)
            continue;
        const auto age = static_cast<std::uint32_t>((now - entry.leavingHeardAt).toMillis());
        reported.push_back({ hashOf(target.id), target.startUnixMillis, age });
        if (reported.size() >= maxReported)
            break;
    }
    return reported;
}

void TargetSignals::prune(Instant now)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool isPaused = entry->second.pausedUntil != Instant::never()
            && now - entry->second.pausedUntil < memory;
        if (now - entry->second.updatedAt > memory && !isPaused)
            entry = entries_.erase(entry);
        else
            ++entry;
    }
}

std::size_t TargetSignals::leavingCount() const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                  [](auto &one) { return one.second.isLeaving; }));
}

std::size_t TargetSignals::pausedCount(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](auto &one) {
        return one.second.pausedUntil != Instant::never() && now < one.second.pausedUntil;
    }));
}

const TargetSignals::Entry *TargetSignals::find(const TargetStart &target) const
{
    const auto found = entries_.find(target);
    return found == entries_.end() ? nullptr : &found->second;
}

TargetSignals::Entry &TargetSignals::entryOf(const TargetStart &target, Instant now)
{
    Entry &entry = entries_[target];
    entry.updatedAt = now;
    return entry;
}

} // namespace bluebellshift::gateway::targets
