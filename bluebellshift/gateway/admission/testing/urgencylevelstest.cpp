// Priority over the whole fleet. Load that this covers: a burst of requests of little urgency that
// takes all slots of the targets which urgent requests of other VMs need.
#include "bluebellshift/gateway/admission/urgencylevels.h"

#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::admission;
using namespace bluebellshift::gateway::testing;

namespace {

const Instant begin = Instant::fromMicros(5'000'000'000);
const ServiceId service("s");
const RegionId near("near");
const RegionId far("far");
constexpr int urgent = 0;
constexpr int usual = 1;
constexpr int patient = 2;

UrgencyLevels levelsOf(const RegionId &region, std::size_t vms = 4)
{
    return UrgencyLevels({ [](const ServiceId &, Instant) {
                              targets::ServiceRoom room;
                              room.targets = { { near, 10 }, { far, 2 } };
                              room.slotTime = Duration::millis(100);
                              return room;
                          },
                           [vms] { return vms; }, region });
}

// Ten seconds of arrivals; returns their end.
Instant arrive(UrgencyLevels &levels, int priority, double perSecond, Instant from = begin)
{
    const auto count = static_cast<int>(perSecond * 10);
    for (int i = 0; i < count; ++i)
        levels.recordArrival(
            service, priority,
            from + Duration::micros(static_cast<std::int64_t>(i * 1e6 / perSecond)));
    return from + Duration::seconds(10);
}

double at(const ReservedSlots &reserved, const RegionId &region)
{
    const auto found = reserved.find(region);
    return found == reserved.end() ? 0 : found->second;
}

} // namespace

TEST_GROUP(UrgencyLevels)
{
    const WaitingQueues noQueues {};
};

// Guards against capacity that is kept free for nobody.
TEST(UrgencyLevels, ReservesNothingWithoutMoreUrgentRequests)
{
    UrgencyLevels levels = levelsOf(near);
    CHECK(levels.reservedFor(service, patient, begin).empty());
    const Instant now = arrive(levels, usual, 40);
    CHECK(levels.reservedFor(service, usual, now).empty());
    CHECK(levels.reservedFor(service, urgent, now).empty());
    CHECK(levels.reservedFor(ServiceId("other"), patient, now).empty());
    CHECK(!levels.reservedFor(service, patient, now).empty());
}

TEST(UrgencyLevels, ReservesWhatArrivesUntilASlotBecomesFree)
{
    UrgencyLevels levels = levelsOf(near);
    const Instant now = arrive(levels, urgent, 50);
    levels.onReport(VmId("vm-2"), near, {}, Duration(), now); // it has no such requests
    // 50 a second for 100 ms, over ten targets.
    DOUBLES_EQUAL(5.0 / 10, at(levels.reservedFor(service, patient, now), near), 0.02);
    DOUBLES_EQUAL(5.0, levels.reservedSlots(), 0.2);
    // It falls with the arrivals, to nothing.
    const Instant later = now + Duration::seconds(20);
    CHECK(levels.reservedFor(service, patient, later).empty());
}

// Guards against VMs that reserve differently: one of them would take what the others keep.
TEST(UrgencyLevels, AllVmsDeriveTheSameReserveFromTheirReports)
{
    UrgencyLevels first = levelsOf(near);
    UrgencyLevels second = levelsOf(far);
    const Instant now = arrive(first, urgent, 30);
    arrive(second, urgent, 5);
    arrive(second, usual, 10);
    const auto fromFirst = first.demands(noQueues, now);
    const auto fromSecond = second.demands(noQueues, now);
    first.onReport(VmId("vm-2"), far, fromSecond, Duration(), now);
    second.onReport(VmId("vm-1"), near, fromFirst, Duration(), now);
    for (const int priority : { usual, patient }) {
        for (const RegionId &region : { near, far })
            DOUBLES_EQUAL(at(first.reservedFor(service, priority, now), region),
                          at(second.reservedFor(service, priority, now), region), 0.001);
    }
    // Each region keeps what its own callers need.
    DOUBLES_EQUAL(3.0 / 10, at(first.reservedFor(service, usual, now), near), 0.02);
    DOUBLES_EQUAL(0.5 / 2, at(first.reservedFor(service, usual, now), far), 0.1);
}

TEST(UrgencyLevels, TakesOtherVmsToBeLikeItselfUntilOneReports)
{
    UrgencyLevels levels = levelsOf(near, 4);
    Instant now = arrive(levels, urgent, 10);
    DOUBLES_EQUAL(4.0 / 10, at(levels.reservedFor(service, patient, now), near), 0.02);
    levels.onReport(VmId("vm-2"), near, {}, Duration(), now);
    now = now + UrgencyLevels::updateInterval;
    const double heard = at(levels.reservedFor(service, patient, now), near);
    CHECK(heard < 1.0 / 10 + 0.01);
    // The report is dropped when it is old, as if it had never come.
    now = now + UrgencyLevels::reportTime;
    levels.recordArrival(service, urgent, now);
    CHECK(at(levels.reservedFor(service, patient, now), near) > 0);
}

// Guards against a faulty or hostile count that shuts out all other requests.
TEST(UrgencyLevels, BoundsWhatReportsCanReserve)
{
    UrgencyLevels levels = levelsOf(near);
    levels.onReport(VmId("vm-2"), far, { { 0, 0, 4'000'000'000U, 4'000'000'000U } }, Duration(),
                    begin);
    CHECK(levels.reservedFor(service, patient, begin).empty()); // another service
    UrgencyLevels self = levelsOf(far);
    self.recordArrival(service, urgent, begin);
    auto demands = self.demands(noQueues, begin);
    demands[0].millisPerSecond = 4'000'000'000U;
    levels.onReport(VmId("vm-2"), far, demands, Duration(), begin);
    const Instant now = begin + UrgencyLevels::updateInterval;
    DOUBLES_EQUAL(UrgencyLevels::maxReservedPerTarget,
                  at(levels.reservedFor(service, patient, now), far), 0.001);
}

TEST(UrgencyLevels, CountsTheUrgentThatWaitAtOtherVms)
{
    WaitingQueues queues;
    UrgencyLevels other = levelsOf(near);
    for (std::uint64_t i = 1; i <= 6; ++i)
        queues.add(service, { urgent, i, RequestId(i), 0 });
    other.recordArrival(service, urgent, begin);
    const auto demands = other.demands(queues, begin);
    CHECK_EQUAL(1U, demands.size());
    CHECK_EQUAL(6U, demands[0].waiting);
    UrgencyLevels levels = levelsOf(near);
    levels.onReport(VmId("vm-2"), near, demands, Duration(), begin);
    CHECK(at(levels.reservedFor(service, patient, begin), near) >= 6.0 / 10);
}

// Pattern: the less urgent fill all slots that they may use. An urgent request still finds one, at
// once, and without urgent requests all slots are used.
TEST(UrgencyLevels, LeavesTheLastSlotsToTheUrgent)
{
    int sentWithout = 0;
    for (const bool hasUrgent : { false, true }) {
        GatewayOptions options = sampleOptions();
        options.features.isRoomContended = true;
        GatewayBench bench(options);
        bench.begin(sampleConfig(), sampleTargets(20));
        std::uint64_t id = 0;
        for (int i = 0; hasUrgent && i < 200; ++i) { // 50 a second
            bench.request(++id, swapPath);
            bench.answer(id, 200);
            bench.advance(Duration::millis(20));
        }
        bench.takeSent();
        int sent = 0;
        for (int i = 0; i < 60; ++i) {
            bench.request(++id, openPath);
            sent += static_cast<int>(bench.takeSent().size());
        }
        if (!hasUrgent)
            sentWithout = sent;
        else
            CHECK_TEXT(sent >= 20 && sent <= sentWithout - 4, StringFrom(sent).asCharString());
        bench.takeEnded();
        bench.request(++id, swapPath);
        const auto urgentSent = bench.takeSent();
        CHECK(!hasUrgent || (urgentSent.size() == 1 && urgentSent[0].request == RequestId(id)));
    }
}
