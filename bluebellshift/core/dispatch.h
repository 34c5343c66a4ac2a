// Takes every request from its arrival to its one answer or refusal.
//
//   Dispatch dispatch(options, hooks);
//   Effects effects = dispatch.onRequest(arrived, now, random);
//   ... // ForwardRequest { request, attempt, target, ... }
//   effects = dispatch.onAttemptEnded(ended, now);
//   ... // AnswerCaller { request, answer }
//
// Each RequestId given to onRequest() or onTicketAsked() is ended by exactly one
// AnswerCaller, RefuseCaller or GiveTicket, also when its caller has gone: the
// shell keeps a request's body until then. A refusal's `run` is truthful over
// the whole history of the request's ticket, and "not run" is final: the ticket
// can't be used any more.
//
// A relayed request arrives as RequestArrived with `relayedBy` set and is ended
// like any other; the reducer makes a RelayReply of that. For a request that was
// relayed away, CancelForward means that the home is sent RelayCancel.
//
// It has no clock and no random source; both come with each call.
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
    static constexpr int targetsTriedMost = 4; // for slots, at one decision in one region

    Dispatch(const CoreOptions &options, DispatchHooks hooks);
    Dispatch(const Dispatch &) = delete;
    Dispatch &operator=(const Dispatch &) = delete;

    Effects onRequest(const RequestArrived &arrived, Instant now, std::uint64_t random);
    Effects onTicketAsked(const TicketAsked &asked, Instant now, std::uint64_t random);
    Effects onAttemptEnded(const AttemptEnded &ended, Instant now);
    Effects onCallerGone(const CallerGone &gone, Instant now);
    Effects onProbeEnded(const ProbeEnded &probe, Instant now);

    // The home's reply to a request that was relayed away; from another VM it is
    // ignored.
    Effects onRelayReply(const VmId &from, RequestId request, const RelayReply &reply, Instant now);
    // The relayed request's home can't be reached any more.
    Effects onRelayFailed(RequestId request, Instant now);
    // Fails every request relayed to that VM.
    Effects onPeerLost(const VmId &vm, Instant now);

    Effects onTimer(Instant now);
    // Keys, bundle or targets changed: what waits is checked again.
    Effects onViewChanged(Instant now);
    // Shares or tokens came in: what waits is tried again.
    Effects onBudgetChanged(Instant now);

    // The first call starts to leave, a second one ends it at once.
    Effects beginShutdown(Instant now);

    DrainState drainState() const { return drain_.state(); }
    std::size_t pendingCount() const { return pending_.size(); }
    std::size_t waitingCount() const { return queue_.size(); }
    const AtMostOnceTable &onceTable() const { return once_; }
    const TargetChooser &chooser() const { return chooser_; }

private:
    enum class Stage {
        Waiting,    // in the queue
        Forwarding, // at a target
        Joined,     // waits for the outcome of the request that began on its ticket
        Relayed,    // at its ticket's home
    };

    struct Pending
    {
        RequestArrived arrived;
        std::uint64_t random = 0;
        Stage stage = Stage::Waiting;
        TeamId team;
        bool paysRate = false;
        bool hasPaid = false; // the team's token was taken
        bool runsOnce = false;
        std::optional<Ticket> ticket;
        Instant arrivedAt;
        Instant deadline;
        int attempts = 0;
        Instant sentAt;
        TargetId target;
        TargetId candidate; // the target last tried for its slots
        RegionId region;
        std::vector<TargetId> tried;
        std::vector<Debit> taken; // for the attempt; slot and connection come first
        bool hasLeft = false;     // a byte of it has left this VM
        bool mayHaveRun = false;  // an attempt that was sent did not end in a certain refusal
        bool isCallerGone = false;
        RefusalCode shortage = RefusalCode::NoCapacity; // why it waits
        AccountId lacking;                              // what it waits for
        VmId home;                                      // Relayed
    };

    enum class Sending { Sent, TeamShort, ServiceShort, Refused };

    // Arrival.
    void admit(const RequestArrived &arrived, Instant now, std::uint64_t random, Effects &effects);
    bool beginOnce(Pending &pending, Instant now, Effects &effects);
    void relay(Pending &pending, const VmId &home, Effects &effects);
    void wait(Pending &pending, Instant now, Effects &effects);

    // Sending.
    void pump(Instant now, Effects &effects);
    Sending trySend(Pending &pending, Instant now, Effects &effects);
    bool isKeyInForce(const Pending &pending) const;
    void wantSlot(Pending &pending, const Ranking &ranking, Instant now);
    std::optional<Sending> tryRegion(Pending &pending, const RegionId &region, Instant now,
                                     std::string &considered, Effects &effects);
    void noteShortage(Pending &pending, const std::vector<Debit> &debits, const AccountId &lacking,
                      Instant now);
    std::vector<Debit> debitsOf(const Pending &pending, const Target &target) const;
    void send(Pending &pending, const Target &target, const std::string &considered, Instant now,
              Effects &effects);

    // The end of an attempt.
    void giveBackAttempt(Pending &pending, bool hasLeft, Instant now);
    void settleAttempt(Pending &pending, const AttemptEnded &ended, Instant now, Effects &effects);
    bool retry(Pending &pending, const AttemptEnded &ended, Instant now, Effects &effects);

    // The end of a request.
    void answer(RequestId request, const AnswerPointer &answer, Effects &effects);
    void refuse(RequestId request, const Refusal &refusal, Effects &effects);
    void refuseRun(Pending &pending, const Refusal &refusal, Instant now, Effects &effects);
    void answerRun(Pending &pending, const AnswerPointer &answer, Effects &effects);
    void leaveQueue(Pending &pending, Refusal refusal, Instant now, Effects &effects);
    void takePlace(const Pending &leaving, RequestId successor);
    void leaveWait(Pending &pending, const Refusal &refusal, Effects &effects);
    void refuseWithdrawn(Pending &pending, Instant now, Effects &effects);
    void erase(RequestId request);

    // Time.
    void expire(Instant now, Effects &effects);
    void refuseExpired(Pending &pending, Instant now, Effects &effects);
    void probe(Instant now, Effects &effects);
    void exitWhenDone(Instant now, Effects &effects);
    void cutAll(Instant now, Effects &effects);
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
    AtMostOnceTable once_;
    FairQueue queue_;
    TargetChooser chooser_;
    RetryBudget retryBudget_;
    Drain drain_;
    std::map<RequestId, Pending> pending_;
    std::unordered_map<ServiceId, double> answerBytes_; // of one answer, smoothed
    std::set<std::pair<Instant, RequestId>> deadlines_; // of those joined or relayed
    Instant nextProbe_ = Instant::never();
    Instant timerAt_ = Instant::never(); // the timer set and not yet fired
};

} // namespace bluebellshift::core
