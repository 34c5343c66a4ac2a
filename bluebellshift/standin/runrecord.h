// Counts how often the requests of each ticket and each caller ran, over all
// targets of one process.
//
//   RunRecord runs;
//   runs.add("ticket-1", "caller-7");
//   runs.repeated(); // tickets whose requests ran more than once
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bluebellshift::standin {

class RunRecord
{
public:
    using Counts = std::map<std::string, std::uint32_t>;

    // Counts one run. An empty ticket or caller counts in the total only.
    void add(const std::string &ticket, const std::string &caller);

    std::uint64_t total() const;
    Counts byTicket() const;
    Counts byCaller() const;
    Counts repeated() const;

private:
    mutable std::mutex mutex_;
    std::uint64_t total_ = 0;
    Counts byTicket_;
    Counts byCaller_;
};

} // namespace bluebellshift::standin
