#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/testing/dispatchbench.h"

using namespace bluebellshift::core;
using namespace bluebellshift::core::testing;

TEST_GROUP(TargetChooser)
{
    void setup() override
    {
        chooser_.update(world_.targets, now_);
    }

    Ranking rank(const RegionId &region = punjab)
    {
        return chooser_.rank(world_.targets, region, {}, random_++, waited_, now_);
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
        chooser_.onEnded(TargetId(target), sentAt, ended, world_.targets, now_, changes_);
    }

    Exclusion exclusion(const char *target)
    {
        for (const TargetEvaluation &considered : rank().considered) {
            if (considered.target->id == TargetId(target))
                return considered.exclusion;
        }
        return Exclusion::None;
    }

    World world_;
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

TEST(TargetChooser, AReportCountsLessWithItsAge)
{
    end("t1", AttemptOutcome::Answered, 10, 2);
    end("t2", AttemptOutcome::Answered, 10, 0);
    STRCMP_EQUAL("t2", best().c_str());
    chooser_.onSent(TargetId("t2"), now_);
    STRCMP_EQUAL("t2", best().c_str()); // one of ours against two reported
    now_ = now_ + TargetChooser::reportDecayTime;
    chooser_.onEnded(TargetId("t9"), now_, {}, world_.targets, now_, changes_);
    STRCMP_EQUAL("t1", best().c_str());
}

TEST(TargetChooser, ASlowTargetIsAvoidedWhateverItReports)
{
    for (int i = 0; i < 50; ++i)
        end("t2", AttemptOutcome::Answered, 10, 0);
    end("t1", AttemptOutcome::Answered, 100, 0);
    chooser_.onSent(TargetId("t2"), now_);
    STRCMP_EQUAL("t2", best().c_str());

    budget_.set(slotAccount(TargetId("t2")), 0);
    CHECK(rank().usable.empty()); // its 100 ms against the usual 10 ms: better wait
    waited_ = Duration::millis(80);
    CHECK(exclusion("t1") == Exclusion::Slow);
    waited_ = Duration::millis(150);
    CHECK(exclusion("t1") == Exclusion::None);
    waited_ = Duration();
    world_.targets[1].isLeaving = true; // nothing faster to wait for
    CHECK(exclusion("t1") == Exclusion::None);
    world_.targets[1].isLeaving = false;
    budget_.set(slotAccount(TargetId("t2")), 1);
    now_ = now_ + Duration::seconds(60); // what was measured has faded
    STRCMP_EQUAL("t1", best().c_str());
}

TEST(TargetChooser, ALeavingTargetIsRuledOutByWhateverWayItIsKnown)
{
    end("t1", AttemptOutcome::Answered, 10, 0, true);
    CHECK(exclusion("t1") == Exclusion::Leaving);
    chooser_.onProbeEnded({ TargetId("t1"), true, false, 0 }, now_, changes_);
    CHECK(exclusion("t1") == Exclusion::None);
    chooser_.onProbeEnded({ TargetId("t1"), false, true, 0 }, now_, changes_);
    CHECK(exclusion("t1") == Exclusion::Leaving);
    world_.targets[1].isLeaving = true;
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
    world_.targets[1].isLeaving = true; // only the ejected one is left
    CHECK(exclusion("t1") == Exclusion::None);
    world_.targets[1].isLeaving = false;

    CHECK(!chooser_.startDueProbes(world_.targets, now_).empty());
    chooser_.onProbeEnded({ TargetId("t1"), true, false, 0 }, now_, changes_);
    CHECK(exclusion("t1") == Exclusion::None);
    end("t1", AttemptOutcome::ConnectFailed); // one more is enough
    CHECK(exclusion("t1") == Exclusion::Ejected);
}

TEST(TargetChooser, SheddingIsHonouredForLongerEachTime)
{
    end("t1", AttemptOutcome::Shed);
    CHECK(exclusion("t1") == Exclusion::Shedding);
    now_ = now_ + TargetChooser::baseShedBackoff;
    CHECK(exclusion("t1") == Exclusion::None);
    end("t1", AttemptOutcome::Shed);
    now_ = now_ + TargetChooser::baseShedBackoff;
    CHECK(exclusion("t1") == Exclusion::Shedding);
}

TEST(TargetChooser, ALaterTargetIsRampedUp)
{
    Target cold = world_.targets[0];
    cold.id = TargetId("t5");
    cold.slots = 4;
    world_.targets.push_back(cold);
    chooser_.update(world_.targets, now_);
    chooser_.onSent(TargetId("t5"), now_);
    CHECK(exclusion("t5") == Exclusion::Warming);
    chooser_.onSent(TargetId("t1"), now_);
    chooser_.onSent(TargetId("t2"), now_);
    CHECK(exclusion("t1") == Exclusion::None); // those of the first list are warm
    now_ = now_ + TargetChooser::rampTime;
    CHECK(exclusion("t5") == Exclusion::None);
}

TEST(TargetChooser, ProbesOnlyWhatIsUsed)
{
    for (const Target &target : world_.targets)
        budget_.set(slotAccount(target.id), 0);
    CHECK(chooser_.startDueProbes(world_.targets, now_).empty());
    budget_.set(slotAccount(TargetId("t3")), 1);
    CHECK_EQUAL(1U, chooser_.startDueProbes(world_.targets, now_).size());
    CHECK(chooser_.startDueProbes(world_.targets, now_).empty()); // one is under way
    chooser_.onProbeEnded({ TargetId("t3"), true, false, 0 }, now_, changes_);
    now_ = now_ + Duration::seconds(1);
    CHECK(chooser_.startDueProbes(world_.targets, now_).empty());
    now_ = now_ + Duration::seconds(1);
    end("t3", AttemptOutcome::Answered); // need not have told that it leaves
    CHECK_EQUAL(1U, chooser_.startDueProbes(world_.targets, now_).size());
}

// A quiet target's notice that it leaves is known in less than 3 s.
TEST(TargetChooser, EveryQuietTargetHasItsTurn)
{
    while (world_.targets.size() < 50) {
        world_.targets.push_back(world_.targets[0]);
        world_.targets.back().id = TargetId(std::to_string(world_.targets.size()));
    }
    chooser_.update(world_.targets, now_);
    std::map<TargetId, Instant> heard;
    Duration longest;
    for (int call = 0; call < 60; ++call) {
        for (const Target *target : chooser_.startDueProbes(world_.targets, now_)) {
            if (heard.count(target->id) > 0)
                longest = std::max(longest, now_ - heard[target->id]);
            heard[target->id] = now_;
            chooser_.onProbeEnded({ target->id, true, false, 0 }, now_, changes_);
        }
        now_ = now_ + TargetChooser::probeRoundInterval;
    }
    CHECK_EQUAL(world_.targets.size(), heard.size());
    CHECK(longest <= Duration::millis(2500));
}
