// Decisions on admission. Load that this covers: demand above the capacity of a service's
// targets, where each request that is sent too late also delays those after it.
#include "bluebellshift/gateway/admission/admissionplan.h"

#include <deque>
#include <map>
#include <random>
#include <set>

#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::admission;
using namespace bluebellshift::gateway::testing;

namespace {

const Instant begin = Instant::fromMicros(5'000'000'000);
const ServiceId service("s");
constexpr std::uint64_t room = 1;
constexpr std::uint64_t otherRoom = 2;

AdmissionRequest requestAfter(int waitedMs, bool isContended)
{
    AdmissionRequest request;
    request.service = service;
    request.priority = 1;
    request.objective = Duration::millis(1000);
    request.arrivedAt = begin - Duration::millis(waitedMs);
    request.deadline = request.arrivedAt + Duration::millis(5000);
    request.isNew = waitedMs == 0;
    request.isContended = isContended;
    request.room = room;
    return request;
}

Offer offerOf(int inFlight, int finishMs, int serviceMs)
{
    Offer offer;
    offer.hasTarget = true;
    offer.inFlight = inFlight;
    offer.slots = 4;
    offer.timeToFinish = Duration::millis(finishMs);
    offer.serviceTime = Duration::millis(serviceMs);
    return offer;
}

struct DecisionCase
{
    const char *name;
    bool isContended;
    int waitedMs;
    int inFlight; // of 4 slots
    int finishMs;
    int serviceMs;
    bool mayHaveRun;
    Step step;
};

// A wrong decision here either fills the queues of targets or leaves slots unused.
const DecisionCase decisionCases[] = {
    { "usual: a free slot", false, 0, 3, 3000, 300, false, Step::Send },
    { "usual: in time", false, 0, 9, 1000, 300, false, Step::Send },
    { "usual: late", false, 499, 4, 1400, 300, false, Step::Wait },
    { "usual: late after its wait", false, 500, 7, 1400, 300, false, Step::Send },
    { "usual: later than its deadline allows", false, 500, 7, 3500, 300, false, Step::Refuse },
    { "a free slot, though late", true, 0, 3, 3000, 300, false, Step::Send },
    { "no free slot, in time", true, 0, 4, 700, 300, false, Step::Send },
    { "no free slot, hardly in time", true, 0, 4, 900, 300, false, Step::Wait },
    { "no free slot, in time after waiting", true, 200, 4, 600, 300, false, Step::Send },
    { "no free slot, a long queue", true, 0, 6, 700, 300, false, Step::Wait },
    { "late after its wait", true, 500, 4, 1400, 300, false, Step::FindFreeSlot },
    { "still in time if it waits", true, 399, 4, 1400, 600, false, Step::Wait },
    { "no longer in time", true, 400, 4, 1400, 600, false, Step::FindFreeSlot },
    { "late in any case: waits for an unused slot", true, 249, 4, 2400, 1500, false, Step::Wait },
    { "late in any case: after its wait", true, 250, 4, 2400, 1500, false, Step::FindFreeSlot },
    { "may have run: waits on", true, 2400, 4, 1400, 300, true, Step::Wait },
    { "may have run: after its wait", true, 2500, 4, 1400, 300, true, Step::FindFreeSlot },
};

} // namespace

TEST_GROUP(AdmissionPlan)
{
    WaitingQueues queues;
    AdmissionPlan plan { queues };

    void addWaiting(int count, int priority, std::uint64_t inRoom)
    {
        for (int i = 0; i < count; ++i) {
            ++sequence;
            queues.add(service, { priority, sequence, RequestId(sequence), inRoom });
        }
    }

    std::uint64_t sequence = 0;
};

TEST(AdmissionPlan, SendsOrWaitsByTheExpectedEnd)
{
    for (const DecisionCase &one : decisionCases) {
        AdmissionRequest request = requestAfter(one.waitedMs, one.isContended);
        request.mayHaveRun = one.mayHaveRun;
        const Decision decision =
            plan.decide(request, offerOf(one.inFlight, one.finishMs, one.serviceMs), begin);
        CHECK_TEXT(decision.step == one.step, one.name);
    }
}

// Guards against a 503 for a request that may have run, and against one that ends without using
// a slot that is free.
TEST(AdmissionPlan, EndsTheWaitAtAnyFreeSlotOrWithATrueStatus)
{
    AdmissionRequest request = requestAfter(600, true);
    CHECK(AdmissionPlan::decideAtFreeSlot(request, offerOf(3, 9000, 9000)).step == Step::Send);
    const Decision refused = AdmissionPlan::decideAtFreeSlot(request, Offer());
    CHECK(refused.step == Step::Refuse);
    CHECK_EQUAL(503, refused.status);
    request.mayHaveRun = true;
    CHECK_EQUAL(502, AdmissionPlan::decideAtFreeSlot(request, Offer()).status);
}

// Guards against new requests that take each free slot before the waiting ones are tried.
TEST(AdmissionPlan, NeverSendsANewRequestBeforeUntriedOnesThatAreAsUrgent)
{
    const Offer free = offerOf(0, 100, 100);
    AdmissionRequest request = requestAfter(0, true);
    addWaiting(static_cast<int>(AdmissionPlan::contendedScan.blockedPerRoom) - 1, 1, room);
    CHECK(plan.decide(request, free, begin).step == Step::Send); // all those ahead were tried
    addWaiting(1, 1, room);
    CHECK(plan.decide(request, free, begin).step != Step::Send);
    request.priority = 0; // it is more urgent
    CHECK(plan.decide(request, free, begin).step == Step::Send);
    request.priority = 1;
    request.room = otherRoom; // those ahead can't use the slot
    CHECK(plan.decide(request, free, begin).step == Step::Send);
    request.room = room;
    request.isNew = false; // it has its place among those that wait
    CHECK(plan.decide(request, free, begin).step == Step::Send);
    request.isNew = true;
    request.isContended = false; // as before
    CHECK(plan.decide(request, free, begin).step == Step::Send);
}

TEST(AdmissionPlan, RefusesAtOnceWhatCannotExpectItsTurn)
{
    const Offer full = offerOf(6, 900, 300);
    const AdmissionRequest request = requestAfter(0, true);
    addWaiting(2, 1, room);
    CHECK(plan.decide(request, full, begin).step == Step::Wait);
    addWaiting(1, 1, room);
    // All those ahead were tried: it may take a slot that none of them wants.
    CHECK(plan.decide(request, full, begin).step == Step::FindFreeSlot);
    STRCMP_EQUAL("no-turn", AdmissionPlan::decideAtFreeSlot(request, full).reason);
    addWaiting(1, 1, room);
    const Decision refused = plan.decide(request, full, begin);
    CHECK(refused.step == Step::Refuse);
    STRCMP_EQUAL("no-turn", refused.reason);
    // The queue is served 40 times a second: in half of 0.5 s, ten get their turn.
    for (int i = 0; i < 40; ++i)
        queues.recordSent(service, { room, 1 }, begin);
    addWaiting(5, 1, room);
    CHECK(plan.decide(request, full, begin).step == Step::Wait);
    addWaiting(1, 1, room);
    CHECK(plan.decide(request, full, begin).step == Step::Refuse);
    // The rate of one room or priority says nothing about another.
    AdmissionRequest lessUrgent = request;
    lessUrgent.priority = 2;
    CHECK(plan.decide(lessUrgent, full, begin).step == Step::Refuse);
    AdmissionRequest other = request;
    other.room = otherRoom;
    addWaiting(4, 1, otherRoom);
    CHECK(plan.decide(other, full, begin).step == Step::Refuse);
}

TEST(AdmissionPlan, RefusesBeyondTheNumberThatMayWait)
{
    addWaiting(static_cast<int>(AdmissionPlan::maxWaitingRequests), 5, otherRoom);
    const Decision refused = plan.decide(requestAfter(0, true), offerOf(6, 900, 300), begin);
    CHECK(refused.step == Step::Refuse);
    STRCMP_EQUAL("queue-full", refused.reason);
}

// Guards against a room whose targets are full that holds up requests for other targets.
TEST(AdmissionPlan, ScansPastARoomThatIsFull)
{
    addWaiting(30, 1, room);
    addWaiting(2, 1, otherRoom);
    QueueScan scan(queues.first(service, AdmissionPlan::maxScannedEntries),
                   AdmissionPlan::contendedScan);
    std::vector<std::uint64_t> tried;
    while (const auto request = scan.next()) {
        tried.push_back(request->number());
        if (request->number() <= 30)
            scan.onBlocked();
    }
    const std::vector<std::uint64_t> expected { 1, 2, 3, 4, 31, 32 };
    CHECK(tried == expected);
}

// Random queues against a slow count.
TEST(AdmissionPlan, CountsThoseAheadInTheSameRoom)
{
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible
    std::vector<WaitingEntry> all;
    for (std::uint64_t i = 1; i <= 300; ++i) {
        const WaitingEntry entry { static_cast<int>(random() % 4), i, RequestId(i), random() % 3 };
        all.push_back(entry);
        queues.add(service, entry);
        if (random() % 3 == 0) {
            const std::size_t gone = random() % all.size();
            queues.remove(service, all[gone]);
            all.erase(all.begin() + static_cast<std::ptrdiff_t>(gone));
        }
        for (int priority = 0; priority < 4; ++priority) {
            for (std::uint64_t inRoom = 0; inRoom < 3; ++inRoom) {
                std::size_t expected = 0;
                for (const WaitingEntry &one : all)
                    expected += one.room == inRoom && one.priority <= priority ? 1 : 0;
                CHECK_EQUAL(expected, queues.ahead(service, inRoom, priority, 1000));
                CHECK_EQUAL(std::min<std::size_t>(expected, 5),
                            queues.ahead(service, inRoom, priority, 5));
            }
        }
        CHECK_EQUAL(all.size(), queues.size(service));
    }
}

namespace {

struct Served
{
    int inTime = 0;
    int late = 0;
    int refused = 0;
};

// One VM and targets with a first-come queue; each request takes 200 ms of a slot.
class OverloadedService
{
public:
    explicit OverloadedService(bool isContended, std::optional<int> workPercent = std::nullopt)
        : bench_(optionsWith(isContended))
        , workPercent_(workPercent)
    {
        bench_.begin(sampleConfig(), sampleTargets(targetCount));
    }

