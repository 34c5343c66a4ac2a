// Determines the VMs that callers send to: a static list or the results of look-ups.
//
//   VmDirectory directory(options, loop);
//   directory.find(team, service, [](const std::vector<VmEntry> &vms) { ... });
//
// Look-up replies are cached by client address and service for their cache time. Must
// be used only from the thread of its loop.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bluebellshift/core/roster.h"
#include "bluebellshift/load/httploop.h"
#include "bluebellshift/load/schedule.h"

namespace bluebellshift::load {

struct VmEntry
{
    core::Endpoint endpoint;
    double weight = 1;
};

struct VmDirectoryOptions
{
    std::vector<core::Endpoint> vms;
    bool usesLookup = false; // otherwise all VMs are used equally
    core::Duration lookupTimeout = core::Duration::seconds(2);
};

// Parses the reply to a look-up. Returns no VMs if it is malformed.
std::vector<VmEntry> parseLookup(const std::string &body, core::Duration &cacheTime);

class VmDirectory
{
public:
    using VmsHandler = std::function<void(const std::vector<VmEntry> &)>;

    // `loop` must outlive the directory.
    VmDirectory(VmDirectoryOptions options, HttpLoop &loop);

    // Calls `handler` synchronously or later. Falls back to the static list if no VM
    // replies to the look-up.
    void find(const TeamLoad &team, const ServiceLoad &service, const VmsHandler &handler);

    std::uint64_t lookups() const { return lookups_; }

private:
    using Key = std::pair<std::string, std::string>; // client address and service

    struct Entry
    {
        std::vector<VmEntry> vms;
        HttpLoop::Clock::time_point validUntil;
        std::vector<VmsHandler> waiters; // for the look-up in progress
    };

    void lookUp(const Key &key, std::size_t attempt);
    void notifyWaiters(Entry &entry);
    std::vector<VmEntry> staticVms() const;

    const VmDirectoryOptions options_;
    HttpLoop &loop_;
    std::map<Key, Entry> entries_;
    std::size_t nextVm_ = 0; // of the next look-up
    std::uint64_t lookups_ = 0;
};

} // namespace bluebellshift::load
