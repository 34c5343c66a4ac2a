// The secret of the VMs in a store that has lost it.
#include "bluebellshift/gateway/store/meshsecret.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway::store;
using bluebellshift::core::Duration;
using bluebellshift::core::Instant;

TEST_GROUP(MeshSecret)
{
    std::vector<std::string> used;
    std::vector<std::string> created;
    int lists = 0;
    Instant now = Instant::fromMicros(1'000'000);
    MeshSecret secret { "candidate",
                        { [this](const std::string &hex) { used.push_back(hex); },
                          [this](const std::string &hex) { created.push_back(hex); },
                          [this](Instant) { ++lists; } } };

    void setup() override
    {
        secret.start(3);
    }
    // Advances to the next time at which the secret is to be listed again.
    void wait()
    {
        CHECK(secret.nextWake() != Instant::never());
        now = std::max(now, secret.nextWake());
        secret.onTimer(now);
    }
};

TEST(MeshSecret, AVmWithoutOneWaitsAndListsAgainBeforeItCreatesItsCandidate)
{
    const Instant begin = now;
    secret.onListed(false, 0, now);
    CHECK(created.empty());
    wait();
    CHECK_EQUAL(1, lists);
    CHECK(now - begin >= MeshSecret::minCreateWait);
    CHECK(now - begin <= MeshSecret::minCreateWait + MeshSecret::createSpread);
    secret.onListed(false, 0, now);
    CHECK_EQUAL(1, created.size());
    STRCMP_EQUAL("candidate", created[0].c_str());
}

TEST(MeshSecret, AVmWithoutOneCreatesNoneIfAnotherDidMeanwhile)
{
    secret.onListed(false, 0, now);
    wait();
    secret.onEntry("other");
    secret.onListed(true, 0, now);
    CHECK(created.empty());
    STRCMP_EQUAL("other", used.at(0).c_str());
    CHECK(secret.nextWake() == Instant::never());
}

TEST(MeshSecret, TheFirstHolderWritesTheOneInUseAtOnce)
{
    secret.onEntry("in-use");
    secret.onListed(true, 0, now);
    secret.onListed(false, 0, now);
    CHECK_EQUAL(1, created.size());
    STRCMP_EQUAL("in-use", created[0].c_str());
}

TEST(MeshSecret, OtherHoldersWriteItOnlyIfItIsStillMissingLater)
{
    secret.onEntry("in-use");
    secret.onListed(true, 4, now);
    secret.onListed(false, 4, now);
    CHECK(created.empty());
    wait();
    CHECK_EQUAL(1, lists);
    secret.onListed(false, 4, now);
    STRCMP_EQUAL("in-use", created.at(0).c_str());
}

TEST(MeshSecret, AFailedWriteIsFollowedByWaitsThatGrow)
{
    secret.onEntry("in-use");
    Duration last;
    for (int i = 0; i < 5; ++i) {
        secret.onListed(false, 0, now);
        const Instant failedAt = now;
        secret.onCreateFailed(now);
        CHECK(secret.nextWake() > now);
        wait();
        CHECK(now - failedAt > last);
        last = now - failedAt;
    }
    CHECK_EQUAL(5, created.size());
    CHECK_EQUAL(5, lists);
}

TEST(MeshSecret, OfTwoWritersBothEndWithWhatTheStoreHolds)
{
    secret.onEntry("mine");
    secret.onListed(false, 0, now);
    secret.onCreateFailed(now); // the other one was first
    wait();
    secret.onEntry("theirs");
    secret.onListed(true, 0, now);
    STRCMP_EQUAL("theirs", used.back().c_str());
    CHECK_EQUAL(1, created.size());
}
