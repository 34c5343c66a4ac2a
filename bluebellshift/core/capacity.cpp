// Demand is what the teams' full rates ask for together: team T's part of
// service S in region R is rate(T) * traffic(S) * split(S, T, R). Callers enter
// at the VMs of their own region, in the proportion that the bundle states, so
// a link carries the answers to callers that entered elsewhere, and the requests
// towards them. Requests are counted with a fixed size.
//
// A limit is kept as rate and burst. With a tenth of the capacity as burst and
// the rest as rate, no window of a second holds more than the capacity.
#include "bluebellshift/core/capacity.h"

#include <algorithm>

#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr double requestBytes = 1024; // one request with its headers
constexpr double bitsPerByte = 8;

// Requests a second that a region is asked to serve.
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

// Bytes a second of one service from a region's targets to callers elsewhere,
// for each caller; the requests go the other way.
double serviceBytes(const Bundle &bundle, const Service &service, const RegionId &targets,
                    double bytesEach)
{
    double requests = 0;
    for (const TeamLimit &team : bundle.teams)
        requests += team.ratePerSecond * fractionOf(splitOf(service, team.team), targets);
    return requests * service.trafficFraction * bytesEach;
}

double callersAt(const Bundle &bundle, const RegionId &region)
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
        answers += serviceBytes(bundle, service, link.from, service.answerBytes);
        requests += serviceBytes(bundle, service, link.to, requestBytes);
    }
    answers *= bitsPerByte * callersAt(bundle, link.to);
    requests *= bitsPerByte * callersAt(bundle, link.from);
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

AccountLimit limitWithin(AccountId account, double capacityPerSecond)
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
        limits.push_back(limitWithin(regionAccount(region.id), region.capacityPerSecond));
    for (const Link &link : bundle.links) {
        limits.push_back(limitWithin(linkAccount(link.from, link.to), link.bitsPerSecond));
    }
    return limits;
}

const std::vector<RegionShare> &splitOf(const Service &service, const TeamId &team)
{
    for (const TeamSplit &own : service.teamSplits) {
        if (own.team == team)
            return own.split;
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
