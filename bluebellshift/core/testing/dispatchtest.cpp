#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/testing/dispatchbench.h"

using namespace bluebellshift::core;
using namespace bluebellshift::core::testing;

TEST_GROUP(Dispatch)
{
    Effects arrive(const RequestArrived &arrived)
    {
        return dispatch().onRequest(arrived, bench_.now, arrived.request.number());
    }

    ForwardRequest forwarded(const RequestArrived &arrived)
    {
        return effectsOf<ForwardRequest>(arrive(arrived)).at(0);
    }

    Refusal refusalOf(const Effects &effects)
    {
        const auto refusals = effectsOf<RefuseCaller>(effects);
        return refusals.empty() ? Refusal() : refusals[0].refusal;
    }

    Effects end(const ForwardRequest &forward, AttemptOutcome outcome, const char *body = "whole")
    {
        return dispatch().onAttemptEnded(makeAttemptEnded(forward, outcome, body), bench_.now);
    }

    Effects advance(Duration duration)
    {
        bench_.now = bench_.now + duration;
        return dispatch().onTimer(bench_.now);
    }

    void exhaustSlots()
    {
        for (const Target &target : cluster_.targets)
            bench_.budget.set(slotAccount(target.id), 0);
    }

    Dispatch &dispatch()
    {
        return *bench_.dispatch;
    }

    void setup() override
    {
        bench_.start();
    }

    ClusterState cluster_;
    DispatchBench bench_ { cluster_ };
};

TEST(Dispatch, RefusalsCarryTheRightCodeAndRunState)
{
    const std::string ticket = bench_.ticket();
    const std::string ticketBeforeRestart = [&] {
        DispatchBench other(cluster_, "punjab-a-1", 2);
        other.start();
        return other.ticket();
    }();
    const std::string ticketOfAnotherVm = [&] {
        DispatchBench other(cluster_, "sindh-a-1", 1);
        other.start();
        return other.ticket();
    }();
    bench_.isPeerAlive = false;
    const struct
    {
        const char *path;
        const char *key;
        std::string ticket;
        RefusalCode code;
        Run run;
    } cases[] = {
        { "/turns", "", "", RefusalCode::KeyMissing, Run::NotRun },
        { "/turns", "x", "", RefusalCode::KeyUnknown, Run::NotRun },
        { "/swap", "m", "", RefusalCode::TicketMissing, Run::NotRun },
        { "/swap", "x", ticket, RefusalCode::KeyUnknown, Run::Unknown },
        { "/swap", "s", ticket, RefusalCode::TicketOfAnotherTeam, Run::Unknown },
        { "/swap", "m", "?", RefusalCode::MalformedRequest, Run::Unknown },
        { "/swap", "m", ticketBeforeRestart, RefusalCode::OutcomeUnknown, Run::Unknown },
        { "/swap", "m", ticketOfAnotherVm, RefusalCode::OutcomeUnknown, Run::Unknown },
        { "/turns", "m", ticketOfAnotherVm, RefusalCode::OutcomeUnknown, Run::Unknown },
    };
    for (const auto &c : cases) {
        const Refusal refusal = refusalOf(arrive(bench_.request(c.path, c.key, c.ticket)));
        STRCMP_EQUAL_TEXT(toText(c.code), toText(refusal.code), c.path);
        STRCMP_EQUAL_TEXT(toText(c.run), toText(refusal.run), toText(c.code));
    }
    bench_.isFresh = false;
    CHECK(refusalOf(arrive(bench_.request("/"))).code == RefusalCode::ViewStale);
    CHECK(refusalOf(arrive(bench_.request("/swap", "m", ticket))).run == Run::Unknown);
}

