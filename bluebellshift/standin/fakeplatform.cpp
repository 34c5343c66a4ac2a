// Maps the service's replies to outcomes as HttpPlatformClient does;
// platformcontracttest.cpp checks that both clients agree.
#include "bluebellshift/standin/fakeplatform.h"

#include <utility>

namespace bluebellshift::standin {

using core::Duration;
using core::Object;
using core::PlatformOutcome;
using core::Revision;
using platform::ReadResult;
using platform::WatchResult;
using platform::WriteResult;

namespace {

WriteResult resultOf(std::optional<StoreWriteResult> reply, const std::string &kind,
                     const std::string &name)
{
    WriteResult result;
    result.object.kind = kind;
    result.object.name = name;
    if (!reply)
        return result;
    result.outcome = reply->isDone ? PlatformOutcome::Done : PlatformOutcome::Conflict;
    result.object = std::move(reply->object);
    return result;
}

WriteResult unreachable(const std::string &kind, const std::string &name)
{
    WriteResult result;
    result.outcome = PlatformOutcome::Unreachable;
    result.object.kind = kind;
    result.object.name = name;
    return result;
}

} // namespace

FakePlatform::FakePlatform(PlatformService &service)
    : service_(service)
{
}

ReadResult FakePlatform::read(const std::string &kind, const std::string &name)
{
    ReadResult result;
    result.object.kind = kind;
    result.object.name = name;
    result.outcome = PlatformOutcome::Unreachable;
    if (!isReachable_)
        return result;
    result.outcome = PlatformOutcome::Unknown;
    const std::optional<std::optional<Object>> reply = service_.read(kind, name);
    if (!reply)
        return result;
    result.outcome = reply->has_value() ? PlatformOutcome::Done : PlatformOutcome::Missing;
    if (reply->has_value())
        result.object = **reply;
    return result;
}

WriteResult FakePlatform::write(const std::string &kind, const std::string &name, Revision expected,
                                const std::string &value)
{
    if (!isReachable_ || value.size() > platform::maxValueBytes)
        return unreachable(kind, name);
    return resultOf(service_.write(kind, name, expected, value), kind, name);
}

WriteResult FakePlatform::remove(const std::string &kind, const std::string &name,
                                 Revision expected)
{
    if (!isReachable_)
        return unreachable(kind, name);
    return resultOf(service_.remove(kind, name, expected), kind, name);
}

WatchResult FakePlatform::watch(Revision after, Duration wait)
{
    WatchResult result;
    result.outcome = PlatformOutcome::Unreachable;
    if (!isReachable_)
        return result;
    result.outcome = PlatformOutcome::Unknown;
    std::optional<WatchReply> reply = service_.watch(after, wait);
    if (!reply)
        return result;
    result.outcome = PlatformOutcome::Done;
    result.revision = reply->changes.revision;
    result.waited = Duration::millis(reply->waited.toMillis());
    result.isComplete = reply->changes.isComplete;
    result.objects = std::move(reply->changes.objects);
    return result;
}

WatchResult FakePlatform::list()
{
    WatchResult result;
    result.outcome = PlatformOutcome::Unreachable;
    if (!isReachable_)
        return result;
    result.outcome = PlatformOutcome::Unknown;
    std::optional<StoreChanges> reply = service_.list();
    if (!reply)
        return result;
    result.outcome = PlatformOutcome::Done;
    result.revision = reply->revision;
    result.isComplete = true;
    result.objects = std::move(reply->objects);
    return result;
}

} // namespace bluebellshift::standin
