#include "bluebellshift/gateway/trafficconfig.h"

#include <algorithm>
#include <cctype>

namespace bluebellshift::gateway {
namespace {

std::string normalizeHost(const std::string &host)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

template<typename Key, typename Entry>
const Entry *findIn(const std::unordered_map<Key, std::size_t> &index,
                    const std::vector<Entry> &entries, const Key &key)
{
    const auto found = index.find(key);
    return found == index.end() ? nullptr : &entries[found->second];
}

} // namespace

void TrafficConfig::index()
{
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hostIndex_[normalizeHost(hosts[i].host)] = i;
        std::stable_sort(hosts[i].rules.begin(), hosts[i].rules.end(),
                         [](const RouteRule &a, const RouteRule &b) {
                             return a.pathPrefix.size() > b.pathPrefix.size();
                         });
    }
    for (std::size_t i = 0; i < services.size(); ++i)
        serviceIndex_[services[i].id] = i;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        teamIndex_[teams[i].id] = i;
        for (const std::string &key : teams[i].keys)
            keyIndex_[key] = i;
    }
}

const RouteRule *TrafficConfig::findRoute(const std::string &host, const std::string &path) const
{
    const HostRoutes *routes = findIn(hostIndex_, hosts, normalizeHost(host));
    if (routes == nullptr)
        return nullptr;
    for (const RouteRule &rule : routes->rules) {
        if (path.compare(0, rule.pathPrefix.size(), rule.pathPrefix) == 0)
            return &rule;
    }
    return nullptr;
}

const Team *TrafficConfig::findTeamByKey(const std::string &key) const
{
    return findIn(keyIndex_, teams, key);
}

const ServicePolicy *TrafficConfig::findService(const ServiceId &service) const
{
    return findIn(serviceIndex_, services, service);
}

const Team *TrafficConfig::findTeam(const TeamId &team) const
{
    return findIn(teamIndex_, teams, team);
}

} // namespace bluebellshift::gateway
