#include "bluebellshift/gateway/admission/waitingqueues.h"

#include <algorithm>
#include <cmath>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::admission {

QueueScan::QueueScan(std::vector<WaitingEntry> entries, const Limits &limits)
    : entries_(std::move(entries))
    , limits_(limits)
{
}

std::optional<RequestId> QueueScan::next()
{
    if (tried_ >= limits_.tried || blocked_ >= limits_.blocked)
        return std::nullopt;
    for (; position_ < entries_.size(); ++position_) {
        const auto blocked = blockedByRoom_.find(entries_[position_].room);
        if (blocked != blockedByRoom_.end() && blocked->second >= limits_.blockedPerRoom)
            continue;
        ++tried_;
        return entries_[position_++].request;
    }
    return std::nullopt;
}

void QueueScan::onBlocked()
{
    ++blocked_;
    ++blockedByRoom_[entries_[position_ - 1].room];
}

std::uint64_t roomOf(const std::vector<RegionId> &routeRegions,
                     const std::vector<RegionId> *teamRegions)
{
    std::uint64_t room = 0;
    for (const RegionId &region : routeRegions)
        room = mixHashes(room, hashText(region.text()));
    if (teamRegions == nullptr || teamRegions->empty())
        return room;
    room = mixHashes(room, teamRegions->size());
    for (const RegionId &region : *teamRegions)
        room = mixHashes(room, hashText(region.text()));
    return room;
}

void WaitingQueues::add(const ServiceId &service, const WaitingEntry &entry)
{
    if (entries_[service].insert(entry).second)
        ++size_;
}

void WaitingQueues::remove(const ServiceId &service, const WaitingEntry &entry)
{
    const auto found = entries_.find(service);
    if (found != entries_.end() && found->second.erase(entry) > 0)
        --size_;
}

void WaitingQueues::recordSent(const ServiceId &service, const Lane &lane, Instant now)
{
    const double before = sentPerSecond(service, lane, now) * rateTime.toSeconds();
    flows_[{ service, lane }] = { before + 1, now };
}

std::size_t WaitingQueues::size(const ServiceId &service) const
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? 0 : found->second.size();
}

std::size_t WaitingQueues::size(const ServiceId &service, int priority) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const WaitingEntry &entry) { return entry.priority == priority; }));
}

std::vector<ServiceId> WaitingQueues::services() const
{
    std::vector<ServiceId> all;
    for (const auto &[service, entries] : entries_) {
        if (!entries.empty())
            all.push_back(service);
    }
    return all;
}

std::vector<WaitingEntry> WaitingQueues::first(const ServiceId &service, std::size_t count) const
{
    std::vector<WaitingEntry> first;
    const auto found = entries_.find(service);
    if (found == entries_.end())
        return first;
    for (const WaitingEntry &entry : found->second) {
        if (first.size() >= count)
            break;
        first.push_back(entry);
    }
    return first;
}

std::size_t WaitingQueues::ahead(const ServiceId &service, std::uint64_t room, int priority,
                                 std::size_t limit) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end())
        return 0;
    std::size_t ahead = 0;
    for (const WaitingEntry &entry : found->second) {
        if (entry.priority > priority || ahead >= limit)
            break;
        if (entry.room == room)
            ++ahead;
    }
    return ahead;
}

double WaitingQueues::sentPerSecond(const ServiceId &service, const Lane &lane, Instant now) const
{
    return ratePerSecond(flows_, service, lane, now);
}

void WaitingQueues::recordPreferred(const ServiceId &service, const Lane &lane, Instant now)
{
    const double before = preferredPerSecond(service, lane, now) * rateTime.toSeconds();
    preferredFlows_[{ service, lane }] = { before + 1, now };
}

double WaitingQueues::preferredPerSecond(const ServiceId &service, const Lane &lane,
                                         Instant now) const
{
    return ratePerSecond(preferredFlows_, service, lane, now);
}

double WaitingQueues::ratePerSecond(const Flows &flows, const ServiceId &service, const Lane &lane,
                                    Instant now)
{
    const auto found = flows.find({ service, lane });
    if (found == flows.end())
        return 0;
    const Flow &flow = found->second;
    return flow.sent * std::exp(-(now - flow.at).toSeconds() / rateTime.toSeconds())
        / rateTime.toSeconds();
}

} // namespace bluebellshift::gateway::admission
