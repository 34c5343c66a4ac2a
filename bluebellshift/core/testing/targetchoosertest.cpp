#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/testing/dispatchbench.h"

using namespace bluebellshift::core;
using namespace bluebellshift::core::testing;

TEST_GROUP(TargetChooser)
{
    void setup() override
    {
        chooser_.update(cluster_.targets, now_);
    }

    Ranking rank(const RegionId &region = punjab)
    {
        return chooser_.rank(cluster_.targets, region, {}, random_++, waited_, now_);
    }

    std::string best()
    {
        return rank().usable.at(0)->id.text();
    }

    void end(const char *target, AttemptOutcome outcome, int tookMillis = 10, int busySlots = -1,
             bool isLeaving = false)
    {
        chooser_.onSent(TargetId(target), now_);
        const Instant sentAt = now_;
        now_ = now_ + Duration::millis(tookMillis);
        AttemptEnded ended;
        ended.outcome = outcome;
        ended.answer = std::make_shared<const Answer>(Answer { 200, {}, "" });
        ended.reportedBusySlots = busySlots;
        ended.targetLeaving = isLeaving;
        chooser_.onEnded(TargetId(target), sentAt, ended, cluster_.targets, now_, changes_);
    }

    Exclusion exclusion(const char *target)
    {
        for (const TargetEvaluation &considered : rank().considered) {
            if (considered.target->id == TargetId(target))
                return considered.exclusion;
        }
        return Exclusion::None;
    }

    ClusterState cluster_;
    FakeBudget budget_;
    TargetChooser chooser_ { budget_.hooks() };
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::uint64_t random_ = 0;
    Duration waited_;
    std::vector<LogRecord> changes_;
};

TEST(TargetChooser, OwnRequestsInFlightCountFirst)
{
    chooser_.onSent(TargetId("t1"), now_);
    for (int i = 0; i < 8; ++i)
        STRCMP_EQUAL("t2", best().c_str());
}

TEST(TargetChooser, ReportLosesWeightWithAge)
{
    end("t1", AttemptOutcome::Answered, 10, 2);
    end("t2", AttemptOutcome::Answered, 10, 0);
    STRCMP_EQUAL("t2", best().c_str());
    chooser_.onSent(TargetId("t2"), now_);
    STRCMP_EQUAL("t2", best().c_str()); // one own request in flight against two reported slots
    now_ = now_ + TargetChooser::reportDecayTime;
    chooser_.onEnded(TargetId("t9"), now_, {}, cluster_.targets, now_, changes_);
    STRCMP_EQUAL("t1", best().c_str());
}

TEST(TargetChooser, SlowTargetIsAvoidedWhateverLoadItReports)
{
    for (int i = 0; i < 50; ++i)
        end("t2", AttemptOutcome::Answered, 10, 0);
    end("t1", AttemptOutcome::Answered, 100, 0);
    chooser_.onSent(TargetId("t2"), now_);
    STRCMP_EQUAL("t2", best().c_str());

    budget_.set(slotAccount(TargetId("t2")), 0);
    CHECK(rank().usable.empty()); // waiting beats 100 ms against the usual 10 ms
    waited_ = Duration::millis(80);
    CHECK(exclusion("t1") == Exclusion::Slow);
    waited_ = Duration::millis(150);
    CHECK(exclusion("t1") == Exclusion::None);
    waited_ = Duration();
    cluster_.targets[1].isLeaving = true; // no faster target to wait for
    CHECK(exclusion("t1") == Exclusion::None);
    cluster_.targets[1].isLeaving = false;
    budget_.set(slotAccount(TargetId("t2")), 1);
    now_ = now_ + Duration::seconds(60); // the latency measurements have decayed
    STRCMP_EQUAL("t1", best().c_str());
}

TEST(TargetChooser, LeavingTargetIsExcludedWhateverTheSource)
{
    end("t1", AttemptOutcome::Answered, 10, 0, true);
    CHECK(exclusion("t1") == Exclusion::Leaving);
    chooser_.onProbeEnded({ TargetId("t1"), true, false, 0 }, now_, changes_);
    CHECK(exclusion("t1") == Exclusion::None);
    chooser_.onProbeEnded({ TargetId("t1"), false, true, 0 }, now_, changes_);
    CHECK(exclusion("t1") == Exclusion::Leaving);
    cluster_.targets[1].isLeaving = true;
    CHECK(exclusion("t2") == Exclusion::Leaving);
    CHECK(rank().usable.empty());
}

