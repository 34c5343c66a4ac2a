#include "bluebellshift/gateway/admission/waitingqueues.h"

#include <cmath>

namespace bluebellshift::gateway::admission {

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

void WaitingQueues::recordSent(const ServiceId &service, Instant now)
{
    const double before = sentPerSecond(service, now) * rateTime.toSeconds();
    flows_[service] = { before + 1, now };
}

std::size_t WaitingQueues::size(const ServiceId &service) const
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? 0 : found->second.size();
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

std::vector<RequestId> WaitingQueues::first(const ServiceId &service, std::size_t count) const
{
    std::vector<RequestId> requests;
    const auto found = entries_.find(service);
    if (found == entries_.end())
        return requests;
    for (const WaitingEntry &entry : found->second) {
        if (requests.size() >= count)
            break;
        requests.push_back(entry.request);
    }
    return requests;
}

std::size_t WaitingQueues::ahead(const ServiceId &service, int priority, std::size_t limit) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end())
        return 0;
    std::size_t ahead = 0;
    for (const WaitingEntry &entry : found->second) {
        if (entry.priority > priority || ahead >= limit)
            break;
        ++ahead;
    }
    return ahead;
}

double WaitingQueues::sentPerSecond(const ServiceId &service, Instant now) const
{
    const auto found = flows_.find(service);
    if (found == flows_.end())
        return 0;
    const Flow &flow = found->second;
    return flow.sent * std::exp(-(now - flow.at).toSeconds() / rateTime.toSeconds())
        / rateTime.toSeconds();
}

} // namespace bluebellshift::gateway::admission
