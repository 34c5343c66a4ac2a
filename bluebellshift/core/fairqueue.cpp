// Start-time fair queueing over teams, earliest deadline first in each lane.
//
// Every team that waits has a tag: the service it has received, in requests. The
// lane of the lowest tag is tried first. A team that starts to wait gets the tag
// of the request served last, unless its own is higher, so a team that was idle
// neither catches up on service it never asked for nor waits behind another's
// backlog. Plain round robin over lanes was weighed: a team with requests to
// many services would get as many turns.
//
// Cost: push and remove O(log n); lanes() O(l log l) for l lanes that wait.
#include "bluebellshift/core/fairqueue.h"

#include <algorithm>

namespace bluebellshift::core {

FairQueue::FairQueue(std::size_t lengthMost)
    : lengthMost_(lengthMost)
{
}

bool FairQueue::push(const QueueEntry &entry)
{
    Team &team = teams_[entry.team];
    if (team.waiting >= lengthMost_)
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

std::size_t FairQueue::waitingOf(const TeamId &team) const
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
