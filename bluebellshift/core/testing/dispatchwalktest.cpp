// A seeded random walk over three VMs: requests, retries on any VM, concurrent
// retries, expiry, lost relays, restarts, pauses, cancels, drains, withdrawn
// keys, stale views and every outcome of an attempt. A simple model, separate
// from the code under test, counts how often the targets ran each ticket and
// records whether an attempt with it may still have run. The test guards against
// a ticket that runs twice and against a "not run" reply that is false or becomes
// false later.
#include <CppUTest/TestHarness.h>

#include <random>

#include <fmt/format.h>

#include "bluebellshift/core/testing/dispatchbench.h"

using namespace bluebellshift::core;
using namespace bluebellshift::core::testing;

namespace {

constexpr std::size_t vmCount = 3;
constexpr int stepsPerWalk = 10'000;

struct TicketModel
{
    int runs = 0;
    int inFlight = 0;
    bool mayHaveRun = false;
    bool wasReportedNotRun = false; // a caller got the reply "not run"
};

struct Origin // of a relayed request
{
    std::size_t vm = 0;
    std::uint64_t incarnation = 0;
    RequestId request;
};

struct Node
{
    std::unique_ptr<DispatchBench> bench;
    std::uint64_t incarnation = 0;
    Instant pausedUntil = Instant::never();
    std::map<RequestId, RequestArrived> openRequests;
    std::map<RequestId, Origin> origins;
    std::map<RequestId, RequestId> relays; // own request id to the id at the home VM
    std::set<RequestId> cancelled;
};

struct Counts
{
    int requests = 0;
    int answers = 0;
    int refusals = 0;
    int notRun = 0;
    int restarts = 0;
};

class Walk
{
public:
    explicit Walk(std::uint64_t seed)
        : random_(seed)
        , avoidsRestarts_(seed % 2 == 0)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            restart(vm);
    }

    Counts run()
    {
        for (int i = 0; i < stepsPerWalk; ++i) {
            step();
            advance(now_ + Duration::micros(pick(8000)));
        }
        settle();
        return counts_;
    }

private:
    using Call = std::function<Effects(Dispatch &)>;

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool chance(int percent) { return pick(100) < static_cast<std::uint64_t>(percent); }
    Duration randomDelay(int maxMillis) { return Duration::micros(pick(maxMillis * 1000) + 1); }

    void restart(std::size_t vm)
    {
        Node &node = nodes_[vm];
        const std::uint64_t incarnation = node.incarnation + 1;
        node = Node();
        node.incarnation = incarnation;
        node.bench =
            std::make_unique<DispatchBench>(cluster_, fmt::format("vm-{}", vm), incarnation);
        node.bench->options.ticketValidFor = Duration::seconds(2);
        node.bench->options.maxRecordBytes = 24 * 1024 * 1024;
        node.bench->options.maxShutdownTime = Duration::seconds(8);
        node.bench->start();
        ++counts_.restarts;
    }

    // Calls into an incarnation of a VM: after its pause if it is paused, never if
    // it has been replaced.
    void call(std::size_t vm, std::uint64_t incarnation, const Call &action)
    {
        Node &node = nodes_[vm];
        if (node.incarnation != incarnation)
            return;
        if (now_ < node.pausedUntil) {
            at(node.pausedUntil, [=] { call(vm, incarnation, action); });
            return;
        }
        applyEffects(vm, action(*node.bench->dispatch));
    }

    void at(Instant when, std::function<void()> action)
    {
        scheduled_.emplace(when, std::move(action));
    }

    void advance(Instant until)
    {
        while (!scheduled_.empty() && scheduled_.begin()->first <= until) {
            const auto next = scheduled_.extract(scheduled_.begin());
            now_ = std::max(now_, next.key());
            next.mapped()();
        }
        now_ = until;
    }

    void step()
    {
        const std::size_t vm = pick(vmCount);
        Node &node = nodes_[vm];
        const std::uint64_t kind = pick(1000);
        if (kind < 300)
            requestTicket(vm);
        else if (kind < 900)
            arrive(vm);
        else if (kind < 950 && !node.openRequests.empty())
            disconnectCaller(vm);
        else if (kind < 960)
            node.pausedUntil = now_ + randomDelay(500);
        else if (kind < 962)
            restartIfAllowed(vm);
        else if (kind < 964)
            shutDownIfAllowed(vm);
        else if (kind < 980)
            node.bench->isFresh = chance(70);
        else if (kind < 990)
            cluster_.targets[pick(cluster_.targets.size())].isLeaving = chance(30);
        else
            changeKeys();
    }

