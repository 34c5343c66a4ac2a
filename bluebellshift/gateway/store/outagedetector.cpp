// The store may end the connections of watches that wait, of all VMs and at one moment. Calls that
// began before such a moment say nothing of what follows it; a probe, which the store does not
// hold, does. A store that refuses calls because they are too many serves those of others.
#include "bluebellshift/gateway/store/outagedetector.h"

namespace bluebellshift::gateway::store {

bool OutageDetector::onFailure(const FailedCall &call, core::Instant now)
{
    ++consecutiveFailures_;
    const bool isProbe = isLost_ && call.beganAt >= lostAt_;
    if (call.sign == FailureSign::Unreachable || (isProbe && call.sign != FailureSign::Throttled))
        isProved_ = true;
    if (isLost_ || consecutiveFailures_ < maxConsecutiveFailures)
        return false;
    isLost_ = true;
    lostAt_ = now;
    return true;
}

std::optional<OutageDetector::Return> OutageDetector::onResponse(core::Instant now)
{
    const bool wasOutage = isOutage();
    consecutiveFailures_ = 0;
    isProved_ = false;
    lastResponseAt_ = now;
    if (!isLost_)
        return std::nullopt;
    isLost_ = false;
    if (wasOutage)
        returnedAt_ = now;
    return Return { now - lostAt_, wasOutage };
}

} // namespace bluebellshift::gateway::store
