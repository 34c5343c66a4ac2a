#include "bluebellshift/core/bundle.h"

namespace bluebellshift::core {

namespace {

// The lists are short (tens of entries) and read once per decision, so a scan is
// faster than an index that would have to be kept up to date.
template<typename Entry, typename Id>
const Entry *findById(const std::vector<Entry> &entries, Id Entry::*member, const Id &id)
{
    for (const Entry &entry : entries) {
        if (entry.*member == id)
            return &entry;
    }
    return nullptr;
}

// A prefix ends at a '/' of the path: "/turns" covers "/turns/3" but not "/turnstile".
bool covers(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    if (path.size() == prefix.size() || prefix.back() == '/')
        return true;
    return path[prefix.size()] == '/';
}

} // namespace

const Service *Bundle::findService(const ServiceId &id) const
{
    return findById(services, &Service::id, id);
}

const TeamLimit *Bundle::findTeam(const TeamId &id) const
{
    return findById(teams, &TeamLimit::team, id);
}

const Region *Bundle::findRegion(const RegionId &id) const
{
    return findById(regions, &Region::id, id);
}

const Route *findRoute(const Service &service, const std::string &path)
{
    const Route *best = nullptr;
    for (const Route &route : service.routes) {
        if (route.prefix.empty() || !covers(route.prefix, path))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

} // namespace bluebellshift::core
