// The requests that wait for a target, by service, in order of priority and then of arrival.
//
//   WaitingQueues queues;
//   queues.add(service, { priority, sequence, request });
//   for (const RequestId request : queues.first(service, 24))
//       ...                                  // try to send it
//   queues.remove(service, entry);
//   queues.recordSent(service, now);         // if it was sent to a target
//   queues.sentPerSecond(service, now);      // the rate at which the queue is served
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway::admission {

struct WaitingEntry
{
    int priority = 0;           // lower is more urgent
    std::uint64_t sequence = 0; // order of arrival
    RequestId request;

    friend bool operator<(const WaitingEntry &a, const WaitingEntry &b)
    {
        return std::tie(a.priority, a.sequence) < std::tie(b.priority, b.sequence);
    }
};

class WaitingQueues
{
public:
    static constexpr Duration rateTime = Duration::seconds(1); // time constant of the rate

    void add(const ServiceId &service, const WaitingEntry &entry);
    void remove(const ServiceId &service, const WaitingEntry &entry);
    void recordSent(const ServiceId &service, Instant now);

    std::size_t size() const { return size_; } // of all services
    std::size_t size(const ServiceId &service) const;
    std::vector<ServiceId> services() const; // for which requests wait
    std::vector<RequestId> first(const ServiceId &service, std::size_t count) const;
    // Number of waiting requests that are at least as urgent as `priority`, counted up to `limit`.
    std::size_t ahead(const ServiceId &service, int priority, std::size_t limit) const;
    double sentPerSecond(const ServiceId &service, Instant now) const;

private:
    // Requests that left the queue for a target, decaying with rateTime.
    struct Flow
    {
        double sent = 0;
        Instant at = Instant::never();
    };

    std::map<ServiceId, std::set<WaitingEntry>> entries_;
    std::unordered_map<ServiceId, Flow> flows_;
    std::size_t size_ = 0;
};

} // namespace bluebellshift::gateway::admission
