// The requests that wait for a token or a slot, fair between teams.
//
//   FairQueue queue(options.maxQueueLength);
//   if (!queue.push({ request, team, service, waitUntil }))
//       ... // this team has too many waiting
//   for (const LaneId &lane : queue.lanes())   // worst-served team first
//       if (trySend(queue.front(lane)))
//           queue.popServed(lane);
//   for (RequestId request : queue.takeExpired(now))
//       ... // refuse it
//
// A lane holds one team's requests to one service, the most urgent first, so
// that a request stopped by one service's slots stops nothing else.
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
    // Each team may have `lengthMost` requests waiting, over all its lanes.
    explicit FairQueue(std::size_t lengthMost);

    // False when the team has too many waiting.
    bool push(const QueueEntry &entry);

    // The lanes that hold requests, those of the team served least first.
    std::vector<LaneId> lanes() const;

    // The most urgent request of a lane; RequestId() when the lane is empty.
    RequestId front(const LaneId &lane) const;

    // Removes the front of a lane and counts it as served.
    void popServed(const LaneId &lane);

    // Removes a request that no longer waits. False when it did not.
    bool remove(RequestId request);

    // Puts another request in the place of one that waits.
    bool replace(RequestId waiting, RequestId other);

    // Removes and returns the requests whose time to wait is over.
    std::vector<RequestId> takeExpired(Instant now);

    // The earliest end of a wait; Instant::never() when nothing waits.
    Instant nextExpiry() const;

    // How many requests of a team wait.
    std::size_t waitingOf(const TeamId &team) const;

    std::size_t size() const { return positions_.size(); }
    bool isEmpty() const { return positions_.empty(); }

private:
    using Lane = std::multimap<Instant, RequestId>; // by the end of the wait

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

    std::size_t lengthMost_;
    std::uint64_t virtualTime_ = 0;
    std::map<LaneId, Lane> lanes_;
    std::unordered_map<TeamId, Team> teams_; // cleared whenever the queue is empty
    std::unordered_map<RequestId, Position> positions_;
};

} // namespace bluebellshift::core