    // Demand relative to the capacity, for ten seconds.
    Served run(double demand)
    {
        const double perStep = demand * targetCount * 2 / 0.2 * step.toSeconds();
        double due = 0;
        for (int i = 0; i < 2000; ++i) {
            for (due += perStep; due >= 1; --due) {
                arrivedAt_[++last_] = bench_.now();
                bench_.request(last_, openPath);
            }
            collect();
            bench_.advance(step);
            finishDue();
            collect();
        }
        return served_;
    }

private:
    static constexpr Duration step = Duration::millis(5);
    static constexpr int targetCount = 8;

    struct Running
    {
        std::uint64_t request;
        Instant endsAt;
    };

    static GatewayOptions optionsWith(bool isContended)
    {
        GatewayOptions options = sampleOptions();
        options.features.isRoomContended = isContended;
        return options;
    }

    void collect()
    {
        for (const SendAttempt &attempt : bench_.takeSent())
            waiting_[attempt.target.text()].push_back(attempt.request.number());
        for (const Ended &ended : bench_.takeEnded()) {
            const Duration took = bench_.now() - arrivedAt_[ended.request.number()];
            if (!ended.isForwarded)
                ++served_.refused;
            else
                ++(took <= Duration::millis(500) ? served_.inTime : served_.late);
        }
        for (const RequestId request : bench_.takeCancelled())
            cancelled_.insert(request.number());
        for (auto &[target, waiting] : waiting_) {
            auto &running = running_[target];
            while (!waiting.empty() && running.size() < 2) {
                const std::uint64_t request = waiting.front();
                waiting.pop_front();
                if (cancelled_.count(request) == 0)
                    running.push_back({ request, bench_.now() + Duration::millis(200) });
            }
        }
    }

