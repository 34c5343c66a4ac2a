#include "bluebellshift/gateway/targets/servicetimes.h"

#include <algorithm>

namespace bluebellshift::gateway::targets {
namespace {

constexpr double learningRate = 0.1; // weight of one sample
constexpr double minSlowness = 0.3;
constexpr double maxSlowness = 12;
constexpr double warmResponseFraction =
    0.6; // of the usual service time; a faster response had a warm object
constexpr double maxSampleFactor = 3; // a sample counts for at most this multiple of the usual time

} // namespace

ServiceTimes::Learned ServiceTimes::learn(const std::string &route, double measuredMs,
                                          bool mayBeWarm, double &slowness)
{
    const auto [known, isNew] = routes_.emplace(route, Usual { measuredMs, 1 });
    if (isNew)
        return { true, false };
    double &usualMs = known->second.millis;
    known->second.samples = std::min(known->second.samples + 1, minSamples);
    const bool isWarm =
        mayBeWarm && measuredMs < warmResponseFraction * usualMs * effectiveSlowness(slowness);
    const double coldMs = isWarm ? measuredMs / warmFactor : measuredMs;
    // A VM that joins late sees warm responses first and underestimates the cold service time,
    // so that larger samples are learned faster.
    const double rate = isWarm ? learningRate / 10
        : coldMs > usualMs     ? learningRate * 2
                               : learningRate / 2;
    usualMs +=
        rate * (std::min(coldMs / std::max(1.0, slowness), maxSampleFactor * usualMs) - usualMs);
    slowness = std::clamp(slowness + 2 * learningRate * (coldMs / usualMs - slowness), minSlowness,
                          maxSlowness);
    return { false, isWarm };
}

void ServiceTimes::recordMean(const core::ServiceId &service, core::Duration elapsed)
{
    if (elapsed <= core::Duration())
        return;
    const double elapsedMs = elapsed.toSeconds() * 1000;
    double &meanMs = meansMs_.emplace(service, elapsedMs).first->second;
    meanMs += learningRate / 10 * (elapsedMs - meanMs);
}

double ServiceTimes::meanMillis(const core::ServiceId &service) const
{
    const auto found = meansMs_.find(service);
    return found == meansMs_.end() ? initial.toSeconds() * 1000 : found->second;
}

core::Duration ServiceTimes::expected(const std::string &route) const
{
    const auto found = routes_.find(route);
    return found == routes_.end()
        ? initial
        : core::Duration::micros(static_cast<std::int64_t>(found->second.millis * 1000));
}

bool ServiceTimes::isReliable(const std::string &route) const
{
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.samples >= minSamples;
}

double ServiceTimes::effectiveSlowness(double slowness)
{
    const bool isUsual = slowness > minUsualSlowness && slowness < maxUsualSlowness;
    return isUsual ? 1 : slowness;
}

} // namespace bluebellshift::gateway::targets
