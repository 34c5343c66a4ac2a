// Start-time fair queueing over teams, earliest deadline first in each lane.
//
// Each team with waiting requests has a start tag: the number of its served
// requests. The lanes of the team with the lowest tag are tried first. When an
// idle team starts to wait, its tag is raised to that of the last served request
// if it is lower. An idle team therefore neither catches up on service that it
// never requested nor waits behind the backlog of another team. Round robin over
// lanes was rejected because a team with requests to many services would get more
// turns.
//
// Cost: push and remove O(log n); lanes() O(l log l) for l non-empty lanes.
#include "bluebellshift/core/fairqueue.h"

#include <algorithm>

namespace bluebellshift::core {

FairQueue::FairQueue(std::size_t maxWaitingPerTeam)
    : maxWaitingPerTeam_(maxWaitingPerTeam)
{
}

bool FairQueue::push(const QueueEntry &entry)
{
    Team &team = teams_[entry.team];
    if (team.waiting >= maxWaitingPerTeam_)
        return false;
    if (team.waiting == 0)
        team.served = std::max(team.served, virtualTime_);
    ++team.waiting;

    const LaneId lane { entry.team, entry.service };
    const auto position = lanes_[lane].emplace(entry.waitUntil, entry.request);
    positions_[entry.request] = { lane, position };
    return true;
}

std::vector<LaneId> FairQueue::lanes() const
{
    std::vector<std::pair<std::uint64_t, const LaneId *>> tagged;
    tagged.reserve(lanes_.size());
    for (const auto &[id, lane] : lanes_)
        tagged.emplace_back(teams_.at(id.team).served, &id);
    std::stable_sort(tagged.begin(), tagged.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });

    std::vector<LaneId> ordered;
    ordered.reserve(tagged.size());
    for (const auto &[served, id] : tagged)
        ordered.push_back(*id);
    return ordered;
}

RequestId FairQueue::front(const LaneId &lane) const
{
    const auto found = lanes_.find(lane);
    return found == lanes_.end() ? RequestId() : found->second.begin()->second;
}

void FairQueue::popServed(const LaneId &lane)
{
    const auto found = lanes_.find(lane);
    if (found == lanes_.end())
        return;
    Team &team = teams_.at(lane.team);
    virtualTime_ = std::max(virtualTime_, team.served);
    ++team.served;
    erase(positions_.find(found->second.begin()->second));
}

bool FairQueue::remove(RequestId request)
{
    const auto position = positions_.find(request);
    if (position == positions_.end())
        return false;
    erase(position);
    return true;
}

bool FairQueue::replace(RequestId waiting, RequestId other)
{
    const auto found = positions_.find(waiting);
    if (found == positions_.end())
        return false;
    const Position position = found->second;
    position.entry->second = other;
    positions_.erase(found);
    positions_[other] = position;
    return true;
}

std::vector<RequestId> FairQueue::takeExpired(Instant now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, lane] : lanes_) {
        for (const auto &[waitUntil, request] : lane) {
            if (now < waitUntil)
                break;
            expired.push_back(request);
        }
    }
    for (const RequestId request : expired)
        remove(request);
    return expired;
}

Instant FairQueue::nextExpiry() const
{
    Instant earliest = Instant::never();
    for (const auto &[id, lane] : lanes_) {
        const Instant first = lane.begin()->first;
        if (earliest == Instant::never() || first < earliest)
            earliest = first;
    }
    return earliest;
}

std::size_t FairQueue::waitingCountOf(const TeamId &team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.waiting;
}

void FairQueue::erase(std::unordered_map<RequestId, Position>::iterator position)
{
    const LaneId id = position->second.lane;
    Lane &lane = lanes_.at(id);
    lane.erase(position->second.entry);
    if (lane.empty())
        lanes_.erase(id);
    positions_.erase(position);

    --teams_.at(id.team).waiting;
    if (positions_.empty())
        teams_.clear();
}

} // namespace bluebellshift::core
