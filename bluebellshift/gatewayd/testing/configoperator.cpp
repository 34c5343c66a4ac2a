#include "bluebellshift/gatewayd/testing/configoperator.h"

namespace bluebellshift::gatewayd::testing {
namespace {

using platform::Json;

const std::string publicPaths[] = { "/a/", "/b/", "/c/", "/d/" };
const std::string keyedPath = "/keyed/";
const std::string allKeys[] = { "key-1", "key-2", "key-3" };
const std::string services[] = { "north", "south" };
constexpr std::size_t ownRoutes = 3; // of the newest versions

Json ruleFor(const std::string &path, const std::string &service)
{
    return { { "name", "r" + path },
             { "route_type", "safe" },
             { "public", path != keyedPath },
             { "target_latency_s", 1.2 },
             { "match", { { "path_prefix", path } } },
             { "action", { { "service", service }, { "timeout_s", 2 }, { "max_attempts", 2 } } } };
}

} // namespace

ConfigOperator::ConfigOperator(platform::testing::StoreStandin &store, std::uint64_t seed)
    : store_(store)
    , random_(seed)
{
}

std::string ConfigOperator::ownPath(std::uint64_t version)
{
    return "/version-" + std::to_string(version) + '/';
}

void ConfigOperator::publish()
{
    Version next;
    if (versions_.empty()) {
        next.number = 1;
        for (const std::string &path : publicPaths)
            next.serviceOf[path] = services[0];
        next.serviceOf[keyedPath] = services[0];
        next.keys.insert(std::begin(allKeys), std::end(allKeys));
    } else {
        next = versions_.back();
        next.firstAcknowledgedAt = {};
        next.number += 1 + random_() % 3; // version numbers increase in irregular increments
        change(next);
    }
    next.serviceOf[ownPath(next.number)] = services[random_() % std::size(services)];
    if (versions_.size() >= ownRoutes)
        next.serviceOf.erase(ownPath(versions_[versions_.size() - ownRoutes].number));
    write(next);
    versions_.push_back(std::move(next));
}

void ConfigOperator::change(Version &version)
{
    const std::string &path = publicPaths[random_() % std::size(publicPaths)];
    const std::string &key = allKeys[random_() % std::size(allKeys)];
    const auto route = version.serviceOf.find(path);
    switch (random_() % 3) {
    case 0:
        if (route != version.serviceOf.end()) {
            route->second = route->second == services[0] ? services[1] : services[0];
            break;
        }
        version.serviceOf[path] = services[1];
        break;
    case 1:
        if (version.serviceOf.erase(path) == 0)
            version.serviceOf[path] = services[0];
        break;
    default:
        if (version.keys.erase(key) == 0)
            version.keys.insert(key);
        break;
    }
}

void ConfigOperator::writeAgain()
{
    if (!versions_.empty())
        write(versions_.back());
}

void ConfigOperator::write(Version &version)
{
    Json rules = Json::array();
    for (const auto &[path, service] : version.serviceOf)
        rules.push_back(ruleFor(path, service));
    Json clusters = Json::array();
    for (const std::string &service : services)
        clusters.push_back(clusterOf(service));
    Json spec = { { "version", version.number },
                  { "listeners", { { { "host", "h" }, { "rules", rules } } } },
                  { "clusters", clusters },
                  { "tenants", { { { "name", "team" }, { "api_keys", version.keys } } } } };
    store_.put("config", "main", std::move(spec));
    version.acknowledgedAt = Clock::now();
    if (version.firstAcknowledgedAt == Clock::time_point())
        version.firstAcknowledgedAt = version.acknowledgedAt;
}

Json ConfigOperator::clusterOf(const std::string &service) const
{
    Json cluster = { { "name", service }, { "health_path", "/health" } };
    if (coldPerSecond_ > 0) {
        cluster["warmup_s"] = 3;
        cluster["cold_per_s"] = coldPerSecond_;
    }
    return cluster;
}

std::string ConfigOperator::randomPath(std::mt19937_64 &random) const
{
    const std::size_t fixed = std::size(publicPaths) + 1;
    const std::size_t choice = random() % (fixed + ownRoutes + 1);
    if (choice < std::size(publicPaths))
        return publicPaths[choice];
    if (choice < fixed)
        return keyedPath;
    const std::size_t back = std::min(choice - fixed, versions_.size() - 1);
    return ownPath(versions_[versions_.size() - 1 - back].number);
}

std::string ConfigOperator::randomKey(std::mt19937_64 &random)
{
    return allKeys[random() % std::size(allKeys)];
}

std::string ConfigOperator::outcomeOf(const Version &version, const std::string &path,
                                      const std::string &key)
{
    const auto route = version.serviceOf.find(path);
    if (route == version.serviceOf.end())
        return "404";
    if (path == keyedPath && version.keys.count(key) == 0)
        return "401";
    return route->second;
}

} // namespace bluebellshift::gatewayd::testing