TEST(Dispatch, AttemptOutcomeDecidesRetryAndRefusal)
{
    using Outcome = AttemptOutcome;
    const struct
    {
        Outcome outcome;
        const char *path;
        bool isRetried;
        RefusalCode code;
        Run run;
    } cases[] = {
        { Outcome::NeverSent, "/swap", true, RefusalCode::TargetFailed, Run::NotRun },
        { Outcome::ConnectFailed, "/swap", true, RefusalCode::TargetFailed, Run::NotRun },
        { Outcome::Shed, "/swap", true, RefusalCode::NoCapacity, Run::NotRun },
        { Outcome::Cut, "/swap", false, RefusalCode::AnswerCut, Run::Ran },
        { Outcome::Cut, "/turns", true, RefusalCode::AnswerCut, Run::Ran },
        { Outcome::TooLarge, "/turns", false, RefusalCode::AnswerTooLarge, Run::Ran },
        { Outcome::TooLarge, "/swap", false, RefusalCode::AnswerTooLarge, Run::Ran },
        { Outcome::TimedOut, "/turns", false, RefusalCode::TargetTimedOut, Run::Unknown },
        { Outcome::TimedOut, "/swap", false, RefusalCode::TargetTimedOut, Run::Unknown },
    };
    for (const auto &c : cases) {
        bench_.options.maxAttempts = 2;
        bench_.start();
        const std::string ticket = c.path == std::string("/swap") ? bench_.ticket() : "";
        const RequestArrived arrived = bench_.request(c.path, "m", ticket);
        const ForwardRequest first = forwarded(arrived);
        CHECK_EQUAL(ticket.empty(), first.mayReuseConnection);
        Effects effects = end(first, c.outcome);
        const auto retry = effectsOf<ForwardRequest>(effects);
        CHECK_EQUAL_TEXT(c.isRetried, !retry.empty(), c.path);
        if (!retry.empty())
            effects = end(retry[0], c.outcome);
        STRCMP_EQUAL(toText(c.code), toText(refusalOf(effects).code));
        STRCMP_EQUAL(toText(c.run), toText(refusalOf(effects).run));
        CHECK_EQUAL(0U, dispatch().pendingCount());

        if (ticket.empty())
            continue;
        const Effects retried = arrive(bench_.request("/swap", "m", ticket));
        CHECK(effectsOf<ForwardRequest>(retried).empty());
        CHECK_EQUAL(c.run == Run::NotRun, refusalOf(retried).run == Run::NotRun);
        CHECK_EQUAL(c.run != Run::NotRun, refusalOf(retried).code == RefusalCode::OutcomeUnknown);
    }
}

TEST(Dispatch, CutBeforeTheAnswerBeginsLeavesRunUnknown)
{
    const ForwardRequest first = forwarded(bench_.request("/swap", "m", bench_.ticket()));
    AttemptEnded cut = makeAttemptEnded(first, AttemptOutcome::Cut);
    cut.answerBegun = false;
    CHECK(refusalOf(dispatch().onAttemptEnded(cut, bench_.now)).run == Run::Unknown);
}

TEST(Dispatch, RetriesOfATicketShareOneRunAndItsAnswer)
{
    const std::string ticket = bench_.ticket();
    const ForwardRequest first = forwarded(bench_.request("/swap", "m", ticket));
    const RequestArrived joined = bench_.request("/swap", "m", ticket);
    CHECK(effectsOf<ForwardRequest>(arrive(joined)).empty());
    RequestArrived other = bench_.request("/swap", "m", ticket);
    other.contentDigest = 9;
    CHECK(refusalOf(arrive(other)).code == RefusalCode::MalformedRequest);

    const auto answers = effectsOf<AnswerCaller>(end(first, AttemptOutcome::Answered, "one"));
    CHECK_EQUAL(2U, answers.size());
    CHECK(answers[1].request == joined.request);
    CHECK(end(first, AttemptOutcome::Answered, "late").empty());
    const auto replayed = effectsOf<AnswerCaller>(arrive(bench_.request("/swap", "m", ticket)));
    STRCMP_EQUAL("one", replayed.at(0).answer->body.c_str());

    cluster_.keys.erase(KeyDigest("m"));
    CHECK(effectsOf<AnswerCaller>(arrive(bench_.request("/swap", "m", ticket))).empty());
}

TEST(Dispatch, OutcomeIsKeptWhenTheCallerDisconnects)
{
    const std::string ticket = bench_.ticket();
    const ForwardRequest sent = forwarded(bench_.request("/swap", "m", ticket));
    CHECK(effectsOf<CancelForward>(dispatch().onCallerGone({ sent.request }, bench_.now)).empty());
    end(sent, AttemptOutcome::Answered);
    CHECK_EQUAL(1U, effectsOf<AnswerCaller>(arrive(bench_.request("/swap", "m", ticket))).size());

    const ForwardRequest repeatable = forwarded(bench_.request("/turns"));
    CHECK_EQUAL(
        1U,
        effectsOf<CancelForward>(dispatch().onCallerGone({ repeatable.request }, bench_.now))
            .size());
    CHECK_EQUAL(1U, effectsOf<RefuseCaller>(end(repeatable, AttemptOutcome::Cancelled)).size());
}

