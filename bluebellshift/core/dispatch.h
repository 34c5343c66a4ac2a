// Handles each request from its arrival to its one answer or refusal.
//
//   Dispatch dispatch(options, hooks);
//   Effects effects = dispatch.onRequest(arrived, now, random);
//   ... // ForwardRequest { request, attempt, target, ... }
//   effects = dispatch.onAttemptEnded(ended, now);
//   ... // AnswerCaller { request, answer }
//
// Each RequestId given to onRequest() or onTicketAsked() is ended by exactly one
// AnswerCaller, RefuseCaller or IssueTicket, even if its caller has disconnected:
// the shell keeps the body of a request until then. The `run` of a refusal covers
// the whole history of the request's ticket. "Not run" is final: the ticket can't
// be used any more.
//
// A relayed request arrives as RequestArrived with `relayedBy` set and ends like
// any other; the reducer turns its end into a RelayReply. For a request that this
// VM has relayed, CancelForward means that RelayCancel is sent to the home.
//
// The class has no clock and no random source; both are passed with each call.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellshift/core/admission.h"
#include "bluebellshift/core/atmostoncetable.h"
#include "bluebellshift/core/drain.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/fairqueue.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/retrybudget.h"
#include "bluebellshift/core/targetchooser.h"
#include "bluebellshift/core/ticket.h"

namespace bluebellshift::core {

class Dispatch
{
public:
    static constexpr Duration queuePollInterval = Duration::millis(5);
    static constexpr int maxTargetsTried = 4; // per decision and region

    Dispatch(const CoreOptions &options, DispatchHooks hooks);
    Dispatch(const Dispatch &) = delete;
    Dispatch &operator=(const Dispatch &) = delete;

    Effects onRequest(const RequestArrived &arrived, Instant now, std::uint64_t random);
    Effects onTicketAsked(const TicketRequested &asked, Instant now, std::uint64_t random);
    Effects onAttemptEnded(const AttemptEnded &ended, Instant now);
    Effects onCallerGone(const CallerGone &gone, Instant now);
    Effects onProbeEnded(const ProbeEnded &probe, Instant now);

    // Handles the reply of the home to a relayed request. Ignores replies from
    // other VMs.
    Effects onRelayReply(const VmId &from, RequestId request, const RelayReply &reply, Instant now);
    // The home of the relayed request has become unreachable.
    Effects onRelayFailed(RequestId request, Instant now);
    // Fails all requests relayed to that VM.
    Effects onPeerLost(const VmId &vm, Instant now);

    Effects onTimer(Instant now);
    // Keys, bundle or targets have changed: rechecks the waiting requests.
    Effects onViewChanged(Instant now);
    // Shares or tokens have been received: retries the waiting requests.
    Effects onBudgetChanged(Instant now);

    // The first call starts the graceful shutdown; a second one ends it at once.
    Effects beginShutdown(Instant now);

    DrainState drainState() const { return drain_.state(); }
    std::size_t pendingCount() const { return pending_.size(); }
    std::size_t waitingCount() const { return queue_.size(); }
    const AtMostOnceTable &atMostOnceTable() const { return atMostOnce_; }
    const TargetChooser &chooser() const { return chooser_; }

private:
    enum class Stage {
        Waiting,    // in the queue
        Forwarding, // sent to a target
        Joined,     // waits for the outcome of another request with the same ticket
        Relayed,    // sent to its ticket's home
    };

    struct Pending
    {
        RequestArrived arrived;
        std::uint64_t random = 0;
        Stage stage = Stage::Waiting;
        TeamId team;
        bool isRateLimited = false;
        bool holdsTeamToken = false; // the team's token has been debited
        bool runsAtMostOnce = false;
        std::optional<Ticket> ticket;
        Instant arrivedAt;
        Instant deadline;
        int attempts = 0;
        Instant sentAt;
        TargetId target;
        TargetId candidate; // the target whose slots were last requested
        RegionId region;
        std::vector<TargetId> tried;
        std::vector<Debit> takenDebits; // of the current attempt; slot and connection come first
        bool wasSent = false;           // at least one byte has been sent to a target
        bool mayHaveRun = false; // an attempt was sent and did not provably fail before running
        bool isCallerGone = false;
        RefusalCode waitReason = RefusalCode::NoCapacity; // refusal code if the wait expires
        AccountId missingAccount;                         // the account that lacks tokens
        VmId home;                                        // set when Relayed
    };

