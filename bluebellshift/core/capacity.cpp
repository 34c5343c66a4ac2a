// Demand is the sum of the full rates of all teams: the load of team T and
// service S in region R is rate(T) * traffic(S) * split(S, T, R). Callers enter
// at the VMs of their own region, in the proportions of the bundle. A link
// therefore carries the responses to callers that entered elsewhere, and the
// requests to its destination. Requests are counted with a fixed size.
//
// A limit consists of a rate and a burst. With a tenth of the capacity as burst
// and the rest as rate, no window of one second exceeds the capacity.
#include "bluebellshift/core/capacity.h"

#include <algorithm>

#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr double requestBytes = 1024; // of a request with its headers
constexpr double bitsPerByte = 8;

// Returns the demand of a region in requests a second.
double regionDemand(const Bundle &bundle, const RegionId &region, std::string *terms)
{
    double demand = 0;
    for (const Service &service : bundle.services) {
        double part = 0;
        for (const TeamLimit &team : bundle.teams)
            part += team.ratePerSecond * fractionOf(splitOf(service, team.team), region);
        part *= service.trafficFraction;
        demand += part;
        if (terms != nullptr)
            *terms +=
                fmt::format("{}{} {:.1f}", terms->empty() ? "" : " + ", service.id.text(), part);
    }
    return demand;
}

// Returns the bytes a second of one service between a region's targets and all
// callers. Multiply by the fraction of callers in another region for the load of
// a link: responses go towards the callers, requests the other way.
double serviceBytesPerSecond(const Bundle &bundle, const Service &service, const RegionId &targets,
                             double bytesPerRequest)
{
    double requests = 0;
    for (const TeamLimit &team : bundle.teams)
        requests += team.ratePerSecond * fractionOf(splitOf(service, team.team), targets);
    return requests * service.trafficFraction * bytesPerRequest;
}

double callerFractionOf(const Bundle &bundle, const RegionId &region)
{
    const Region *entry = bundle.findRegion(region);
    return entry == nullptr ? 0 : entry->callerFraction;
}

CapacityLoad regionLoad(const Bundle &bundle, const Region &region)
{
    CapacityLoad load;
    load.account = regionAccount(region.id);
    std::string terms;
    load.demand = regionDemand(bundle, region.id, &terms);
    load.limit = region.capacityPerSecond * (1 - burstFraction);
    load.arithmetic = fmt::format(
        "region \"{}\": all teams at their rates ask for {} = {:.1f} requests a second; {:.1f} can "
        "be sustained ({:.0f}% of \"capacity_per_second\" = {})",
        region.id.text(), terms, load.demand, load.limit, (1 - burstFraction) * 100,
        region.capacityPerSecond);
    return load;
}

CapacityLoad linkLoad(const Bundle &bundle, const Link &link)
{
    CapacityLoad load;
    load.account = linkAccount(link.from, link.to);
    double answers = 0;
    double requests = 0;
    for (const Service &service : bundle.services) {
        answers += serviceBytesPerSecond(bundle, service, link.from, service.answerBytes);
        requests += serviceBytesPerSecond(bundle, service, link.to, requestBytes);
    }
    answers *= bitsPerByte * callerFractionOf(bundle, link.to);
    requests *= bitsPerByte * callerFractionOf(bundle, link.from);
    load.demand = answers + requests;
    load.limit = link.bitsPerSecond * (1 - burstFraction);
    load.arithmetic = fmt::format(
        "link \"{}\" to \"{}\": all teams at their rates ask for answers {:.0f} + requests {:.0f} "
        "= {:.0f} bits a second; {:.0f} can be sustained ({:.0f}% of \"megabits_per_second\" = "
        "{})",
        link.from.text(), link.to.text(), answers, requests, load.demand, load.limit,
        (1 - burstFraction) * 100, link.bitsPerSecond / 1e6);
    return load;
}

AccountLimit capacityLimit(AccountId account, double capacityPerSecond)
{
    AccountLimit limit;
    limit.account = std::move(account);
    limit.ratePerSecond = capacityPerSecond * (1 - burstFraction);
    limit.burst = capacityPerSecond * burstFraction;
    limit.isSharedByTeams = true;
    return limit;
}

} // namespace

std::vector<CapacityLoad> capacityLoads(const Bundle &bundle)
{
    std::vector<CapacityLoad> loads;
    for (const Region &region : bundle.regions)
        loads.push_back(regionLoad(bundle, region));
    for (const Link &link : bundle.links)
        loads.push_back(linkLoad(bundle, link));
    return loads;
}

std::vector<AccountLimit> accountLimits(const Bundle &bundle)
{
    std::vector<AccountLimit> limits;
    for (const TeamLimit &team : bundle.teams)
        limits.push_back({ teamAccount(team.team), team.ratePerSecond, team.burst });
    for (const Region &region : bundle.regions)
        limits.push_back(capacityLimit(regionAccount(region.id), region.capacityPerSecond));
    for (const Link &link : bundle.links) {
        limits.push_back(capacityLimit(linkAccount(link.from, link.to), link.bitsPerSecond));
    }
    return limits;
}

const std::vector<RegionShare> &splitOf(const Service &service, const TeamId &team)
{
    for (const TeamSplit &teamSplit : service.teamSplits) {
        if (teamSplit.team == team)
            return teamSplit.split;
    }
    return service.split;
}

double fractionOf(const std::vector<RegionShare> &split, const RegionId &region)
{
    for (const RegionShare &share : split) {
        if (share.region == region)
            return share.fraction;
    }
    return 0;
}

} // namespace bluebellshift::core
