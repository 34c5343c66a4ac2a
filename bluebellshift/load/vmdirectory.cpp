// A look-up tries the VMs of the list in turn until one replies.
#include "bluebellshift/load/vmdirectory.h"

#include <nlohmann/json.hpp>

namespace bluebellshift::load {

using core::Duration;
using Json = nlohmann::json;

std::vector<VmEntry> parseLookup(const std::string &body, Duration &cacheTime)
{
    std::vector<VmEntry> vms;
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array())
        return vms;
    for (const Json &item : json["vms"]) {
        const bool isComplete = item.is_object() && item.contains("address")
            && item["address"].is_string() && item.contains("port") && item["port"].is_number();
        if (!isComplete)
            return {};
        VmEntry entry;
        entry.endpoint.address = item["address"];
        entry.endpoint.port = item["port"];
        if (item.contains("weight") && item["weight"].is_number())
            entry.weight = item["weight"];
        vms.push_back(entry);
    }
    if (json.contains("cache_ms") && json["cache_ms"].is_number())
        cacheTime = Duration::millis(json["cache_ms"]);
    return vms;
}

VmDirectory::VmDirectory(VmDirectoryOptions options, HttpLoop &loop)
    : options_(std::move(options))
    , loop_(loop)
{
}

std::vector<VmEntry> VmDirectory::staticVms() const
{
    std::vector<VmEntry> vms;
    for (const core::Endpoint &endpoint : options_.vms)
        vms.push_back({ endpoint, 1 });
    return vms;
}

void VmDirectory::find(const TeamLoad &team, const ServiceLoad &service, const VmsHandler &handler)
{
    if (!options_.usesLookup)
        return handler(staticVms());
    const Key key { team.clientAddress, service.service.text() };
    Entry &entry = entries_[key];
    if (entry.validUntil > HttpLoop::Clock::now())
        return handler(entry.vms);
    entry.waiters.push_back(handler);
    if (entry.waiters.size() == 1)
        lookUp(key, 0);
}

void VmDirectory::lookUp(const Key &key, std::size_t attempt)
{
    if (attempt >= options_.vms.size()) {
        entries_[key].vms = staticVms();
        return notifyWaiters(entries_[key]);
    }
    const core::Endpoint &vm = options_.vms[nextVm_++ % options_.vms.size()];
    HttpCall call;
    call.url = "http://" + vm.address + ":" + std::to_string(vm.port)
        + "/v1/lookup?service=" + key.second + "&client=" + key.first;
    call.timeout = options_.lookupTimeout;
    ++lookups_;
    loop_.start(std::move(call), [this, key, attempt](const HttpResult &result) {
        Duration cacheTime = Duration::seconds(1);
        const std::vector<VmEntry> vms = result.isComplete && result.status == 200
            ? parseLookup(result.body, cacheTime)
            : std::vector<VmEntry>();
        if (vms.empty())
            return lookUp(key, attempt + 1);
        Entry &entry = entries_[key];
        entry.vms = vms;
        entry.validUntil = HttpLoop::Clock::now() + std::chrono::microseconds(cacheTime.toMicros());
        notifyWaiters(entry);
    });
}

void VmDirectory::notifyWaiters(Entry &entry)
{
    const std::vector<VmsHandler> waiters = std::move(entry.waiters);
    entry.waiters.clear();
    const std::vector<VmEntry> vms = entry.vms;
    for (const VmsHandler &handler : waiters)
        handler(vms);
}

} // namespace bluebellshift::load
