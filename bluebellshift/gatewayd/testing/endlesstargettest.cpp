// Guards against a gateway that runs out of memory because a target sends bytes without end, in a
// head or a body, and then ends the requests of all its callers.
#include <memory>
#include <vector>

#include "bluebellshift/gatewayd/testing/gatewayprocess.h"
#include "bluebellshift/gatewayd/testing/samplesite.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gatewayd::testing;
using namespace bluebellshift::net::testing;
using platform::testing::StoreStandin;

namespace {

constexpr int callersOfEach = 6;
constexpr int rounds = 3;

} // namespace

TEST_GROUP(EndlessTarget)
{
    boost::asio::io_context loop;
};

TEST(EndlessTarget, EachCallOfACrowdEndsWithinTheMemoryAndOthersAreServed)
{
    StoreStandin store(loop);
    Target target(loop);
    store.put("config", "main", sampleConfig());
    store.put("servers", "t-1", targetSpec(target.port()));
    GatewayProcess gateway(loop, store.endpoint());
    CHECK_TEXT(gateway.start() && isOrdinaryRequestAnswered(loop, gateway.callers()),
               gateway.log().c_str());
    for (int round = 0; round < rounds; ++round) {
        std::vector<RawPeer> callers;
        for (const EndlessResponse &endless : endlessResponses()) {
            for (int i = 0; i < callersOfEach; ++i) {
                callers.push_back(RawPeer::connect(loop, gateway.callers()));
                callers.back().send(get(endless.path));
            }
        }
        CHECK(isOrdinaryRequestAnswered(loop, gateway.callers()));
        for (RawPeer &caller : callers) {
            CHECK(runUntil(loop, [&] { return !caller.received().empty() || caller.isEnded(); }));
            CHECK(caller.received().rfind("HTTP/1.1 200 ", 0) != 0);
        }
        CHECK(gateway.isAlive());
        CHECK(gateway.peakResidentBytes() <= limitMegabytes * megabyte);
    }
    CHECK(isOrdinaryRequestAnswered(loop, gateway.callers()));
}
