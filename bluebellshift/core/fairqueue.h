// A queue of requests that wait for a token or a slot, fair between teams.
//
//   FairQueue queue(options.maxQueueLength);
//   if (!queue.push({ request, team, service, waitUntil }))
//       ... // the team has too many waiting requests
//   for (const LaneId &lane : queue.lanes()) // least-served team first
//       if (trySend(queue.front(lane)))
//           queue.popServed(lane);
//   for (RequestId request : queue.takeExpired(now))
//       ... // refuse it
//
// A lane holds the requests of one team to one service in the order of their
// deadlines. A request that is blocked by missing slots of one service therefore
// blocks no other lane.
#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

struct QueueEntry
{
    RequestId request;
    TeamId team;
    ServiceId service;
    Instant waitUntil;
};

struct LaneId
{
    TeamId team;
    ServiceId service;

    friend bool operator<(const LaneId &a, const LaneId &b)
    {
        return a.team != b.team ? a.team < b.team : a.service < b.service;
    }
};

class FairQueue
{
public:
    // Each team may have `maxWaitingPerTeam` waiting requests over all its lanes.
    explicit FairQueue(std::size_t maxWaitingPerTeam);

    // Returns false if the team has too many waiting requests.
    bool push(const QueueEntry &entry);

    // Returns the non-empty lanes, least-served team first.
    std::vector<LaneId> lanes() const;

    // Returns the request of a lane that expires first, or RequestId() if the
    // lane is empty.
    RequestId front(const LaneId &lane) const;

    // Removes the front request of a lane and counts it as served.
    void popServed(const LaneId &lane);

    // Removes a request. Returns false if it is not in the queue.
    bool remove(RequestId request);

    // Replaces a queued request by another one at the same position. Returns
    // false if it is not in the queue.
    bool replace(RequestId waiting, RequestId other);

    // Removes and returns the requests whose wait has expired.
    std::vector<RequestId> takeExpired(Instant now);

    // Returns when the first wait expires; Instant::never() if the queue is
    // empty.
    Instant nextExpiry() const;

    // Returns the number of queued requests of a team.
    std::size_t waitingCountOf(const TeamId &team) const;

    std::size_t size() const { return positions_.size(); }
    bool isEmpty() const { return positions_.empty(); }

private:
    using Lane = std::multimap<Instant, RequestId>; // by expiry of the wait

    struct Team
    {
        std::size_t waiting = 0;
        std::uint64_t served = 0; // start tag of start-time fair queueing
    };
    struct Position
    {
        LaneId lane;
        Lane::iterator entry;
    };

    void erase(std::unordered_map<RequestId, Position>::iterator position);

    std::size_t maxWaitingPerTeam_;
    std::uint64_t virtualTime_ = 0;
    std::map<LaneId, Lane> lanes_;
    std::unordered_map<TeamId, Team> teams_; // cleared whenever the queue is empty
    std::unordered_map<RequestId, Position> positions_;
};

} // namespace bluebellshift::core
