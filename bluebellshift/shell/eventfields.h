// The members of events, effects and options, in encoding order. Private to the
// recorder.
#pragma once

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/shell/messagefields.h"

namespace bluebellshift::shell {

// Encodes times as microseconds.
template<typename T> struct MicrosCodec
{
    static json encode(const T &time) { return time.toMicros(); }
    static bool decode(const json &value, T *time)
    {
        std::int64_t micros = 0;
        if (!fromJson(value, &micros))
            return false;
        *time = T::fromMicros(micros);
        return true;
    }
};

template<> struct Codec<core::Instant> : MicrosCodec<core::Instant>
{
};
template<> struct Codec<core::WallTime> : MicrosCodec<core::WallTime>
{
};
template<> struct Codec<core::AnswerPointer>
{
    static json encode(const core::AnswerPointer &answer)
    {
        return answer == nullptr ? json() : toJson(*answer);
    }
    static bool decode(const json &value, core::AnswerPointer *answer)
    {
        if (value.is_null())
            return true;
        core::Answer decoded;
        if (!fromJson(value, &decoded))
            return false;
        *answer = std::make_shared<const core::Answer>(std::move(decoded));
        return true;
    }
};

// Effects are only compared in encoded form, so the codecs below have no decoder.
template<> struct Codec<core::LogRecord>
{
    static json encode(const core::LogRecord &record)
    {
        json array = json::array({ record.event.number });
        for (const core::LogField &field : record.fields) {
            array.push_back(toJson(std::string(field.name)));
            array.push_back(toJson(field.value));
        }
        return array;
    }
};
template<> struct Codec<std::shared_ptr<const core::SteeringSnapshot>>
{
    static json encode(const std::shared_ptr<const core::SteeringSnapshot> &snapshot)
    {
        return snapshot != nullptr;
    }
};

template<> struct EnumRange<core::PlatformOutcome>
{
    static constexpr core::PlatformOutcome last = core::PlatformOutcome::Unreachable;
    static constexpr core::PlatformOutcome unknown = core::PlatformOutcome::Unknown;
};
template<> struct EnumRange<core::AttemptOutcome>
{
    static constexpr core::AttemptOutcome last = core::AttemptOutcome::Cancelled;
    static constexpr core::AttemptOutcome unknown = core::AttemptOutcome::Cut;
};

template<> struct Fields<core::Vm>
{
    using T = core::Vm;
    static constexpr auto list = std::make_tuple(&T::id, &T::region, &T::failureDomain, &T::callers,
                                                 &T::peers, &T::isLeaving);
};
template<> struct Fields<core::TimerFired>
{
    using T = core::TimerFired;
    static constexpr auto list = std::make_tuple();
};
template<> struct Fields<core::PlatformChanged>
{
    using T = core::PlatformChanged;
    static constexpr auto list =
        std::make_tuple(&T::after, &T::revision, &T::asOf, &T::isComplete, &T::objects);
};
template<> struct Fields<core::PlatformFailed>
{
    using T = core::PlatformFailed;
    static constexpr auto list = std::make_tuple(&T::begunAt);
};
template<> struct Fields<core::PlatformReplied>
{
    using T = core::PlatformReplied;
    static constexpr auto list = std::make_tuple(&T::call, &T::outcome, &T::object);
};
template<> struct Fields<core::PeerMessageReceived>
{
    using T = core::PeerMessageReceived;
    static constexpr auto list = std::make_tuple(&T::from, &T::incarnation, &T::message);
};
template<> struct Fields<core::PeerLost>
{
    using T = core::PeerLost;
    static constexpr auto list = std::make_tuple(&T::vm);
};
template<> struct Fields<core::RequestArrived>
{
    using T = core::RequestArrived;
    static constexpr auto list =
        std::make_tuple(&T::request, &T::service, &T::method, &T::path, &T::hasKey, &T::keyDigest,
                        &T::ticket, &T::idempotencyKey, &T::timeLeft, &T::clientAddress,
                        &T::bodyBytes, &T::contentDigest, &T::relayedBy, &T::relayCorrelation);
};
template<> struct Fields<core::TicketRequested>
{
    using T = core::TicketRequested;
    static constexpr auto list =
        std::make_tuple(&T::request, &T::service, &T::hasKey, &T::keyDigest);
};
template<> struct Fields<core::CallerGone>
{
    using T = core::CallerGone;
    static constexpr auto list = std::make_tuple(&T::request);
};
template<> struct Fields<core::RelayFailed>
{
    using T = core::RelayFailed;
    static constexpr auto list = std::make_tuple(&T::request);
};
template<> struct Fields<core::AttemptEnded>
{
    using T = core::AttemptEnded;
    static constexpr auto list =
        std::make_tuple(&T::request, &T::attempt, &T::outcome, &T::answer, &T::reportedBusySlots,
                        &T::answerBegun, &T::targetLeaving);
};
template<> struct Fields<core::ProbeEnded>
{
    using T = core::ProbeEnded;
    static constexpr auto list =
        std::make_tuple(&T::target, &T::isHealthy, &T::isLeaving, &T::reportedBusySlots);
};
template<> struct Fields<core::ChangeRequested>
{
    using T = core::ChangeRequested;
    static constexpr auto list = std::make_tuple(&T::request, &T::by, &T::kind, &T::name,
                                                 &T::expected, &T::value, &T::summary, &T::at);
};
template<> struct Fields<core::ObjectsRequested>
{
    using T = core::ObjectsRequested;
    static constexpr auto list = std::make_tuple(&T::request, &T::kind, &T::name);
};
template<> struct Fields<core::StatusRequested>
{
    using T = core::StatusRequested;
    static constexpr auto list = std::make_tuple(&T::request);
};
template<> struct Fields<core::ShutdownRequested>
{
    using T = core::ShutdownRequested;
    static constexpr auto list = std::make_tuple();
};
template<> struct Fields<core::SetTimer>
{
    using T = core::SetTimer;
    static constexpr auto list = std::make_tuple(&T::at);
};
template<> struct Fields<core::SendPeer>
{
    using T = core::SendPeer;
    static constexpr auto list = std::make_tuple(&T::to, &T::message);
};
template<> struct Fields<core::WatchObjects>
{
    using T = core::WatchObjects;
    static constexpr auto list = std::make_tuple(&T::after, &T::wait);
};
template<> struct Fields<core::ReadObject>
{
    using T = core::ReadObject;
    static constexpr auto list = std::make_tuple(&T::call, &T::kind, &T::name);
};
template<> struct Fields<core::WriteObject>
{
    using T = core::WriteObject;
    static constexpr auto list =
        std::make_tuple(&T::call, &T::kind, &T::name, &T::expected, &T::value);
};
template<> struct Fields<core::ForwardRequest>
{
    using T = core::ForwardRequest;
    static constexpr auto list =
        std::make_tuple(&T::request, &T::attempt, &T::target, &T::endpoint, &T::validUntil,
                        &T::deadline, &T::mayReuseConnection);
};
template<> struct Fields<core::CancelForward>
{
    using T = core::CancelForward;
    static constexpr auto list = std::make_tuple(&T::request);
};
template<> struct Fields<core::RelayToHome>
{
    using T = core::RelayToHome;
    static constexpr auto list = std::make_tuple(&T::request, &T::home, &T::team, &T::deadline);
};
template<> struct Fields<core::AnswerCaller>
{
    using T = core::AnswerCaller;
    static constexpr auto list = std::make_tuple(&T::request, &T::answer);
};
template<> struct Fields<core::RefuseCaller>
{
    using T = core::RefuseCaller;
    static constexpr auto list = std::make_tuple(&T::request, &T::refusal);
};
template<> struct Fields<core::IssueTicket>
{
    using T = core::IssueTicket;
    static constexpr auto list = std::make_tuple(&T::request, &T::ticket, &T::validFor);
};
template<> struct Fields<core::ChangeEnded>
{
    using T = core::ChangeEnded;
    static constexpr auto list = std::make_tuple(&T::request, &T::outcome, &T::object);
};
template<> struct Fields<core::ObjectsReturned>
{
    using T = core::ObjectsReturned;
    static constexpr auto list = std::make_tuple(&T::request, &T::objects);
};
template<> struct Fields<core::PeerReport>
{
    using T = core::PeerReport;
    static constexpr auto list =
        std::make_tuple(&T::vm, &T::viewRevision, &T::isAlive, &T::isReady, &T::isLeaving, &T::age);
};
template<> struct Fields<core::StatusReturned>
{
    using T = core::StatusReturned;
    static constexpr auto list = std::make_tuple(&T::request, &T::vm, &T::viewRevision, &T::isFresh,
                                                 &T::isReady, &T::reason, &T::bundle, &T::peers);
};
template<> struct Fields<core::ProbeTarget>
{
    using T = core::ProbeTarget;
    static constexpr auto list = std::make_tuple(&T::target, &T::endpoint);
};
template<> struct Fields<core::PublishSnapshot>
{
    using T = core::PublishSnapshot;
    static constexpr auto list = std::make_tuple(&T::snapshot);
};
template<> struct Fields<core::SetPeers>
{
    using T = core::SetPeers;
    static constexpr auto list = std::make_tuple(&T::peers);
};
template<> struct Fields<core::SetReady>
{
    using T = core::SetReady;
    static constexpr auto list = std::make_tuple(&T::isReady, &T::reason, &T::validUntil);
};
template<> struct Fields<core::WriteLog>
{
    using T = core::WriteLog;
    static constexpr auto list = std::make_tuple(&T::record);
};
template<> struct Fields<core::Exit>
{
    using T = core::Exit;
    static constexpr auto list = std::make_tuple(&T::requestsCut);
};
template<> struct Fields<core::CoreOptions>
{
    using T = core::CoreOptions;
    static constexpr auto list = std::make_tuple(
        &T::vm, &T::incarnation, &T::region, &T::failureDomain, &T::ticketSecret, &T::seeds,
        &T::freshnessLease, &T::watchWait, &T::watchTimeout, &T::maxWatchRetryDelay,
        &T::heartbeatInterval, &T::suspicionTimeout, &T::initialPlatformRetryDelay,
        &T::maxPlatformRetryDelay, &T::clockDrift, &T::maxQueueWait, &T::maxQueueLength,
        &T::ticketValidFor, &T::maxRecordBytes, &T::maxAnswerBytes, &T::maxRetryRatio,
        &T::maxAttempts, &T::maxShutdownTime);
};

} // namespace bluebellshift::shell
