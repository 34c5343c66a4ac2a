#include "bluebellshift/gateway/admission/urgentroom.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::admission;

namespace {

constexpr int slotsPerTarget = 6;
constexpr int lowest = 9; // priority of a team that changes none

RouteRule routeOf(const std::string &name, int priority, Duration objective)
{
    RouteRule route;
    route.name = name;
    route.priority = priority;
    route.latencyObjective = objective;
    return route;
}

} // namespace

TEST_GROUP(UrgentRoom)
{
    Instant now_ = Instant::fromMicros(7'000'000'000);
    std::map<std::string, Duration> times_ { { "check", Duration::millis(400) },
                                             { "history", Duration::millis(2600) } };
    int slots_ = 600;
    const ServiceId service_ { "s" };
    RouteRule check_ = routeOf("check", 0, Duration::millis(250));
    RouteRule history_ = routeOf("history", 2, Duration::seconds(3));
    UrgentRoom room_ { { [this](const std::string &route) { return times_.at(route); },
                         [this](const ServiceId &, Instant) { return slots_; },
                         [] { return std::size_t { 10 }; } } };

    void offer(const RouteRule &route, double perSecond, Duration time)
    {
        const Duration gap = Duration::micros(static_cast<std::int64_t>(1e6 / perSecond));
        for (Duration passed; passed < time; passed = passed + gap) {
            now_ = now_ + gap;
            room_.onArrived(service_, route, now_);
        }
    }

    double shareFor(const RouteRule &route, int priority = lowest)
    {
        return room_.reservedShare(service_, route, priority, slotsPerTarget, now_);
    }
};

// Guards against urgent requests that find all slots taken by long ones.
TEST(UrgentRoom, LongRequestsLeaveTheSlotsThatUrgentOnesUse)
{
    room_.onArrived(service_, history_, now_);
    offer(check_, 15, Duration::seconds(30));
    // 10 VMs with 15 requests a second of 0.4 s each, of 600 slots.
    DOUBLES_EQUAL(0.1, shareFor(history_), 0.01);
    DOUBLES_EQUAL(0, shareFor(check_), 0);
    offer(check_, 100, Duration::seconds(30));
    DOUBLES_EQUAL(UrgentRoom::maxReservedShare, shareFor(history_), 0);
}

TEST(UrgentRoom, NoRoomIsLeftToRequestsThatCanWait)
{
    room_.onArrived(service_, history_, now_);
    check_.latencyObjective = Duration::seconds(1);
    offer(check_, 15, Duration::seconds(30));
    DOUBLES_EQUAL(0, shareFor(history_), 0);
}

TEST(UrgentRoom, ATeamBeforeTheUrgentRouteLeavesNoRoom)
{
    room_.onArrived(service_, history_, now_);
    offer(check_, 15, Duration::seconds(30));
    CHECK(shareFor(history_, 1) > 0);
    DOUBLES_EQUAL(0, shareFor(history_, 0), 0);
}

TEST(UrgentRoom, TheRoomEndsWithTheUrgentRequests)
{
    room_.onArrived(service_, history_, now_);
    offer(check_, 15, Duration::seconds(30));
    now_ = now_ + Duration::seconds(60);
    CHECK(shareFor(history_) < 1e-6);
}

// Guards against a memory that grows with the routes of all configurations.
TEST(UrgentRoom, IdleRoutesAreForgotten)
{
    for (std::size_t i = 0; i < UrgentRoom::maxRoutes; ++i) {
        const std::string name = "route-" + std::to_string(i);
        times_[name] = Duration::millis(400);
        room_.onArrived(service_, routeOf(name, 1, Duration::seconds(1)), now_);
    }
    offer(check_, 15, Duration::seconds(1));
    DOUBLES_EQUAL(0, shareFor(history_), 0);
    now_ = now_ + Duration::seconds(30);
    room_.onArrived(service_, history_, now_);
    offer(check_, 15, Duration::seconds(1));
    CHECK(shareFor(history_) > 0);
}

TEST(UrgentRoom, EachTargetKeepsAtLeastOneSlot)
{
    const struct
    {
        int slots;
        double share;
        int usable;
    } cases[] = { { 6, 0, 6 },   { 6, 0.1, 5 }, { 6, 0.2, 4 }, { 6, 1.0 / 3, 4 },
                  { 3, 0.1, 2 }, { 2, 0.3, 2 }, { 1, 0.3, 1 } };
    for (const auto &one : cases)
        LONGS_EQUAL(one.usable, UrgentRoom::slotsFor(one.slots, one.share));
}
