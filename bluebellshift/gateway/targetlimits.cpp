// Why fixed shares of a few VMs: an account with an owner costs a message for each request, and
// even shares of all VMs are too small to use. With 300 VMs and a limit of 8 a second, a VM
// would send one request in 40 s, and VMs far from the target would hold most of it. Eight
// senders, most of them in the target's region, can use what they hold.
//
// The bound holds without messages as long as the VMs agree on the senders. Where they differ for
// some seconds, as a VM joins or leaves, one or two more VMs send their share.
//
// Each operation is constant in time, but for the rank: it examines all VMs, at most once in
// rankAge for each limited target.
#include "bluebellshift/gateway/targetlimits.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

constexpr double perMille = 1000;
constexpr double minProbeRate = 0.2; // of all VMs, a second, where the limit is lower

std::string toText(const std::optional<double> &perSecond)
{
    return perSecond ? fmt::format("{:.2f}", *perSecond) : "none";
}

Duration fromSeconds(double seconds)
{
    return Duration::micros(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace

TargetHash hashOf(const TargetId &target)
{
    return static_cast<TargetHash>(hashText(target.text()));
}

TargetLimits::TargetLimits(const VmId &self, TargetLimitHooks hooks)
    : self_(self)
    , hooks_(std::move(hooks))
{
}

TargetLimits::Entry &TargetLimits::entryOf(const TargetId &target, const RegionId &region,
                                           Instant now)
{
    const auto [position, isNew] = entries_.try_emplace(target);
    Entry &entry = position->second;
    if (isNew) {
        entry.hash = hashOf(target);
        entry.region = region;
        entry.filledAt = now;
    }
    return entry;
}

void TargetLimits::onResponse(const TargetId &target, const RegionId &region,
                              std::optional<double> perSecond, Instant now)
{
    const auto found = entries_.find(target);
    if (!perSecond) {
        if (found == entries_.end())
            return;
        const Entry &known = found->second;
        if (!known.perSecond && now - known.liftedAt > reportAge) {
            entries_.erase(found); // all VMs have been told of the end
            return;
        }
    }
    Entry &entry = entryOf(target, region, now);
    entry.toldAt = now;
    entry.ownResponseAt = now;
    setLimit(target, entry, perSecond, self_, now);
}

void TargetLimits::onReport(const TargetId &target, const RegionId &region,
                            const TargetLimitReport &reported, Duration age, const VmId &from,
                            Instant now)
{
    if (!reported.isLimited && entries_.count(target) == 0)
        return;
    Entry &entry = entryOf(target, region, now);
    const Instant toldAt = now - age - Duration::millis(reported.ageMillis);
    if (entry.toldAt != Instant::never() && toldAt <= entry.toldAt)
        return;
    entry.toldAt = toldAt;
    std::optional<double> perSecond;
    if (reported.isLimited)
        perSecond = static_cast<double>(reported.millisPerSecond) / perMille;
    setLimit(target, entry, perSecond, from, now);
}

void TargetLimits::setLimit(const TargetId &target, Entry &entry, std::optional<double> perSecond,
                            const VmId &from, Instant now)
{
    entry.tokens = entry.perSecond ? tokensAt(entry, now) : 0;
    entry.filledAt = now;
    if (entry.perSecond && !perSecond)
        entry.liftedAt = now;
    entry.perSecond = perSecond;
    logChange(target, entry, from);
}

std::vector<TargetLimitReport> TargetLimits::reports(Instant now) const
{
    std::vector<TargetLimitReport> all;
    for (const auto &[target, entry] : entries_) {
        if (entry.ownResponseAt == Instant::never() || now - entry.ownResponseAt > reportAge
            || entry.ownResponseAt < entry.toldAt)
            continue;
        TargetLimitReport report;
        report.target = entry.hash;
        report.isLimited = entry.perSecond.has_value();
        report.millisPerSecond =
            static_cast<std::uint32_t>(std::min(entry.perSecond.value_or(0) * perMille, 4e9));
        report.ageMillis = static_cast<std::uint32_t>((now - entry.ownResponseAt).toMillis());
        all.push_back(report);
    }
    return all;
}

const SenderRank &TargetLimits::rankOf(const Entry &entry, Instant now) const
{
    if (entry.rankedAt == Instant::never() || now - entry.rankedAt >= rankAge) {
        entry.rank = hooks_.senderRank(entry.hash, entry.region, now);
        entry.rankedAt = now;
    }
    return entry.rank;
}

double TargetLimits::shareOf(const Entry &entry, Instant now) const
{
    const SenderRank &rank = rankOf(entry, now);
    const double vms = static_cast<double>(rank.inRegion + rank.elsewhere);
    const double wanted =
        std::max(1.0, std::min(std::floor(*entry.perSecond / minSenderRate), vms));
    const double outside = std::round(wanted * outsideFraction);
    const auto inRegion =
        static_cast<std::size_t>(std::min(wanted - outside, static_cast<double>(rank.inRegion)));
    std::size_t elsewhere = static_cast<std::size_t>(outside);
    if (rank.inRegion > 0)
        elsewhere = std::min(elsewhere, (inRegion + 1) / 2);
    else
        elsewhere = static_cast<std::size_t>(wanted);
    elsewhere = std::min(elsewhere, rank.elsewhere);
    if (rank.position >= (rank.isInRegion ? inRegion : elsewhere))
        return 0;
    return *entry.perSecond / static_cast<double>(inRegion + elsewhere);
}

double TargetLimits::tokensAt(const Entry &entry, Instant now) const
{
    const double filled = (now - entry.filledAt).toSeconds() * shareOf(entry, now);
    return std::min(maxTokens, entry.tokens + filled);
}

// VMs are tried in the order of their ranks, so that all together probe at no more than the limit.
bool TargetLimits::mayProbe(const Entry &entry, Instant now) const
{
    const SenderRank &rank = rankOf(entry, now);
    const std::size_t before = rank.position + (rank.isInRegion ? 0 : rank.inRegion);
    const double rate = std::max(minProbeRate, *entry.perSecond);
    const Duration wait = staleAge + fromSeconds(static_cast<double>(before) / rate);
    return now - entry.toldAt >= wait
        && (entry.sentAt == Instant::never() || now - entry.sentAt >= staleAge);
}

bool TargetLimits::mayConsider(const TargetId &target, Instant now) const
{
    const auto found = entries_.find(target);
    if (found == entries_.end() || !found->second.perSecond)
        return true;
    return tokensAt(found->second, now) >= 1 || mayProbe(found->second, now);
}

void TargetLimits::onSent(const TargetId &target, Instant now)
{
    const auto found = entries_.find(target);
    if (found == entries_.end())
        return;
    Entry &entry = found->second;
    entry.sentAt = now;
    if (!entry.perSecond)
        return;
    entry.tokens = std::max(0.0, tokensAt(entry, now) - 1);
    entry.filledAt = now;
}

std::optional<double> TargetLimits::limitOf(const TargetId &target) const
{
    const auto found = entries_.find(target);
    return found == entries_.end() ? std::nullopt : found->second.perSecond;
}

std::size_t TargetLimits::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

void TargetLimits::logChange(const TargetId &target, Entry &entry, const VmId &from)
{
    const std::optional<double> &logged = entry.loggedPerSecond;
    const std::optional<double> &named = entry.perSecond;
    if (logged.has_value() == named.has_value()
        && (!named || std::abs(*named - *logged) <= minLoggedChange * *logged))
        return;
    hooks_.log({ core::log::targetLimited,
                 { { "target", target.text() },
                   { "perSecond", toText(named) },
                   { "previous", toText(logged) },
                   { "from", from.text() } } });
    entry.loggedPerSecond = named;
}

} // namespace bluebellshift::gateway