    // Every other walk has no restarts, so that records live until they expire.
    void restartIfAllowed(std::size_t vm)
    {
        if (!avoidsRestarts_)
            restart(vm);
    }

    void shutDownIfAllowed(std::size_t vm)
    {
        if (!avoidsRestarts_)
            call(vm, nodes_[vm].incarnation, [this](Dispatch &d) { return d.beginShutdown(now_); });
    }

    void changeKeys()
    {
        cluster_.keys.erase(KeyDigest("m"));
        if (chance(70))
            cluster_.keys[KeyDigest("m")] = multan;
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            call(vm, nodes_[vm].incarnation, [this](Dispatch &d) { return d.onViewChanged(now_); });
    }

    void requestTicket(std::size_t vm)
    {
        DispatchBench &bench = *nodes_[vm].bench;
        const std::string key = chance(80) ? "m" : "s";
        TicketRequested ticketRequest { RequestId(++bench.lastRequestNumber), rota, true,
                                        KeyDigest(key) };
        const std::uint64_t random = random_();
        call(vm, nodes_[vm].incarnation, [=](Dispatch &d) {
            Effects effects = d.onTicketAsked(ticketRequest, now_, random);
            for (const IssueTicket &issued : effectsOf<IssueTicket>(effects))
                tickets_.push_back({ issued.ticket, key });
            const auto isEnd = [&](const Effect &effect) {
                const auto *refusal = std::get_if<RefuseCaller>(&effect);
                return refusal != nullptr && refusal->request == ticketRequest.request;
            };
            effects.erase(std::remove_if(effects.begin(), effects.end(), isEnd), effects.end());
            return effects;
        });
    }

    void arrive(std::size_t vm)
    {
        DispatchBench &bench = *nodes_[vm].bench;
        RequestArrived arrived = bench.request("/turns", chance(80) ? "m" : "s");
        if (chance(70) && !tickets_.empty()) {
            const std::size_t newest =
                chance(5) ? tickets_.size() : std::min<std::size_t>(tickets_.size(), 60);
            const auto &[ticket, key] = tickets_[tickets_.size() - 1 - pick(newest)];
            arrived = bench.request("/swap", chance(97) ? key : "s", ticket);
        }
        arrived.timeLeft = Duration::millis(static_cast<std::int64_t>(pick(1500)) + 1);
        sendRequest(vm, nodes_[vm].incarnation, arrived);
    }

    void sendRequest(std::size_t vm, std::uint64_t incarnation, const RequestArrived &arrived)
    {
        const std::uint64_t random = random_();
        call(vm, incarnation, [=](Dispatch &d) {
            ++counts_.requests;
            nodes_[vm].openRequests[arrived.request] = arrived;
            return d.onRequest(arrived, now_, random);
        });
    }

    void disconnectCaller(std::size_t vm)
    {
        auto entry = nodes_[vm].openRequests.begin();
        std::advance(entry, pick(nodes_[vm].openRequests.size()));
        const RequestId request = entry->first;
        call(vm, nodes_[vm].incarnation,
             [=](Dispatch &d) { return d.onCallerGone({ request }, now_); });
    }

    void applyEffects(std::size_t vm, const Effects &effects)
    {
        const std::uint64_t incarnation = nodes_[vm].incarnation;
        int cut = 0;
        for (const Effect &effect : effects) {
            if (const auto *forward = std::get_if<ForwardRequest>(&effect))
                startAttempt(vm, *forward);
            else if (const auto *relay = std::get_if<RelayToHome>(&effect))
                relayToHome(vm, *relay);
            else if (const auto *cancel = std::get_if<CancelForward>(&effect))
                cancelRequest(vm, cancel->request);
            else if (const auto *answer = std::get_if<AnswerCaller>(&effect))
                endRequest(vm, answer->request, answer->answer, nullptr);
            else if (const auto *refusal = std::get_if<RefuseCaller>(&effect))
                ++cut, endRequest(vm, refusal->request, nullptr, &refusal->refusal);
            else if (const auto *timer = std::get_if<SetTimer>(&effect))
                at(std::max(timer->at, now_ + Duration::micros(1)),
                   [=] { call(vm, incarnation, [this](Dispatch &d) { return d.onTimer(now_); }); });
            else if (const auto *exit = std::get_if<Exit>(&effect))
                exitVm(vm, exit->requestsCut, cut);
        }
    }

