#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/rolloutcontroller.h"

using namespace bluebellshift::core;

namespace {

BundlePointer makeBundle(const char *version, double north)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->version = version;
    bundle->regions = { { RegionId("north"), 100, 0.5, {} }, { RegionId("south"), 100, 0.5, {} } };
    Service service;
    service.id = ServiceId("rota");
    service.split = { { RegionId("north"), north }, { RegionId("south"), 1 - north } };
    service.shiftCapFraction = 0.25;
    service.shiftWindow = Duration::seconds(60);
    service.cacheTime = Duration::seconds(5);
    bundle->services.push_back(service);
    return bundle;
}

} // namespace

// One VM's RolloutController with a roll-out of three steps. The test acts as the
// platform.
TEST_GROUP(RolloutController)
{
    BundlePointer before = makeBundle("1", 0.8);
    BundlePointer after = makeBundle("2", 0.2);
    bool isInForce = true;
    std::optional<std::string> unhealthy;
    std::vector<RegionId> unsettled;
    Duration lease; // zero unless a test sets it
    bool hasQuorum = true;
    bool mayAct = true;
    int rank = 0;
    std::uint64_t calls = 0;
    WallTime wallTime;
    Instant now = Instant::fromMicros(1'000'000);
    Revision version { 10 };
    Rollout rollout =
        *beginRollout(firstRollout(*before, "operator", {}), *before, *after, "operator", {});
    std::unique_ptr<RolloutController> controller = makeController();
    std::optional<WriteObject> lastWrite;

    std::unique_ptr<RolloutController> makeController()
    {
        CoreOptions options;
        options.vm = VmId("vm-1");
        options.clockDrift = 0;
        options.freshnessLease = lease;
        RolloutControllerHooks hooks;
        hooks.isInForceEverywhere = [this](Revision, Instant) { return isInForce; };
        hooks.isHeldByQuorum = [this](Revision) { return hasQuorum; };
        hooks.mayAct = [this](Instant) { return mayAct; };
        hooks.unhealthyReason = [this](Instant) { return unhealthy; };
        hooks.unsettledRegions = [this]() { return unsettled; };
        hooks.rank = [this](Revision) { return rank; };
        hooks.newCall = [this]() { return CallId(++calls); };
        return std::make_unique<RolloutController>(options, hooks);
    }

    void install()
    {
        controller->onViewChanged(after, before, rollout, version, now);
    }

    // Advances the clock and returns the roll-out that the controller writes, if any.
    std::optional<Rollout> tick(Duration elapsed = Duration())
    {
        now = now + elapsed;
        for (const Effect &effect : controller->onTimer(now, wallTime)) {
            if (const auto *write = std::get_if<WriteObject>(&effect)) {
                lastWrite = *write;
                return *decodeRollout(write->value);
            }
        }
        return std::nullopt;
    }

    Effects reply(PlatformOutcome outcome, Revision stored = {}, const std::string &value = "")
    {
        return controller->onPlatformReplied(
            { CallId(calls), outcome, { kind::rollout, rolloutName, stored, value } });
    }

    // The write of `next` takes effect and is installed through the view.
    void accept(const Rollout &next)
    {
        reply(PlatformOutcome::Done);
        rollout = next;
        version = Revision(version.number() + 1);
        install();
    }
};

TEST(RolloutController, StepsWaitUntilInForceAndForCachesAndWindow)
{
    install();
    std::optional<Rollout> next = tick(); // settled before, so the first step is immediate
    LONGS_EQUAL(1, next->services[0].step);
    LONGS_EQUAL(3, next->services[0].steps);
    LONGS_EQUAL(10, lastWrite->expected.number());
    isInForce = false;
    accept(*next);
    CHECK(!tick(Duration::seconds(300))); // a VM lacks the step
    isInForce = true;
    CHECK(!tick()); // the wait starts when it is first seen in force
    CHECK(!tick(Duration::millis(64999)));
    next = tick(Duration::millis(1));
    LONGS_EQUAL(2, next->services[0].step);
    accept(*next);
    next = tick(Duration::seconds(65));
    accept(*next);
    CHECK(next->services[0].isDone());
    CHECK(next->state == RolloutState::Moving); // not settled yet
    CHECK(!tick(Duration::seconds(64)));
    next = tick(Duration::seconds(1));
    CHECK(next->state == RolloutState::Done);
    accept(*next);
    CHECK(!tick(Duration::seconds(1000)));
}

TEST(RolloutController, StepIsInForceOneLeaseAfterAQuorumHoldsIt)
{
    lease = Duration::seconds(3);
    hasQuorum = false;
    controller = makeController();
    install();
    accept(*tick());
    // No reachable VM lacks the step, but the unreachable ones may be a majority that
    // renews its leases without it.
    CHECK(!tick(Duration::seconds(300)));
    hasQuorum = true;
    CHECK(!tick());
    CHECK(!tick(Duration::seconds(3))); // in force from this instant
    CHECK(!tick(Duration::millis(64999)));
    CHECK(tick(Duration::millis(1)).has_value());
}

TEST(RolloutController, RestartedVmRestartsTheWait)
{
    install();
    accept(*tick());
    now = now + Duration::seconds(60);
    controller = makeController();
    install();
    CHECK(!tick(Duration::seconds(10)));
    LONGS_EQUAL(2, tick(Duration::seconds(55))->services[0].step);
}

