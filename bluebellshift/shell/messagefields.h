// The members of the messages between VMs, in encoding order. Private to the
// codecs.
#pragma once

#include "bluebellshift/core/message.h"
#include "bluebellshift/shell/structcodec.h"

namespace bluebellshift::shell {

template<> struct Fields<core::Credit>
{
    using T = core::Credit;
    static constexpr auto list = std::make_tuple(&T::account, &T::shareGiven, &T::tokensGiven);
};
template<> struct Fields<core::RequestedAmount>
{
    static constexpr auto list =
        std::make_tuple(&core::RequestedAmount::account, &core::RequestedAmount::share,
                        &core::RequestedAmount::tokens);
};
template<> struct Fields<core::SpareHint>
{
    static constexpr auto list =
        std::make_tuple(&core::SpareHint::account, &core::SpareHint::spareShare);
};
template<> struct Fields<core::ClosedAccount>
{
    static constexpr auto list =
        std::make_tuple(&core::ClosedAccount::account, &core::ClosedAccount::netReceived);
};
template<> struct Fields<core::Closing>
{
    static constexpr auto list = std::make_tuple(&core::Closing::vm, &core::Closing::incarnation,
                                                 &core::Closing::accounts, &core::Closing::epoch);
};
template<> struct Fields<core::Object>
{
    static constexpr auto list =
        std::make_tuple(&core::Object::kind, &core::Object::name, &core::Object::version,
                        &core::Object::value, &core::Object::deleted);
};
template<> struct Fields<core::Header>
{
    static constexpr auto list = std::make_tuple(&core::Header::name, &core::Header::value);
};
template<> struct Fields<core::Answer>
{
    static constexpr auto list =
        std::make_tuple(&core::Answer::status, &core::Answer::headers, &core::Answer::body);
};
template<> struct Fields<core::Refusal>
{
    static constexpr auto list =
        std::make_tuple(&core::Refusal::code, &core::Refusal::run, &core::Refusal::message,
                        &core::Refusal::retryAfterMillis);
};
template<> struct Fields<core::Heartbeat>
{
    using T = core::Heartbeat;
    static constexpr auto list =
        std::make_tuple(&T::sequence, &T::echoedSequence, &T::echoDelay, &T::viewRevision,
                        &T::viewAge, &T::platformFailing, &T::platformFailureAge, &T::isReady,
                        &T::isLeaving, &T::requestsInFlight, &T::credits, &T::spareHints,
                        &T::closings, &T::senderEpoch, &T::receiverEpoch, &T::suspects);
};
template<> struct Fields<core::BorrowRequest>
{
    using T = core::BorrowRequest;
    static constexpr auto list = std::make_tuple(&T::amounts, &T::number);
};
template<> struct Fields<core::TokenLoan>
{
    static constexpr auto list =
        std::make_tuple(&core::TokenLoan::account, &core::TokenLoan::tokens);
};
template<> struct Fields<core::BorrowReply>
{
    using T = core::BorrowReply;
    static constexpr auto list =
        std::make_tuple(&T::credits, &T::spareHints, &T::sequence, &T::senderEpoch,
                        &T::receiverEpoch, &T::number, &T::tokenLoans);
};
template<> struct Fields<core::ViewRequest>
{
    static constexpr auto list = std::make_tuple(&core::ViewRequest::after);
};
template<> struct Fields<core::ViewReply>
{
    using T = core::ViewReply;
    static constexpr auto list =
        std::make_tuple(&T::revision, &T::age, &T::isComplete, &T::objects);
};
template<> struct Fields<core::RelayRequest>
{
    using T = core::RelayRequest;
    static constexpr auto list =
        std::make_tuple(&T::correlation, &T::method, &T::path, &T::service, &T::team, &T::keyDigest,
                        &T::ticket, &T::headers, &T::body, &T::timeLeft);
};
template<> struct Fields<core::RelayReply>
{
    using T = core::RelayReply;
    static constexpr auto list =
        std::make_tuple(&T::correlation, &T::isAnswer, &T::answer, &T::refusal);
};
template<> struct Fields<core::RelayCancel>
{
    static constexpr auto list = std::make_tuple(&core::RelayCancel::correlation);
};

template<> struct Fields<core::TeamSpending>
{
    using T = core::TeamSpending;
    static constexpr auto list =
        std::make_tuple(&T::team, &T::arrived, &T::admitted, &T::admittedInWindow);
};
template<> struct Fields<core::SpendingReport>
{
    static constexpr auto list = std::make_tuple(&core::SpendingReport::teams);
};
template<> struct Fields<core::TeamAdmission>
{
    using T = core::TeamAdmission;
    static constexpr auto list = std::make_tuple(&T::team, &T::permille, &T::requests);
};
template<> struct Fields<core::TargetUse>
{
    static constexpr auto list =
        std::make_tuple(&core::TargetUse::target, &core::TargetUse::inFlight);
};
template<> struct Fields<core::TargetLimitReport>
{
    using T = core::TargetLimitReport;
    static constexpr auto list =
        std::make_tuple(&T::target, &T::isLimited, &T::millisPerSecond, &T::ageMillis);
};
template<> struct Fields<core::LeavingTarget>
{
    using T = core::LeavingTarget;
    static constexpr auto list = std::make_tuple(&T::target, &T::startUnixMillis, &T::ageMillis);
};
template<> struct Fields<core::VmReport>
{
    using T = core::VmReport;
    static constexpr auto list = std::make_tuple(
        &T::sequence, &T::isReady, &T::isLeaving, &T::configVersion, &T::uses, &T::readsStore,
        &T::storeAgeMillis, &T::registryRevisions, &T::isYoung, &T::admissions, &T::evacuated,
        &T::isUrgent, &T::wantsReports, &T::targetLimits, &T::leavingTargets, &T::regionRequests,
        &T::failedRequests, &T::hasNoticedFault, &T::faultAgeMillis, &T::arrivedRequests,
        &T::storeEra);
};
template<> struct Fields<core::RelayedReport>
{
    using T = core::RelayedReport;
    static constexpr auto list =
        std::make_tuple(&T::vm, &T::incarnation, &T::ageMillis, &T::report);
};
template<> struct Fields<core::RelayedReports>
{
    static constexpr auto list = std::make_tuple(&core::RelayedReports::reports);
};
template<> struct Fields<core::RelayedSpending>
{
    using T = core::RelayedSpending;
    static constexpr auto list = std::make_tuple(&T::to, &T::from, &T::incarnation, &T::spending);
};

template<> struct Fields<core::Endpoint>
{
    using T = core::Endpoint;
    static constexpr auto list = std::make_tuple(&T::address, &T::port);
};
template<> struct Fields<core::TargetEntry>
{
    using T = core::TargetEntry;
    static constexpr auto list =
        std::make_tuple(&T::id, &T::service, &T::endpoint, &T::failureDomain, &T::softwareVersion,
                        &T::slots, &T::isDraining, &T::warmupLeft, &T::startUnixMillis);
};
template<> struct Fields<core::TargetChange>
{
    using T = core::TargetChange;
    static constexpr auto list =
        std::make_tuple(&T::name, &T::revision, &T::isGone, &T::problem, &T::target);
};
template<> struct Fields<core::TargetUpdate>
{
    using T = core::TargetUpdate;
    static constexpr auto list = std::make_tuple(&T::after, &T::upTo, &T::changes, &T::era,
                                                 &T::isComplete, &T::returnAgeMillis);
};

template<> struct Fields<core::VmEntry>
{
    using T = core::VmEntry;
    static constexpr auto list = std::make_tuple(&T::id, &T::incarnation, &T::region,
                                                 &T::failureDomain, &T::callers, &T::peers);
};
template<> struct Fields<core::VmChange>
{
    using T = core::VmChange;
    static constexpr auto list = std::make_tuple(&T::name, &T::revision, &T::isGone, &T::vm);
};
template<> struct Fields<core::VmUpdate>
{
    using T = core::VmUpdate;
    static constexpr auto list =
        std::make_tuple(&T::after, &T::upTo, &T::changes, &T::era, &T::isComplete);
};

template<> struct EnumRange<core::Run>
{
    static constexpr core::Run last = core::Run::Unknown;
    static constexpr core::Run unknown = core::Run::Unknown;
};
template<> struct EnumRange<core::RefusalCode>
{
    static constexpr core::RefusalCode last = core::RefusalCode::HomeUnreachable;
    static constexpr core::RefusalCode unknown = core::RefusalCode::OutcomeUnknown;
};

} // namespace bluebellshift::shell