    void exitVm(std::size_t vm, int requestsCut, int refused)
    {
        CHECK(requestsCut <= refused);
        CHECK(nodes_[vm].openRequests.empty()); // every request must have ended before
        restart(vm);
    }

    static std::string ticketOrRequestName(std::size_t vm, std::uint64_t incarnation,
                                           const RequestArrived &arrived)
    {
        if (!arrived.ticket.empty())
            return arrived.ticket;
        return fmt::format("{}/{}/{}", vm, incarnation, arrived.request.number());
    }

    void startAttempt(std::size_t vm, const ForwardRequest &forward)
    {
        const RequestArrived arrived = nodes_[vm].openRequests.at(forward.request);
        CHECK(cluster_.keys.count(arrived.keyDigest) > 0);
        CHECK(nodes_[vm].bench->isFresh);
        CHECK_EQUAL(arrived.ticket.empty(), forward.mayReuseConnection);
        for (const Target &target : cluster_.targets)
            CHECK(target.id != forward.target || !target.isLeaving);

        const std::uint64_t incarnation = nodes_[vm].incarnation;
        const std::string name = ticketOrRequestName(vm, incarnation, arrived);
        CHECK(!model_[name].wasReportedNotRun);
        ++model_[name].inFlight;
        const Instant end = std::min(forward.deadline, now_ + randomDelay(300));
        at(end, [=] { endAttempt(vm, incarnation, forward, name); });
    }

    void endAttempt(std::size_t vm, std::uint64_t incarnation, const ForwardRequest &forward,
                    const std::string &name)
    {
        static constexpr AttemptOutcome outcomes[] = {
            AttemptOutcome::NeverSent, AttemptOutcome::ConnectFailed, AttemptOutcome::Shed,
            AttemptOutcome::Cut,       AttemptOutcome::TooLarge,      AttemptOutcome::TimedOut,
        };
        const bool isCancelled = nodes_[vm].incarnation == incarnation
            && nodes_[vm].cancelled.erase(forward.request) > 0;
        AttemptOutcome outcome = AttemptOutcome::Answered;
        if (isCancelled)
            outcome = AttemptOutcome::Cancelled;
        else if (chance(30))
            outcome = outcomes[pick(std::size(outcomes))];

        TicketModel &model = model_[name];
        --model.inFlight;
        const bool isUncertain =
            outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::Cancelled;
        const bool hasRun = outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Cut
            || outcome == AttemptOutcome::TooLarge || (isUncertain && chance(50));
        model.runs += hasRun ? 1 : 0;
        model.mayHaveRun = model.mayHaveRun || hasRun || isUncertain;
        if (!forward.mayReuseConnection)
            CHECK(model.runs <= 1);
        const auto report = [=] {
            call(vm, incarnation, [=](Dispatch &d) {
                return d.onAttemptEnded(makeAttemptEnded(forward, outcome, name), now_);
            });
        };
        report();
        if (chance(5))
            at(now_ + randomDelay(50), report); // a repeated end of an attempt must change nothing
    }

    void relayToHome(std::size_t vm, const RelayToHome &relay)
    {
        const std::size_t home = relay.home.text().back() - '0';
        const Origin origin { vm, nodes_[vm].incarnation, relay.request };
        const std::uint64_t homeIncarnation = nodes_[home].incarnation;
        if (chance(10)) {
            if (chance(50))
                call(vm, origin.incarnation,
                     [=](Dispatch &d) { return d.onPeerLost(relay.home, now_); });
            return;
        }
        RequestArrived arrived = nodes_[vm].openRequests.at(relay.request);
        at(now_ + randomDelay(200), [=]() mutable {
            Node &node = nodes_[home];
            if (node.incarnation != homeIncarnation)
                return;
            arrived.request = RequestId(++node.bench->lastRequestNumber);
            arrived.relayedBy = nodes_[vm].bench->options.vm;
            arrived.timeLeft = relay.deadline - now_;
            node.origins[arrived.request] = origin;
            if (nodes_[vm].incarnation == origin.incarnation)
                nodes_[vm].relays[relay.request] = arrived.request;
            sendRequest(home, homeIncarnation, arrived);
        });
    }