TEST(Dispatch, JoinedRequestReplacesOneThatLeftTheQueue)
{
    const std::string ticket = bench_.ticket();
    exhaustSlots();
    const RequestArrived first = bench_.request("/swap", "m", ticket);
    const RequestArrived second = bench_.request("/swap", "m", ticket);
    arrive(first);
    arrive(second);
    const Effects gone = dispatch().onCallerGone({ first.request }, bench_.now);
    CHECK(refusalOf(gone).run == Run::Unknown); // the second request may still run
    bench_.budget.set(slotAccount(TargetId("t1")), 1);
    const auto sent = effectsOf<ForwardRequest>(advance(Duration::millis(5)));
    CHECK(sent.at(0).request == second.request);
}

// A copy of a request may wait in a paused VM after its caller was refused; it
// must not run later.
TEST(Dispatch, NotRunIsFinal)
{
    const std::string ticket = bench_.ticket();
    exhaustSlots();
    arrive(bench_.request("/swap", "m", ticket));
    CHECK(refusalOf(advance(bench_.options.maxQueueWait)).run == Run::NotRun);
    bench_.budget.set(slotAccount(TargetId("t1")), 1);
    const Effects copy = arrive(bench_.request("/swap", "m", ticket));
    CHECK(effectsOf<ForwardRequest>(copy).empty());
    CHECK(refusalOf(copy).run == Run::NotRun);

    const std::string unreportedTicket = bench_.ticket();
    exhaustSlots();
    const RequestArrived gone = bench_.request("/swap", "m", unreportedTicket);
    arrive(gone);
    dispatch().onCallerGone({ gone.request }, bench_.now);
    bench_.budget.set(slotAccount(TargetId("t1")), 1);
    // No caller was told that it did not run, so a retry may run.
    forwarded(bench_.request("/swap", "m", unreportedTicket));
}

TEST(Dispatch, WithdrawnKeyEndsWaitingRequests)
{
    const std::string ticket = bench_.ticket();
    const ForwardRequest running = forwarded(bench_.request("/swap", "m", ticket));
    arrive(bench_.request("/swap", "m", ticket)); // joins
    exhaustSlots();
    arrive(bench_.request("/turns"));
    arrive(bench_.request("/turns", "s"));
    cluster_.keys.erase(KeyDigest("m"));
    const auto refusals = effectsOf<RefuseCaller>(dispatch().onViewChanged(bench_.now));
    CHECK_EQUAL(2U, refusals.size());
    CHECK(refusals[0].refusal.run == Run::Unknown); // had joined a run in progress
    CHECK(refusals[1].refusal.run == Run::NotRun);
    CHECK(refusals[1].refusal.code == RefusalCode::KeyUnknown);
    CHECK_EQUAL(1U, effectsOf<AnswerCaller>(end(running, AttemptOutcome::Answered)).size());
}

TEST(Dispatch, WaitTimeoutReportsTheReason)
{
    const struct
    {
        AccountId account;
        Duration timeLeft;
        bool becomesStale;
        RefusalCode code;
    } cases[] = {
        { teamAccount(multan), Duration(), false, RefusalCode::OverRate },
        { regionAccount(punjab), Duration(), false, RefusalCode::NoCapacity },
        { teamAccount(multan), Duration::millis(100), false, RefusalCode::DeadlinePassed },
        { teamAccount(multan), Duration(), true, RefusalCode::ViewStale },
    };
    for (const auto &c : cases) {
        DispatchBench bench(cluster_);
        bench.regions = { punjab };
        bench.budget.set(c.account, 0);
        Dispatch &dispatch = bench.start();
        RequestArrived arrived = bench.request("/turns");
        arrived.timeLeft = c.timeLeft;
        CHECK(effectsOf<RefuseCaller>(dispatch.onRequest(arrived, bench.now, 1)).empty());
        CHECK(bench.budget.wasWanted(c.account));
        bench.isFresh = !c.becomesStale;
        const Effects effects = dispatch.onTimer(bench.now + bench.options.maxQueueWait);
        STRCMP_EQUAL(toText(c.code), toText(refusalOf(effects).code));
        CHECK(refusalOf(effects).run == Run::NotRun);
    }
}