    void finishDue()
    {
        for (auto &[target, running] : running_) {
            while (!running.empty() && running.front().endsAt <= bench_.now()) {
                const std::uint64_t request = running.front().request;
                running.pop_front();
                AttemptEnded ended;
                ended.outcome = AttemptOutcome::Answered;
                ended.status = 200;
                ended.isAuthentic = true;
                ended.load =
                    LoadReport { static_cast<int>(running.size()),
                                 static_cast<int>(waiting_[target].size()), 2, workPercent_ };
                if (cancelled_.count(request) == 0)
                    bench_.finish(request, ended);
            }
        }
    }

    GatewayBench bench_;
    const std::optional<int> workPercent_;
    Served served_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, Instant> arrivedAt_;
    std::set<std::uint64_t> cancelled_;
    std::map<std::string, std::deque<std::uint64_t>> waiting_;
    std::map<std::string, std::deque<Running>> running_;
};

} // namespace

// Pattern: demand of 1.5 times the capacity. Guards against serving nearly all of it late.
TEST(AdmissionPlan, ServesInTimeWhomItAdmitsUnderOverload)
{
    const Served served = OverloadedService(true).run(1.5);
    const int all = served.inTime + served.late + served.refused;
    CHECK_TEXT(served.inTime >= 0.58 * all, StringFrom(served.inTime).asCharString());
    CHECK_TEXT(served.late <= 0.03 * all, StringFrom(served.late).asCharString());
}

// The pace that targets report makes the same rule active; without both, it stays as it was.
TEST(AdmissionPlan, IsActiveOnlyForContendedServices)
{
    const Served usual = OverloadedService(false).run(1.5);
    const Served contended = OverloadedService(true).run(1.5);
    const Served reporting = OverloadedService(false, 100).run(1.5);
    CHECK(usual.late > 5 * contended.late + 100);
    CHECK(reporting.late <= 2 * contended.late + 10);
}

// Pattern: demand just below the capacity. Guards against slots that stay unused.
TEST(AdmissionPlan, ServesEverybodyBelowTheCapacity)
{
    const Served served = OverloadedService(true).run(0.9);
    CHECK_EQUAL(0, served.refused);
    CHECK_EQUAL(0, served.late);
}
