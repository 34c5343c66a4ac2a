// Maps guarded by a mutex. An entry takes about 100 bytes: 100,000 tickets take
// 10 MB.
#include "bluebellshift/standin/runrecord.h"

namespace bluebellshift::standin {

void RunRecord::add(const std::string &ticket, const std::string &caller)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++total_;
    if (!ticket.empty())
        ++byTicket_[ticket];
    if (!caller.empty())
        ++byCaller_[caller];
}

std::uint64_t RunRecord::total() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return total_;
}

RunRecord::Counts RunRecord::byTicket() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return byTicket_;
}

RunRecord::Counts RunRecord::byCaller() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return byCaller_;
}

RunRecord::Counts RunRecord::repeated() const
{
    Counts repeated;
    for (const auto &[ticket, count] : byTicket()) {
        if (count > 1)
            repeated[ticket] = count;
    }
    return repeated;
}

} // namespace bluebellshift::standin