TEST(Dispatch, TokensAreReturnedOnlyIfNothingWasSent)
{
    const struct
    {
        AttemptOutcome outcome;
        double team;
        double region;
    } cases[] = {
        { AttemptOutcome::NeverSent, 10, 10 }, { AttemptOutcome::ConnectFailed, 10, 10 },
        { AttemptOutcome::Shed, 9, 9 },        { AttemptOutcome::Cut, 9, 9 },
        { AttemptOutcome::TimedOut, 9, 9 },    { AttemptOutcome::Answered, 9, 9 },
    };
    for (const auto &c : cases) {
        bench_.options.maxAttempts = 1;
        bench_.budget.set(teamAccount(multan), 10);
        bench_.budget.set(regionAccount(punjab), 10);
        bench_.start();
        end(forwarded(bench_.request("/turns")), c.outcome);
        CHECK_EQUAL(c.team, bench_.budget.tokens(teamAccount(multan)));
        CHECK_EQUAL(c.region, bench_.budget.tokens(regionAccount(punjab)));
        CHECK_EQUAL(2, bench_.budget.tokens(slotAccount(TargetId("t1"))));
        CHECK_EQUAL(2, bench_.budget.tokens(slotAccount(TargetId("t2"))));
    }
}

TEST(Dispatch, RetriesHaveABudget)
{
    int attempts = 0;
    const int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        Effects effects = arrive(bench_.request("/turns"));
        for (auto sent = effectsOf<ForwardRequest>(effects); !sent.empty();) {
            ++attempts;
            sent = effectsOf<ForwardRequest>(end(sent[0], AttemptOutcome::NeverSent));
        }
    }
    CHECK(attempts <= requests + requests / 10 + static_cast<int>(RetryBudget::maxBalance));
}

TEST(Dispatch, BacklogOfOneTeamDelaysNoOtherTeam)
{
    exhaustSlots();
    for (int i = 0; i < 200; ++i)
        arrive(bench_.request("/turns", "m"));
    const RequestArrived other = bench_.request("/turns", "s");
    arrive(other);
    bench_.budget.set(slotAccount(TargetId("t1")), 2);
    const auto sent = effectsOf<ForwardRequest>(advance(Duration::millis(5)));
    CHECK_EQUAL(2U, sent.size());
    CHECK(sent[0].request == other.request || sent[1].request == other.request);
}

TEST(Dispatch, RelayedRequestEndsOnce)
{
    DispatchBench home(cluster_, "sindh-a-1");
    home.start();
    const std::string ticket = home.ticket();
    const auto relay = [&] {
        const auto relayed = effectsOf<RelayToHome>(arrive(bench_.request("/swap", "m", ticket)));
        STRCMP_EQUAL("sindh-a-1", relayed.at(0).home.text().c_str());
        return relayed[0].request;
    };
    RelayReply reply;
    reply.isAnswer = true;
    RequestId request = relay();
    const VmId sender("sindh-a-1");
    const VmId other("sindh-b-1");
    CHECK(dispatch().onRelayReply(other, request, reply, bench_.now).empty());
    const Effects answered = dispatch().onRelayReply(sender, request, reply, bench_.now);
    CHECK_EQUAL(1U, effectsOf<AnswerCaller>(answered).size());
    CHECK(dispatch().onRelayReply(sender, request, reply, bench_.now).empty());

    request = relay();
    CHECK(refusalOf(dispatch().onPeerLost(VmId("sindh-a-1"), bench_.now)).run == Run::Unknown);
    request = relay();
    CHECK(refusalOf(dispatch().onCallerGone({ request }, bench_.now)).run == Run::Unknown);
    relay();
    CHECK(refusalOf(advance(Duration::seconds(4))).code == RefusalCode::DeadlinePassed);

    RequestArrived relayed = bench_.request("/swap", "m", ticket);
    relayed.relayedBy = VmId("kpk-a-1"); // this VM is not the home either
    CHECK(refusalOf(arrive(relayed)).code == RefusalCode::HomeUnreachable);
}

