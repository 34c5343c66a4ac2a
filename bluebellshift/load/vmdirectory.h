// Which VMs a caller sends to: a fixed list, or what look-ups say.
//
//   VmDirectory directory(options, loop);
//   directory.find(team, service, [](const std::vector<VmEntry> &vms) { ... });
//
// Answers to look-ups are kept for as long as they allow, each for one team and
// service. Belongs to the thread of its loop.
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
    bool isLookingUp = false; // else all VMs are used alike
    core::Duration lookupTimeout = core::Duration::seconds(2);
};

// Reads the reply to a look-up. Returns no VMs when it is malformed.
std::vector<VmEntry> parseLookup(const std::string &body, core::Duration &cacheTime);

class VmDirectory
{
public:
    using Found = std::function<void(const std::vector<VmEntry> &)>;

    // `loop` must outlive the directory.
    VmDirectory(VmDirectoryOptions options, HttpLoop &loop);

    // Calls `found` now or later; with the fixed list when every VM fails to
    // answer the look-up.
    void find(const TeamLoad &team, const ServiceLoad &service, const Found &found);

    std::uint64_t lookups() const { return lookups_; }

private:
    using Key = std::pair<std::string, std::string>; // client address and service

    struct Entry
    {
        std::vector<VmEntry> vms;
        HttpLoop::Clock::time_point validUntil;
        std::vector<Found> waiting; // while a look-up is under way
    };

    void lookUp(const Key &key, std::size_t attempt);
    void finish(Entry &entry);
    std::vector<VmEntry> fixedList() const;

    const VmDirectoryOptions options_;
    HttpLoop &loop_;
    std::map<Key, Entry> entries_;
    std::size_t nextVm_ = 0; // to ask first
    std::uint64_t lookups_ = 0;
};

} // namespace bluebellshift::load
