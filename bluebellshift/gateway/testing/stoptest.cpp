// A planned stop: what is accepted until the process ends, and when the rest ends.
#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr Duration killMargin = Duration::millis(250); // to write the last responses
const std::int64_t graces[] = { 2000, 3100, 4500, 6000, 10000 };

// Fires the timers at the times that the reducer asks for and no others, up to `until`.
void runOnlyWakes(GatewayBench &bench, Instant until)
{
    for (Instant next = bench.reducer().nextWake(); next < until; next = bench.reducer().nextWake())
        bench.advance(std::max(Duration::micros(1), next - bench.now()));
}

} // namespace

TEST_GROUP(Stop)
{
    GatewayBench bench_;

    void begin(Duration grace)
    {
        bench_.begin(sampleConfig(), sampleTargets(6));
        bench_.advance(Duration::millis(130));
        stoppedAt_ = bench_.now();
        killedAt_ = stoppedAt_ + grace;
        bench_.reduce(StopRequested { grace });
    }

    Instant stoppedAt_;
    Instant killedAt_;
};

// Guards against requests that are still at work when the process is killed and get no response.
TEST(Stop, EveryRequestEndsBeforeTheProcessIsKilled)
{
    for (const std::int64_t grace : graces) {
        GatewayBench bench;
        bench.begin(sampleConfig(), sampleTargets(6));
        bench.advance(Duration::millis(130));
        RequestArrived arrived = bench.arrival(1, swapPath);
        arrived.deadline = Duration::seconds(60);
        auto config = sampleConfig(2);
        for (RouteRule &rule : config->hosts[0].rules)
            rule.timeout = Duration::seconds(60);
        bench.putConfig(config);
        bench.reduce(arrived);
        CHECK(bench.takeSent().size() == 1);
        const Instant killedAt = bench.now() + Duration::millis(grace);
        bench.reduce(StopRequested { Duration::millis(grace) });
        runOnlyWakes(bench, killedAt - killMargin);
        CHECK_TEXT(bench.takeEnded().size() == 1, fmt::format("grace {} ms", grace).c_str());
    }
}

// Guards against requests that are accepted late in the grace and are cut at its end.
TEST(Stop, NoRequestIsAcceptedInTheSecondHalfOfTheGrace)
{
    for (const std::int64_t grace : graces) {
        GatewayBench bench;
        bench.begin(sampleConfig(), sampleTargets(6));
        bench.advance(Duration::millis(130));
        const Instant halfAt = bench.now() + Duration::millis(grace) / 2;
        bench.request(1); // keeps the process from leaving
        bench.reduce(StopRequested { Duration::millis(grace) });
        runOnlyWakes(bench, halfAt + Duration::millis(1));
        bench.takeSent();
        bench.request(2, swapPath);
        CHECK_TEXT(bench.takeSent().empty(), fmt::format("grace {} ms", grace).c_str());
    }
}

// Guards against a request that may not be repeated and is cut at the end of the grace, because it
// was accepted when its expected time no longer fitted.
TEST(Stop, ARequestThatIsNotExpectedToEndInTimeIsRefusedAtOnce)
{
    begin(Duration::seconds(2));
    bench_.request(1, swapPath);
    CHECK(bench_.takeSent().size() == 1);
    bench_.advance(Duration::millis(800)); // 0.9 s are left, of an expected 0.6 s
    bench_.request(2, swapPath);
    const std::vector<Ended> ended = bench_.takeEnded();
    CHECK(bench_.takeSent().empty());
    CHECK(ended.size() == 1);
    CHECK_EQUAL(503, ended[0].status);
    CHECK(ended[0].retryAfter > Duration());
    bench_.request(3, readPath); // may be repeated
    CHECK(bench_.takeSent().size() == 1);
}
