// What targets say of themselves. Patterns that this answers: targets that stop without telling the
// registry, and targets that are overloaded and ask for a pause, while callers keep sending.
#include "bluebellshift/gateway/targets/targetsignals.h"

#include <set>

#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::targets;
using namespace bluebellshift::gateway::testing;
using State = TargetSignals::State;

namespace {

const TargetStart start { TargetId("t0"), 1000 };
const TargetStart nextStart { TargetId("t0"), 2000 };

AttemptEnded success()
{
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::Answered;
    ended.status = 200;
    ended.isAuthentic = true;
    return ended;
}

AttemptEnded leaving()
{
    AttemptEnded ended = success();
    ended.saysLeaving = true;
    return ended;
}

AttemptEnded pauseOf(Duration pause)
{
    AttemptEnded ended = success();
    ended.status = 503;
    ended.saysNotRun = true;
    ended.isAuthentic = false;
    ended.pause = pause;
    return ended;
}

AttemptEnded withWork(int percent)
{
    AttemptEnded ended = success();
    ended.load = LoadReport { 1, 0, 4, percent };
    return ended;
}

bool isText(const core::LogRecord &record, const core::LogEvent &event)
{
    return record.event.number == event.number;
}

} // namespace

TEST_GROUP(TargetSignals)
{
    std::vector<core::LogRecord> logs;
    TargetSignals signals { [this](core::LogRecord record) { logs.push_back(std::move(record)); } };
    Instant now = Instant::fromMicros(1'000'000);
};

// Guards against requests to a target that is about to stop and whose entry still says ready.
TEST(TargetSignals, ALeavingTargetStaysOutUntilItStartsAnew)
{
    signals.onResponse(start, leaving(), now);
    CHECK(signals.stateOf(start, now) == State::Leaving);
    signals.onResponse(start, success(), now + Duration::millis(10)); // one sent before
    CHECK(signals.stateOf(start, now + Duration::seconds(300)) == State::Leaving);
    CHECK(signals.stateOf(nextStart, now) == State::Usable);
    LONGS_EQUAL(1, logs.size());
}

// Guards against more than two requests within the time that a target named.
TEST(TargetSignals, APausedTargetGetsNothingUntilTheEndThenOneRequestAtATime)
{
    signals.onResponse(start, pauseOf(Duration::seconds(3)), now);
    CHECK(signals.stateOf(start, now + Duration::millis(2999)) == State::Paused);
    CHECK(*signals.pauseEnd(start, now) == now + Duration::seconds(3));
    now = now + Duration::seconds(3);
    CHECK(signals.stateOf(start, now) == State::Usable);
    signals.onSent(start, now);
    CHECK(signals.stateOf(start, now + Duration::millis(10)) == State::Paused);
    CHECK(signals.stateOf(start, now + TargetSignals::probeInterval) == State::Usable);
    signals.onResponse(start, success(), now + Duration::millis(50));
    CHECK(signals.stateOf(start, now + Duration::millis(50)) == State::Usable);
    signals.onSent(start, now + Duration::millis(60));
    CHECK(signals.stateOf(start, now + Duration::millis(60)) == State::Usable);
}

// Guards against a pause that a response of a request sent before it cuts short.
TEST(TargetSignals, NeitherASuccessNorAShorterPauseCutsAPauseShort)
{
    signals.onResponse(start, pauseOf(Duration::seconds(3)), now);
    signals.onResponse(start, success(), now + Duration::millis(20));
    signals.onResponse(start, pauseOf(Duration::seconds(1)), now + Duration::millis(40));
    CHECK(signals.stateOf(start, now + Duration::millis(2900)) == State::Paused);
}

TEST(TargetSignals, ARejectionAfterThePauseBeginsTheNextOne)
{
    signals.onResponse(start, pauseOf(Duration::seconds(1)), now);
    now = now + Duration::seconds(1);
    signals.onSent(start, now);
    signals.onResponse(start, pauseOf(Duration::seconds(2)), now);
    CHECK(signals.stateOf(start, now + Duration::millis(1900)) == State::Paused);
    CHECK(signals.stateOf(start, now + Duration::millis(2000)) == State::Usable);
}

// Guards against a target that is lost for a day by a mistaken number.
TEST(TargetSignals, PausesAreBounded)
{
    signals.onResponse(start, pauseOf(Duration::seconds(24 * 3600)), now);
    CHECK(*signals.pauseEnd(start, now) == now + TargetSignals::maxPause);
    CHECK(signals.stateOf(nextStart, now) == State::Usable);
}

TEST(TargetSignals, ATargetThatSaysBothLeaves)
{
    AttemptEnded both = pauseOf(Duration::seconds(1));
    both.saysLeaving = true;
    signals.onResponse(start, both, now);
    CHECK(signals.stateOf(start, now + Duration::seconds(5)) == State::Leaving);
    CHECK(!signals.pauseEnd(start, now).has_value());
}