TEST(RolloutController, LostReplyIsResolvedByReading)
{
    const struct
    {
        PlatformOutcome write;
        PlatformOutcome read;
        bool tookEffect;
        bool writesAgain;
    } cases[] = {
        { PlatformOutcome::Done, PlatformOutcome::Done, true, false },
        { PlatformOutcome::Conflict, PlatformOutcome::Done, true, false },
        { PlatformOutcome::Unreachable, PlatformOutcome::Done, false, true },
        { PlatformOutcome::Unknown, PlatformOutcome::Done, true, false },
        { PlatformOutcome::Unknown, PlatformOutcome::Done, false, true },
        { PlatformOutcome::Unknown, PlatformOutcome::Unknown, true, false },
        { PlatformOutcome::Unknown, PlatformOutcome::Unreachable, false, false },
        { PlatformOutcome::Unknown, PlatformOutcome::Missing, false, false },
    };
    for (const auto &c : cases) {
        controller = makeController();
        install();
        CHECK(tick().has_value());
        CHECK(!tick(Duration::seconds(1))); // one call at a time
        reply(c.write);
        if (c.write == PlatformOutcome::Unknown) {
            CHECK(!tick()); // reads the object back
            const Revision stored(version.number() + (c.tookEffect ? 1 : 0));
            reply(c.read, stored, lastWrite->value);
        }
        CHECK_EQUAL(c.writesAgain, tick().has_value());
        LONGS_EQUAL(version.number(), lastWrite->expected.number());
    }
}

TEST(RolloutController, BadHealthPausesUntilAnOperatorResumes)
{
    install();
    accept(*tick());
    unhealthy = "latency of south 900 ms";
    std::optional<Rollout> next = tick(Duration::seconds(1));
    CHECK(next->state == RolloutState::Paused);
    STRCMP_EQUAL("latency of south 900 ms", next->reason.c_str());
    accept(*next);
    unhealthy.reset();
    CHECK(!tick(Duration::seconds(1000)));
    rollout = *resumeRollout(rollout, "operator", {});
    version = Revision(20);
    install();
    LONGS_EQUAL(2, tick()->services[0].step); // the wait continued during the pause
    CHECK(!resumeRollout(rollout, "operator", {}).ok());
}

TEST(RolloutController, NoStepWhileARegionIsUnsettled)
{
    install();
    unsettled = { RegionId("south") };
    std::optional<Rollout> next = tick();
    LONGS_EQUAL(1, next->unsettledRegions.size());
    LONGS_EQUAL(0, next->services[0].step);
    CHECK(!next->isSettled); // so the first step waits too
    accept(*next);
    unsettled.clear();
    CHECK(!tick(Duration::seconds(65)));
    while (!(next = tick(Duration::seconds(10))))
        ;
    CHECK(next->unsettledRegions.empty());
    accept(*next);
    CHECK(!tick(Duration::seconds(64)));
    LONGS_EQUAL(1, tick(Duration::seconds(1))->services[0].step);
}

TEST(RolloutController, VmThatMayNotActWritesNothing)
{
    mayAct = false;
    unhealthy = "slow";
    install();
    CHECK(!tick(Duration::seconds(10)));
    mayAct = true;
    unhealthy.reset();
    CHECK(tick().has_value());
}

TEST(RolloutController, MissingBundleChangesNothing)
{
    controller->onViewChanged(before, nullptr, rollout, version, now);
    CHECK(!tick(Duration::seconds(10)));
    install();
    CHECK(tick().has_value());
}

TEST(RolloutController, ScheduledRolloutBeginsOnceAtItsTime)
{
    rollout = firstRollout(*before, "operator", {});
    const auto installFirst = [&] {
        controller->onViewChanged(before, nullptr, rollout, version, now);
    };
    installFirst();
    ScheduledRollout schedule { "2",
                                rollout.serial,
                                WallTime::fromMicros(5'000'000),
                                "2026-12-24T18:00",
                                "Europe/Warsaw",
                                "2025b",
                                "amina" };
    controller->onScheduleChanged(schedule, nullptr); // its bundle is not installed yet
    wallTime = WallTime::fromMicros(6'000'000);
    CHECK(!tick());
    controller->onScheduleChanged(schedule, after);
    wallTime = WallTime::fromMicros(4'999'999);
    CHECK(!tick());
    wallTime = schedule.at;
    rollout.state = RolloutState::Paused;
    installFirst();
    CHECK(!tick());
    rollout.state = RolloutState::Done;
    installFirst();
    const std::optional<Rollout> next = tick();
    STRCMP_EQUAL("2", next->bundle.c_str());
    STRCMP_EQUAL("schedule/amina", next->changedBy.c_str());
    LONGS_EQUAL(rollout.serial + 1, next->serial);
    LONGS_EQUAL(0, next->services[0].step);
    accept(*next);
    const std::optional<Rollout> step = tick();
    LONGS_EQUAL(next->serial, step->serial); // continues and does not begin again
    LONGS_EQUAL(1, step->services[0].step);
    // Another roll-out has begun since, so the schedule is void.
    rollout = firstRollout(*before, "operator", {});
    rollout.serial = 9;
    version = Revision(30);
    controller = makeController();
    installFirst();
    controller->onScheduleChanged(schedule, after);
    CHECK(!tick());
}

TEST(RolloutController, AScheduleIsDecodedStrictly)
{
    const ScheduledRollout schedule {
        "2", 7, WallTime::fromMicros(5), "18:00", "Asia/Karachi", "2025b", "amina"
    };
    const std::string json = encodeSchedule(schedule);
    STRCMP_EQUAL(json.c_str(), encodeSchedule(*decodeSchedule(json)).c_str());
    for (const char *wrong : { "", "[]", "{}", R"({"bundle":"2","at":5})" })
        CHECK(!decodeSchedule(wrong).ok());
}

TEST(RolloutController, VmOfHigherRankWritesLater)
{
    rank = 2;
    install();
    CHECK(!tick());
    CHECK(!tick(Duration::millis(999)));
    CHECK(tick(Duration::millis(1)).has_value());
}
