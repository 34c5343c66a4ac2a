// A look-up goes to one VM of the list after the other until one answers.
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
    for (const Json &each : json["vms"]) {
        const bool isWhole = each.is_object() && each.contains("address")
            && each["address"].is_string() && each.contains("port") && each["port"].is_number();
        if (!isWhole)
            return {};
        VmEntry entry;
        entry.endpoint.address = each["address"];
        entry.endpoint.port = each["port"];
        if (each.contains("weight") && each["weight"].is_number())
            entry.weight = each["weight"];
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

std::vector<VmEntry> VmDirectory::fixedList() const
{
    std::vector<VmEntry> vms;
    for (const core::Endpoint &endpoint : options_.vms)
        vms.push_back({ endpoint, 1 });
    return vms;
}

void VmDirectory::find(const TeamLoad &team, const ServiceLoad &service, const Found &found)
{
    if (!options_.isLookingUp)
        return found(fixedList());
    const Key key { team.clientAddress, service.service.text() };
    Entry &entry = entries_[key];
    if (entry.validUntil > HttpLoop::Clock::now())
        return found(entry.vms);
    entry.waiting.push_back(found);
    if (entry.waiting.size() == 1)
        lookUp(key, 0);
}

void VmDirectory::lookUp(const Key &key, std::size_t attempt)
{
    if (attempt >= options_.vms.size()) {
        entries_[key].vms = fixedList();
        return finish(entries_[key]);
    }
    const core::Endpoint &vm = options_.vms[nextVm_++ % options_.vms.size()];
    HttpCall call;
    call.url = "http://" + vm.address + ":" + std::to_string(vm.port)
        + "/v1/lookup?service=" + key.second + "&client=" + key.first;
    call.timeout = options_.lookupTimeout;
    ++lookups_;
    loop_.start(std::move(call), [this, key, attempt](const HttpResult &result) {
        Duration cacheTime = Duration::seconds(1);
        const std::vector<VmEntry> vms = result.isWhole && result.status == 200
            ? parseLookup(result.body, cacheTime)
            : std::vector<VmEntry>();
        if (vms.empty())
            return lookUp(key, attempt + 1);
        Entry &entry = entries_[key];
        entry.vms = vms;
        entry.validUntil = HttpLoop::Clock::now() + std::chrono::microseconds(cacheTime.toMicros());
        finish(entry);
    });
}

void VmDirectory::finish(Entry &entry)
{
    const std::vector<Found> waiting = std::move(entry.waiting);
    entry.waiting.clear();
    const std::vector<VmEntry> vms = entry.vms;
    for (const Found &found : waiting)
        found(vms);
}

} // namespace bluebellshift::load