    void cancelRequest(std::size_t vm, RequestId request)
    {
        const RequestArrived &arrived = nodes_[vm].openRequests.at(request);
        const auto home = readTicketHome(arrived.ticket);
        if (!home || home->vm == nodes_[vm].bench->options.vm) {
            nodes_[vm].cancelled.insert(request);
            return;
        }
        const auto relayed = nodes_[vm].relays.find(request);
        if (relayed == nodes_[vm].relays.end())
            return;
        const std::size_t peer = home->vm.text().back() - '0';
        const RequestId homeRequest = relayed->second;
        const std::uint64_t incarnation = home->incarnation.number();
        at(now_ + randomDelay(20), [=] {
            call(peer, incarnation,
                 [=](Dispatch &d) { return d.onCallerGone({ homeRequest }, now_); });
        });
    }

    void endRequest(std::size_t vm, RequestId request, const AnswerPointer &answer,
                    const Refusal *refusal)
    {
        Node &node = nodes_[vm];
        CHECK_EQUAL(1U, node.openRequests.count(request)); // never ended twice
        const RequestArrived arrived = node.openRequests.at(request);
        node.openRequests.erase(request);
        const std::string name = ticketOrRequestName(vm, node.incarnation, arrived);
        if (answer) {
            ++counts_.answers;
            STRCMP_EQUAL(name.c_str(), answer->body.c_str());
        } else {
            ++counts_.refusals;
            checkNotRun(name, *refusal);
        }
        replyToOrigin(vm, request, answer, refusal);
    }

    // startAttempt() checks that the reply stays true later.
    void checkNotRun(const std::string &name, const Refusal &refusal)
    {
        if (refusal.run != Run::NotRun)
            return;
        ++counts_.notRun;
        CHECK_EQUAL(0, model_[name].inFlight);
        CHECK(!model_[name].mayHaveRun);
        CHECK_EQUAL(0, model_[name].runs);
        model_[name].wasReportedNotRun = true;
    }

    void replyToOrigin(std::size_t vm, RequestId request, const AnswerPointer &answer,
                       const Refusal *refusal)
    {
        const auto found = nodes_[vm].origins.find(request);
        if (found == nodes_[vm].origins.end() || chance(5))
            return;
        const Origin origin = found->second;
        RelayReply reply;
        reply.isAnswer = answer != nullptr;
        if (answer)
            reply.answer = *answer;
        else
            reply.refusal = *refusal;
        const VmId home = nodes_[vm].bench->options.vm;
        at(now_ + randomDelay(50), [=] {
            call(origin.vm, origin.incarnation,
                 [=](Dispatch &d) { return d.onRelayReply(home, origin.request, reply, now_); });
        });
    }

    // Lets every request end, then checks that all tokens have been returned.
    void settle()
    {
        cluster_.keys[KeyDigest("m")] = multan;
        for (Node &node : nodes_)
            node.bench->isFresh = true;
        advance(now_ + Duration::seconds(20));
        for (Node &node : nodes_) {
            CHECK_EQUAL(0U, node.openRequests.size());
            CHECK_EQUAL(0U, node.bench->dispatch->pendingCount());
            const FakeBudget &budget = node.bench->budget;
            for (const Target &target : cluster_.targets) {
                CHECK_EQUAL(target.slots, budget.tokens(slotAccount(target.id)));
                CHECK_EQUAL(target.connections, budget.tokens(connectionAccount(target.id)));
            }
        }
    }

    std::mt19937_64 random_;
    bool avoidsRestarts_;
    ClusterState cluster_;
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::multimap<Instant, std::function<void()>> scheduled_;
    Node nodes_[vmCount];
    std::vector<std::pair<std::string, std::string>> tickets_;
    std::map<std::string, TicketModel> model_;
    Counts counts_;
};

} // namespace

TEST_GROUP(DispatchWalk) {};

TEST(DispatchWalk, NoTicketRunsTwiceAndNotRunIsTrue)
{
    Counts total;
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        const Counts counts = Walk(seed).run();
        total.requests += counts.requests;
        total.answers += counts.answers;
        total.refusals += counts.refusals;
        total.notRun += counts.notRun;
        total.restarts += counts.restarts;
    }
    UT_PRINT(fmt::format("{} requests, {} answers, {} refusals, {} said not-run, {} restarts",
                         total.requests, total.answers, total.refusals, total.notRun,
                         total.restarts)
                 .c_str());
    // The walk proves little unless it reaches every kind of end often.
    CHECK(total.requests > 100'000);
    CHECK(total.answers > total.requests / 10);
    CHECK(total.notRun > 1000);
}
