// A sign is remembered rather than the fault itself: no VM can tell when a fault has ended, only
// that nothing points to one any more. The start of a VM counts as a sign: it does not know what
// was before, and after a power failure no other VM does.
#include "bluebellshift/gateway/regions/faultwatch.h"

namespace bluebellshift::gateway::regions {

const char *toText(FaultSign sign)
{
    switch (sign) {
    case FaultSign::StoreLost:
        return "store-lost";
    case FaultSign::VmStarted:
        return "vm-started";
    case FaultSign::VmLost:
        return "vm-lost";
    case FaultSign::TargetLost:
        return "target-lost";
    case FaultSign::DomainEvacuated:
        return "domain-evacuated";
    case FaultSign::RequestsFailed:
        return "requests-failed";
    }
    return "unknown";
}

FaultWatch::FaultWatch(Hooks hooks)
    : hooks_(std::move(hooks))
{
}

void FaultWatch::onSign(FaultSign sign, Instant now)
{
    const bool wasNear = isNear(now);
    ownSignAt_ = now;
    latestSignAt_ = now;
    if (!wasNear)
        hooks_.log({ core::log::faultNoticed, { { "sign", toText(sign) } } });
}

void FaultWatch::onFailure(Instant now)
{
    failures_.push_back(now);
    if (failures_.size() > maxCounted)
        failures_.pop_front();
    if (static_cast<double>(failures(now)) + hooks_.othersFailures(now) >= minFailures)
        onSign(FaultSign::RequestsFailed, now);
}

void FaultWatch::onReported(Duration age, Instant now)
{
    const Instant at = now - age;
    if (latestSignAt_ == Instant::never() || at > latestSignAt_)
        latestSignAt_ = at;
}

bool FaultWatch::isNear(Instant now) const
{
    return latestSignAt_ != Instant::never() && now - latestSignAt_ <= memory;
}

std::optional<Duration> FaultWatch::signAge(Instant now) const
{
    if (ownSignAt_ == Instant::never() || now - ownSignAt_ > memory)
        return std::nullopt;
    return now - ownSignAt_;
}

std::size_t FaultWatch::failures(Instant now) const
{
    while (!failures_.empty() && now - failures_.front() > failureWindow)
        failures_.pop_front();
    return failures_.size();
}

} // namespace bluebellshift::gateway::regions