TEST(Dispatch, LogsHoldNoKeyDigestOrTicket)
{
    cluster_.keys[KeyDigest("a-digest")] = multan;
    const std::string ticket = bench_.ticket("a-digest");
    Effects effects = arrive(bench_.request("/swap", "a-digest", ticket));
    for (Effect &effect : arrive(bench_.request("/swap", "other-digest", ticket)))
        effects.push_back(std::move(effect));
    CHECK_EQUAL(2U, effectsOf<WriteLog>(effects).size());
    for (const WriteLog &line : effectsOf<WriteLog>(effects)) {
        for (const LogField &field : line.record.fields) {
            CHECK(field.value.find("digest") == std::string::npos);
            CHECK(field.value.find(ticket) == std::string::npos);
            CHECK(field.value.size() < 512);
        }
    }
}

TEST(Dispatch, ShutdownWaitsForTicketsAndFinishesEveryRequest)
{
    bench_.ticket();
    const ForwardRequest running = forwarded(bench_.request("/turns"));
    CHECK(effectsOf<Exit>(dispatch().beginShutdown(bench_.now)).empty());
    CHECK(dispatch().drainState() == DrainState::Leaving);
    TicketRequested ticketRequest { RequestId(900), rota, true, KeyDigest("m") };
    CHECK(refusalOf(dispatch().onTicketAsked(ticketRequest, bench_.now, 1)).code
          == RefusalCode::Leaving);

    CHECK(effectsOf<Exit>(advance(bench_.options.ticketValidFor - Duration::seconds(1))).empty());
    const ForwardRequest late = forwarded(bench_.request("/turns")); // still served
    end(late, AttemptOutcome::Answered);
    CHECK(effectsOf<Exit>(advance(Duration::seconds(1))).empty()); // one request is still running
    const auto exits = effectsOf<Exit>(end(running, AttemptOutcome::Answered));
    CHECK_EQUAL(0, exits.at(0).requestsCut);
    CHECK(refusalOf(arrive(bench_.request("/turns"))).code == RefusalCode::Leaving);
}

TEST(Dispatch, ShutdownWaitsForCallerCachesToExpire)
{
    cluster_.bundle->services[0].cacheTime = Duration::seconds(9);
    dispatch().beginShutdown(bench_.now);
    CHECK(effectsOf<Exit>(advance(Duration::seconds(9))).empty());
    CHECK_EQUAL(1U, effectsOf<Exit>(advance(bench_.options.suspicionTimeout)).size());
}

TEST(Dispatch, SecondShutdownOrTimeLimitCountsCutRequests)
{
    for (const bool isLimit : { false, true }) {
        bench_.start();
        forwarded(bench_.request("/turns"));
        forwarded(bench_.request("/swap", "m", bench_.ticket()));
        dispatch().beginShutdown(bench_.now);
        const Effects effects = isLimit ? advance(bench_.options.maxShutdownTime)
                                        : dispatch().beginShutdown(bench_.now);
        CHECK_EQUAL(2, effectsOf<Exit>(effects).at(0).requestsCut);
        CHECK_EQUAL(2U, effectsOf<CancelForward>(effects).size());
        for (const RefuseCaller &refusal : effectsOf<RefuseCaller>(effects))
            CHECK(refusal.refusal.run == Run::Unknown);
        CHECK_EQUAL(2, bench_.budget.tokens(slotAccount(TargetId("t1"))));
    }
}

TEST(Dispatch, FullRecordTableRefusesNewTicketsAsNotRun)
{
    bench_.options.maxAnswerBytes = 1000;
    bench_.options.maxRecordBytes = 2000;
    bench_.start();
    const std::string kept = bench_.ticket();
    end(forwarded(bench_.request("/swap", "m", kept)), AttemptOutcome::Answered);
    forwarded(bench_.request("/swap", "m", bench_.ticket()));
    const Refusal refusal = refusalOf(arrive(bench_.request("/swap", "m", bench_.ticket())));
    CHECK(refusal.code == RefusalCode::RecordsFull);
    CHECK(refusal.run == Run::NotRun);
    CHECK_EQUAL(1U, effectsOf<AnswerCaller>(arrive(bench_.request("/swap", "m", kept))).size());
}

TEST(Dispatch, RelayReplyForEarlierIncarnationMatchesNoRequest)
{
    const Incarnation earlier(0x5a5a'0000'0000'0001);
    const Incarnation newer(0x1234'0000'0000'0001);
    const std::uint64_t correlation = relayCorrelation(RequestId(7), earlier);
    CHECK(relayedRequest(correlation, earlier) == RequestId(7));
    CHECK(relayedRequest(correlation, newer) != RequestId(7));
    CHECK(relayedRequest(correlation, newer).number() > 1'000'000'000'000);
}
