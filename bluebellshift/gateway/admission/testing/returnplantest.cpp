// When refused callers return. Load that this covers: many callers refused together, which are
// refused again if they return together or before there is capacity.
#include "bluebellshift/gateway/admission/returnplan.h"

#include <random>
#include <set>
#include <vector>

#include "bluebellshift/gateway/admission/admissionplan.h"
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::admission;
using namespace bluebellshift::gateway::testing;

namespace {

const Instant begin = Instant::fromMicros(5'000'000'000);

RefusedCaller callerWith(int leftMs, int waitMs, double load, std::uint64_t random)
{
    return {
        Duration::millis(leftMs), Duration::millis(4000), { Duration::millis(waitMs), load }, random
    };
}

} // namespace

TEST_GROUP(ReturnPlan)
{
    ReturnPlan plan;
};

// Guards against a time that the caller ignores because it is too long, or that is too early.
TEST(ReturnPlan, NamesATimeBetweenTheExpectedOneAndAThirdOfTheTimeLeft)
{
    std::mt19937_64 random(5); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible
    for (int i = 0; i < 2000; ++i) {
        const int left = static_cast<int>(random() % 12'000);
        const int expected = static_cast<int>(random() % 6'000);
        const double load = static_cast<double>(random() % 200) / 100;
        const Duration wait = ReturnPlan::wait(callerWith(left, expected, load, random()));
        CHECK(wait >= Duration());
        CHECK(wait * 3 <= Duration::millis(left));
        if (expected * 6 < left) // else the spread takes the later half
            CHECK(wait >= Duration::millis(expected));
    }
    CHECK(ReturnPlan::wait(callerWith(-5, 100, 2, 1)) == Duration());
}

TEST(ReturnPlan, SpreadsCallersOverTheTimeInWhichCapacityIsExpected)
{
    std::mt19937_64 random(6); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible
    std::vector<int> overloaded(10);
    for (int i = 0; i < 10'000; ++i) {
        // A short queue: soon after it is gone.
        const Duration soon = ReturnPlan::wait(callerWith(12'000, 200, 0.5, random()));
        CHECK(soon >= Duration::millis(200) && soon <= Duration::millis(400));
        // Overload: over half of the objective, 2 s.
        const Duration wait = ReturnPlan::wait(callerWith(12'000, 500, 1.5, random()));
        const auto part = (wait - Duration::millis(500)).toMillis() / 200;
        CHECK(part >= 0 && part < 10);
        ++overloaded.at(static_cast<std::size_t>(part));
    }
    for (const int count : overloaded)
        CHECK(count > 850 && count < 1150);
}

TEST(ReturnPlan, RecognizesACallerByItsShorterDeadline)
{
    CHECK(!plan.recordDeadline("r", Duration::millis(5000), begin));
    CHECK(!plan.recordDeadline("r", Duration::millis(4990), begin)); // slow on its way
    CHECK(plan.recordDeadline("r", Duration::millis(4890), begin));  // it waited 100 ms
    CHECK(plan.recordDeadline("r", Duration::millis(3300), begin));
    CHECK(!plan.recordDeadline("other", Duration::millis(3300), begin));
    CHECK(!plan.recordDeadline("r", Duration(), begin)); // it sent none
    // A caller that waits for the least time that is stated is recognized, also at once after.
    const Duration least = Duration::millis(5000) - ReturnPlan::minWait;
    CHECK(plan.recordDeadline("r", least, begin));
}

// Guards against one long deadline that makes all callers look returned for ever.
TEST(ReturnPlan, ForgetsTheLongestDeadlineAfterTwoPeriods)
{
    plan.recordDeadline("r", Duration::seconds(60), begin);
    Instant now = begin;
    for (int i = 0; i < 70; ++i) {
        now = now + Duration::seconds(1);
        plan.recordDeadline("r", Duration::seconds(5), now);
    }
    CHECK(!plan.recordDeadline("r", Duration::seconds(5), now));
    CHECK(plan.recordDeadline("r", Duration::seconds(4), now));
}

// Guards against callers that are refused, return and are refused again while new ones are served.
TEST(ReturnPlan, LetsAReturnedCallerWaitWhereANewOneIsRefused)
{
    const ServiceId service("s");
    WaitingQueues queues;
    const AdmissionPlan admission(queues);
    AdmissionRequest request;
    request.service = service;
    request.priority = 1;
    request.objective = Duration::millis(1000);
    request.arrivedAt = begin;
    request.deadline = begin + Duration::seconds(5);
    request.isContended = true;
    for (std::uint64_t i = 1; i <= 4; ++i)
        queues.add(service, { 1, i, RequestId(i), 0 });
    const Offer none;
    CHECK(admission.decide(request, none, begin).step == Step::Refuse);
    request.hasReturned = true;
    const Decision preferred = admission.decide(request, none, begin);
    CHECK(preferred.step == Step::Wait);
    CHECK(preferred.isPreferred);
    request.load = AdmissionPlan::maxReturnLoad; // more demand than capacity: see the constant
    CHECK(admission.decide(request, none, begin).step == Step::Refuse);
    request.load = 0;
    request.isContended = false; // as before
    CHECK(admission.decide(request, none, begin).step == Step::Refuse);
    // At most a quarter of what is served: 20 a second, and five preferred ones in one second.
    request.isContended = true;
    for (int i = 0; i < 20; ++i)
        queues.recordSent(service, request.lane(), begin);
    for (std::uint64_t i = 5; i <= 20; ++i)
        queues.add(service, { 1, i, RequestId(i), 0 });
    int let = 0;
    for (; admission.decide(request, none, begin).step == Step::Wait && let < 100; ++let)
        queues.recordPreferred(service, request.lane(), begin);
    CHECK_EQUAL(6, let);
}

TEST(ReturnPlan, PutsAReturnedCallerBeforeOthersOfItsPriorityOnly)
{
    const ServiceId service("s");
    WaitingQueues queues;
    queues.add(service, { 1, 1, RequestId(1), 0, false });
    queues.add(service, { 1, 2, RequestId(2), 0, true });
    queues.add(service, { 1, 3, RequestId(3), 0, true });
    queues.add(service, { 0, 4, RequestId(4), 0, false });
    queues.add(service, { 2, 5, RequestId(5), 0, true });
    std::vector<std::uint64_t> order;
    for (const WaitingEntry &entry : queues.first(service, 10))
        order.push_back(entry.request.number());
    const std::vector<std::uint64_t> expected { 4, 2, 3, 1, 5 };
    CHECK(order == expected);
}

// Pattern: callers that are refused together by a gateway with full targets.
TEST(ReturnPlan, RefusedCallersAreAskedToReturnWithinAThirdOfTheirTimeAtDifferentTimes)
{
    GatewayOptions options = sampleOptions();
    options.features.isRoomContended = true;
    GatewayBench bench(options);
    bench.begin(sampleConfig(), sampleTargets(2));
    std::set<std::int64_t> waits;
    int refused = 0;
    for (std::uint64_t id = 1; id <= 60; ++id) {
        RequestArrived arrived = bench.arrival(id, openPath);
        arrived.deadline = Duration::millis(1800);
        bench.reduce(arrived);
        for (const Ended &ended : bench.takeEnded()) {
            CHECK_EQUAL(503, ended.status);
            CHECK(ended.retryAfter > Duration());
            CHECK(ended.retryAfter <= Duration::millis(600));
            waits.insert(ended.retryAfter.toMillis());
            ++refused;
        }
    }
    CHECK(refused >= 40);
    CHECK(waits.size() > 20);
}
