#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

#include "bluebellshift/core/fairqueue.h"

using namespace bluebellshift::core;

TEST_GROUP(FairQueue)
{
    bool push(std::uint64_t request, const char *team, const char *service, int untilMillis)
    {
        return queue_.push({ RequestId(request), TeamId(team), ServiceId(service),
                             Instant::fromMicros(untilMillis * 1000) });
    }

    // Serves one request of the next team and returns the team.
    std::string serveNextTeam()
    {
        const LaneId lane = queue_.lanes().front();
        queue_.popServed(lane);
        return lane.team.text();
    }

    FairQueue queue_ { 100 };
};

TEST(FairQueue, MostUrgentRequestOfALaneIsServedFirst)
{
    push(1, "a", "rota", 30);
    push(2, "a", "rota", 10);
    push(3, "a", "fund", 5);
    CHECK(queue_.front({ TeamId("a"), ServiceId("rota") }) == RequestId(2));
    CHECK(queue_.nextExpiry() == Instant::fromMicros(5000));
    CHECK(queue_.takeExpired(Instant::fromMicros(10'000)).size() == 2);
    CHECK(queue_.front({ TeamId("a"), ServiceId("rota") }) == RequestId(1));
}

TEST(FairQueue, QueueLengthIsBoundedPerTeam)
{
    for (int i = 0; i < 100; ++i)
        CHECK(push(i + 1, "a", i % 2 == 0 ? "rota" : "fund", 10));
    CHECK(!push(200, "a", "rota", 10));
    CHECK(push(201, "b", "rota", 10));
    CHECK(queue_.remove(RequestId(1)));
    CHECK(push(202, "a", "rota", 10));
}

TEST(FairQueue, BacklogOfOneTeamDelaysNoOtherTeam)
{
    for (int i = 0; i < 100; ++i)
        push(i + 1, "a", i % 2 == 0 ? "rota" : "fund", 10);
    for (int i = 0; i < 20; ++i)
        serveNextTeam();
    push(500, "b", "rota", 10);
    const std::string first = serveNextTeam();
    CHECK(first == "b" || serveNextTeam() == "b");
}

// A team whose queue holds one request at a time must not starve a team with a
// backlog either.
TEST(FairQueue, TeamsWithRequestsAreServedEqually)
{
    std::mt19937_64 random(41);
    std::map<std::string, int> served;
    std::uint64_t request = 0;
    for (int i = 0; i < 100; ++i)
        push(++request, "z", "rota", 10);
    push(++request, "a", "rota", 10);
    for (int i = 0; i < 400; ++i) {
        const std::string team = serveNextTeam();
        ++served[team];
        push(++request, team.c_str(), random() % 2 == 0 ? "rota" : "fund", 10);
    }
    CHECK_EQUAL(200, served["a"]);
    CHECK_EQUAL(200, served["z"]);
}