    enum class SendResult { Sent, TeamBlocked, ServiceBlocked, Refused };

    // Arrival.
    void admit(const RequestArrived &arrived, Instant now, std::uint64_t random, Effects &effects);
    bool claimTicket(Pending &pending, Instant now, Effects &effects);
    void relay(Pending &pending, const VmId &home, Effects &effects);
    void enqueue(Pending &pending, Instant now, Effects &effects);

    // Sending.
    void dispatchQueue(Instant now, Effects &effects);
    SendResult trySend(Pending &pending, Instant now, Effects &effects);
    bool isKeyInForce(const Pending &pending) const;
    void requestSlot(Pending &pending, const Ranking &ranking, Instant now);
    std::optional<SendResult> tryRegion(Pending &pending, const RegionId &region, Instant now,
                                        std::string &considered, Effects &effects);
    void requestMissingTokens(Pending &pending, const std::vector<Debit> &debits,
                              const AccountId &missingAccount, Instant now);
    std::vector<Debit> debitsFor(const Pending &pending, const Target &target) const;
    void send(Pending &pending, const Target &target, const std::string &considered, Instant now,
              Effects &effects);

    // The end of an attempt.
    void releaseAttempt(Pending &pending, bool wasSent, Instant now);
    void resolveAttempt(Pending &pending, const AttemptEnded &ended, Instant now, Effects &effects);
    bool retry(Pending &pending, const AttemptEnded &ended, Instant now, Effects &effects);

    // The end of a request.
    void answer(RequestId request, const AnswerPointer &answer, Effects &effects);
    void refuse(RequestId request, const Refusal &refusal, Effects &effects);
    void refuseWithJoined(Pending &pending, const Refusal &refusal, Instant now, Effects &effects);
    void answerWithJoined(Pending &pending, const AnswerPointer &answer, Effects &effects);
    void endQueued(Pending &pending, Refusal refusal, Instant now, Effects &effects);
    void promoteJoined(const Pending &leaving, RequestId successor);
    void endJoinedOrRelayed(Pending &pending, const Refusal &refusal, Effects &effects);
    void refuseRevokedKey(Pending &pending, Instant now, Effects &effects);
    void erase(RequestId request);

    // Time.
    void expire(Instant now, Effects &effects);
    void refuseExpired(Pending &pending, Instant now, Effects &effects);
    void probe(Instant now, Effects &effects);
    void exitWhenDone(Instant now, Effects &effects);
    void abortAll(Instant now, Effects &effects);
    void setTimer(Instant now, Effects &effects);
    void finishEvent(Instant now, Effects &effects);

    Run runOf(const Pending &pending) const;
    Pending *find(RequestId request);
    void writeLog(const LogEvent &event, const Pending &pending, std::vector<LogField> fields,
                  Effects &effects) const;

    const CoreOptions options_;
    const DispatchHooks hooks_;
    Admission admission_;
    TicketAuthority tickets_;
    AtMostOnceTable atMostOnce_;
    FairQueue queue_;
    TargetChooser chooser_;
    RetryBudget retryBudget_;
    Drain drain_;
    std::map<RequestId, Pending> pending_;
    std::unordered_map<ServiceId, double> meanAnswerBytes_; // exponential mean
    std::set<std::pair<Instant, RequestId>> deadlines_;     // of joined and relayed requests
    Instant nextProbe_ = Instant::never();
    Instant timerAt_ = Instant::never(); // pending timer
};

} // namespace bluebellshift::core
