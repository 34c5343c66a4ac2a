// The requests that wait for a target, by service, in order of priority and then of arrival.
//
//   WaitingQueues queues;
//   queues.add(service, { priority, sequence, request, room });
//   QueueScan scan(queues.first(service, 200), limits);
//   while (const auto request = scan.next())
//       if (!trySend(*request))
//           scan.onBlocked();
//   queues.remove(service, entry);
//   queues.recordSent(service, lane, now);    // if it was sent to a target
//   queues.sentPerSecond(service, lane, now); // the rate at which requests like it are sent
//
// A room is a set of targets: those that a request may use by its route and team.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway::admission {

struct WaitingEntry
{
    int priority = 0;           // lower is more urgent
    std::uint64_t sequence = 0; // order of arrival
    RequestId request;
    std::uint64_t room = 0;
    bool isPreferred = false; // in front of the others of its priority

    friend bool operator<(const WaitingEntry &a, const WaitingEntry &b)
    {
        return std::tie(a.priority, b.isPreferred, a.sequence)
            < std::tie(b.priority, a.isPreferred, b.sequence);
    }
};

// Requests that are served at a rate of their own: of one room and priority.
using Lane = std::pair<std::uint64_t, int>;

// The order in which waiting requests are tried when there may be room for some of them.
class QueueScan
{
public:
    struct Limits
    {
        std::size_t tried = 24;
        std::size_t blocked = 6;        // ends the scan
        std::size_t blockedPerRoom = 6; // skips the others of the same room
    };

    QueueScan(std::vector<WaitingEntry> entries, const Limits &limits);

    // The next request to try; nothing at the end.
    std::optional<RequestId> next();
    // The request that next() returned last found no target.
    void onBlocked();

private:
    const std::vector<WaitingEntry> entries_;
    const Limits limits_;
    std::size_t position_ = 0; // after the entry returned last
    std::size_t tried_ = 0;
    std::size_t blocked_ = 0;
    std::unordered_map<std::uint64_t, std::size_t> blockedByRoom_;
};

// The room of the requests that may run only in the regions that both lists allow.
std::uint64_t roomOf(const std::vector<RegionId> &routeRegions,
                     const std::vector<RegionId> *teamRegions);

class WaitingQueues
{
public:
    static constexpr Duration rateTime = Duration::seconds(1); // time constant of the rate

    void add(const ServiceId &service, const WaitingEntry &entry);
    void remove(const ServiceId &service, const WaitingEntry &entry);
    // Records a request that was sent to a target, in a lane that the caller of this class chooses.
    void recordSent(const ServiceId &service, const Lane &lane, Instant now);

    std::size_t size() const { return size_; } // of all services
    std::size_t size(const ServiceId &service) const;
    std::size_t size(const ServiceId &service, int priority) const;
    std::vector<ServiceId> services() const; // for which requests wait
    std::vector<WaitingEntry> first(const ServiceId &service, std::size_t count) const;
    // Number of waiting requests of the same room that are at least as urgent as `priority`,
    // counted up to `limit`.
    std::size_t ahead(const ServiceId &service, std::uint64_t room, int priority,
                      std::size_t limit) const;
    double sentPerSecond(const ServiceId &service, const Lane &lane, Instant now) const;
    // The same for requests that came to wait as preferred ones.
    void recordPreferred(const ServiceId &service, const Lane &lane, Instant now);
    double preferredPerSecond(const ServiceId &service, const Lane &lane, Instant now) const;

private:
    // Requests that were sent, decaying with rateTime.
    struct Flow
    {
        double sent = 0;
        Instant at = Instant::never();
    };

    std::map<ServiceId, std::set<WaitingEntry>> entries_;
    using Flows = std::map<std::pair<ServiceId, Lane>, Flow>;
    static double ratePerSecond(const Flows &flows, const ServiceId &service, const Lane &lane,
                                Instant now);

    Flows flows_;
    Flows preferredFlows_;
    std::size_t size_ = 0;
};

} // namespace bluebellshift::gateway::admission