// Guards against choices by a pace that no longer holds: it changes within workAge.
TEST(TargetSignals, ThePaceLosesItsWeightWithItsAge)
{
    const struct
    {
        int percent;
        int ageMillis;
        double factor;
    } cases[] = {
        { 100, 0, 1 },    { 250, 0, 2.5 },   { 250, 300, 1.75 }, { 250, 600, 1 },
        { 250, 6000, 1 }, { 10'000, 0, 10 }, { 1, 0, 0.2 },
    };
    for (const auto &one : cases) {
        signals.onResponse(start, withWork(one.percent), now);
        DOUBLES_EQUAL(one.factor, signals.workFactor(start, now + Duration::millis(one.ageMillis)),
                      1e-6);
        now = now + Duration::seconds(10);
    }
    DOUBLES_EQUAL(1, signals.workFactor(nextStart, now), 0);
}

// Guards against other VMs that go on sending until each has heard of the stop by itself, and
// against a report that goes around among VMs for ever.
TEST(TargetSignals, OnlyWhatThisVmHeardItselfIsReported)
{
    signals.onReport(start, Duration::seconds(1), VmId("vm-2"), now);
    CHECK(signals.stateOf(start, now) == State::Leaving);
    CHECK(signals.reports(now).empty());
    signals.onResponse(nextStart, leaving(), now);
    CHECK_EQUAL(1, signals.reports(now).size());
    CHECK(signals.reports(now + TargetSignals::reportTime + Duration::millis(1)).empty());
}

TEST(TargetSignals, AnOldReportIsIgnored)
{
    signals.onReport(start, TargetSignals::reportTime + Duration::millis(1), VmId("vm-2"), now);
    CHECK(signals.stateOf(start, now) == State::Usable);
}

// Guards against memory that grows with each target that ever existed.
TEST(TargetSignals, OldStateIsDropped)
{
    signals.onResponse(start, leaving(), now);
    signals.prune(now + TargetSignals::memory);
    CHECK_EQUAL(1, signals.leavingCount());
    signals.prune(now + TargetSignals::memory + Duration::millis(1));
    CHECK_EQUAL(0, signals.leavingCount());
}

TEST_GROUP(SignalsOfTargets)
{
    GatewayBench bench;
    std::uint64_t lastRequest = 0;

    // Sends a request and returns its target; empty: it was not sent.
    std::string route()
    {
        bench.takeSent();
        bench.request(++lastRequest);
        const std::vector<SendAttempt> sent = bench.takeSent();
        return sent.empty() ? "" : sent.front().target.text();
    }

    // Sends requests that are served until one has gone to the target, which is left pending.
    void routeTo(const std::string &target)
    {
        for (int i = 0; i < 200; ++i) {
            if (route() == target)
                return;
            bench.answer(lastRequest, 200);
        }
        FAIL("the target got no request");
    }

    void checkGetsNothing(const std::string &target, int requests)
    {
        for (int i = 0; i < requests; ++i) {
            CHECK(route() != target);
            bench.answer(lastRequest, 200);
            bench.advance(Duration::millis(20));
        }
    }
};

// Guards against DRAIN broken where the registry knows nothing of the stop.
TEST(SignalsOfTargets, ALeavingTargetGetsNothingThoughItsEntrySaysReadyAndReturns)
{
    std::vector<Target> targets = sampleTargets(4);
    bench.begin(sampleConfig(), targets);
    routeTo("t0");
    bench.finish(lastRequest, leaving());
    checkGetsNothing("t0", 100);
    bench.removeTarget(TargetId("t0"));
    bench.advance(Duration::millis(500));
    bench.putTarget(targets[0]);
    bench.advance(Duration::millis(500));
    checkGetsNothing("t0", 100);
    targets[0].startUnixMillis += 5000;
    bench.putTarget(targets[0]);
    bench.advance(Duration::millis(500));
    routeTo("t0");
}

// Guards against a signal that is lost because the registry lists the target's end first.
TEST(SignalsOfTargets, AResponseAfterTheEntryIsGoneStillCounts)
{
    const std::vector<Target> targets = sampleTargets(4);
    bench.begin(sampleConfig(), targets);
    routeTo("t0");
    bench.removeTarget(TargetId("t0"));
    bench.advance(Duration::millis(500));
    bench.finish(lastRequest, leaving());
    bench.putTarget(targets[0]);
    bench.advance(Duration::millis(500));
    checkGetsNothing("t0", 100);
}

// Guards against callers that wait, or are sent elsewhere in vain, when no target takes requests.
TEST(SignalsOfTargets, IfAllTargetsArePausedRequestsAreRefusedAtOnceUntilTheFirstReturns)
{
    bench.begin(sampleConfig(), sampleTargets(3));
    std::set<std::string> paused;
    while (paused.size() < 3) {
        paused.insert(route());
        const auto pause = Duration::millis(900 + 100 * static_cast<int>(paused.size()));
        bench.finish(lastRequest, pauseOf(pause));
        for (const SendAttempt &retry : bench.takeSent()) {
            paused.insert(retry.target.text());
            bench.finish(lastRequest, pauseOf(Duration::millis(1400)));
        }
    }
    bench.takeEnded();
    STRCMP_EQUAL("", route().c_str());
    const std::vector<Ended> ended = bench.takeEnded();
    CHECK_EQUAL(1, ended.size());
    LONGS_EQUAL(503, ended.front().status);
    STRCMP_EQUAL("targets-unavailable", ended.front().reason.c_str());
    CHECK(ended.front().retryAfter > Duration::millis(900));
    CHECK(ended.front().retryAfter <= Duration::millis(1500));
}

// Guards against a VM that learns of a stop only by its own requests.
TEST(SignalsOfTargets, AReportOfAnotherVmKeepsRequestsAway)
{
    VmEntry other;
    other.id = VmId("vm-2");
    other.incarnation = Incarnation(3);
    other.region = RegionId("near");
    other.failureDomain = FailureDomainId("near-2");
    bench.begin(sampleConfig(), sampleTargets(4), { other });
    PeerReportReceived received;
    received.from = other.id;
    received.incarnation = other.incarnation;
    received.report.sequence = 1;
    received.report.isReady = true;
    received.report.leavingTargets = { { hashOf(TargetId("t1")), 0, 100 } };
    bench.reduce(received);
    checkGetsNothing("t1", 100);
    int logged = 0;
    for (const core::LogRecord &record : bench.logs())
        logged += isText(record, core::log::targetLeaving) ? 1 : 0;
    LONGS_EQUAL(1, logged);
}
