// Tells an outage of the store from calls that were merely cut off.
//
//   OutageDetector detector;
//   if (detector.onFailure({ beganAt, sign }, now)) ...        // the store counts as lost now
//   if (const auto returned = detector.onResponse(now)) ...    // it was lost until now
//
// After maxConsecutiveFailures without a response in between the store counts as lost, so that it
// is probed. Only if a probe fails as well, or if a call found no store in time, is it an outage:
// one in which entries may have lapsed and whose end explains what is missing.
#pragma once

#include <optional>

#include "bluebellshift/core/units.h"
#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway::store {

class OutageDetector
{
public:
    static constexpr int maxConsecutiveFailures = 2; // then the store counts as lost

    struct FailedCall
    {
        core::Instant beganAt;
        FailureSign sign = FailureSign::Ended;
    };
    struct Return
    {
        core::Duration lostTime;
        bool wasOutage = false;
    };

    // Returns whether the store counts as lost from this failure on.
    bool onFailure(const FailedCall &call, core::Instant now);
    // Returns the end of a loss, if there was one.
    std::optional<Return> onResponse(core::Instant now);

    // Whether calls fail. The store need not be away.
    bool isLost() const { return isLost_; }
    bool isOutage() const { return isLost_ && isProved_; }
    // When the latest loss began; never(): none did.
    core::Instant lostAt() const { return lostAt_; }
    // When the latest outage ended; never(): none did.
    core::Instant returnedAt() const { return returnedAt_; }
    core::Instant lastResponseAt() const { return lastResponseAt_; }
    int consecutiveFailures() const { return consecutiveFailures_; }

private:
    int consecutiveFailures_ = 0; // over all registries
    bool isLost_ = false;
    bool isProved_ = false; // since the last response
    core::Instant lostAt_ = core::Instant::never();
    core::Instant returnedAt_ = core::Instant::never();
    core::Instant lastResponseAt_ = core::Instant::never();
};

} // namespace bluebellshift::gateway::store