TEST(TargetChooser, NeverEjectsAWholeRegion)
{
    for (const char *target : { "t1", "t2" }) {
        for (int i = 0; i < TargetChooser::failuresToEject; ++i)
            end(target, AttemptOutcome::ConnectFailed);
    }
    CHECK(exclusion("t1") == Exclusion::Ejected);
    CHECK(exclusion("t2") == Exclusion::None);
    cluster_.targets[1].isLeaving = true; // only the ejected target remains
    CHECK(exclusion("t1") == Exclusion::None);
    cluster_.targets[1].isLeaving = false;

    CHECK(!chooser_.startDueProbes(cluster_.targets, now_).empty());
    chooser_.onProbeEnded({ TargetId("t1"), true, false, 0 }, now_, changes_);
    CHECK(exclusion("t1") == Exclusion::None);
    end("t1", AttemptOutcome::ConnectFailed); // one more failure ejects it again
    CHECK(exclusion("t1") == Exclusion::Ejected);
}

TEST(TargetChooser, ShedBackoffGrowsEachTime)
{
    end("t1", AttemptOutcome::Shed);
    CHECK(exclusion("t1") == Exclusion::Shedding);
    now_ = now_ + TargetChooser::baseShedBackoff;
    CHECK(exclusion("t1") == Exclusion::None);
    end("t1", AttemptOutcome::Shed);
    now_ = now_ + TargetChooser::baseShedBackoff;
    CHECK(exclusion("t1") == Exclusion::Shedding);
}

TEST(TargetChooser, TargetAddedLaterIsRampedUp)
{
    Target cold = cluster_.targets[0];
    cold.id = TargetId("t5");
    cold.slots = 4;
    cluster_.targets.push_back(cold);
    chooser_.update(cluster_.targets, now_);
    chooser_.onSent(TargetId("t5"), now_);
    CHECK(exclusion("t5") == Exclusion::Warming);
    chooser_.onSent(TargetId("t1"), now_);
    chooser_.onSent(TargetId("t2"), now_);
    CHECK(exclusion("t1") == Exclusion::None); // targets of the first list start warm
    now_ = now_ + TargetChooser::rampTime;
    CHECK(exclusion("t5") == Exclusion::None);
}

TEST(TargetChooser, ProbesOnlyTargetsInUse)
{
    for (const Target &target : cluster_.targets)
        budget_.set(slotAccount(target.id), 0);
    CHECK(chooser_.startDueProbes(cluster_.targets, now_).empty());
    budget_.set(slotAccount(TargetId("t3")), 1);
    CHECK_EQUAL(1U, chooser_.startDueProbes(cluster_.targets, now_).size());
    CHECK(chooser_.startDueProbes(cluster_.targets, now_).empty()); // one probe is in flight
    chooser_.onProbeEnded({ TargetId("t3"), true, false, 0 }, now_, changes_);
    now_ = now_ + Duration::seconds(1);
    CHECK(chooser_.startDueProbes(cluster_.targets, now_).empty());
    now_ = now_ + Duration::seconds(1);
    end("t3", AttemptOutcome::Answered); // an answer need not report that the target is leaving
    CHECK_EQUAL(1U, chooser_.startDueProbes(cluster_.targets, now_).size());
}

// Guards the bound of 3 s until an idle target's notice of leaving is known.
TEST(TargetChooser, EveryIdleTargetIsProbedInTurn)
{
    while (cluster_.targets.size() < 50) {
        cluster_.targets.push_back(cluster_.targets[0]);
        cluster_.targets.back().id = TargetId(std::to_string(cluster_.targets.size()));
    }
    chooser_.update(cluster_.targets, now_);
    std::map<TargetId, Instant> lastProbedAt;
    Duration maxInterval;
    for (int call = 0; call < 60; ++call) {
        for (const Target *target : chooser_.startDueProbes(cluster_.targets, now_)) {
            if (lastProbedAt.count(target->id) > 0)
                maxInterval = std::max(maxInterval, now_ - lastProbedAt[target->id]);
            lastProbedAt[target->id] = now_;
            chooser_.onProbeEnded({ target->id, true, false, 0 }, now_, changes_);
        }
        now_ = now_ + TargetChooser::probeRoundInterval;
    }
    CHECK_EQUAL(cluster_.targets.size(), lastProbedAt.size());
    CHECK(maxInterval <= Duration::millis(2500));
}
