#include "bluebellshift/ctl/curltransport.h"

#include <chrono>

#include "bluebellshift/standin/testing/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::ctl;
using standin::EarlyReplier;

namespace {

const char unboundedReply[] = "HTTP/1.1 200 OK\r\n\r\npart"; // ends with the connection
constexpr std::size_t longBody = 16 * 1024 * 1024;           // more than both sockets hold
constexpr std::size_t bytesBetweenTries = 1024 * 1024;
constexpr std::size_t tries = 4; // libcurl waits a second for "100 Continue" in each

absl::StatusOr<HttpReply> put(std::uint16_t port)
{
    const SendHttp send = makeCurlTransport({ "127.0.0.1", port }, core::Duration::seconds(10));
    return send({ "PUT", "/bundle", std::string(longBody, 'b'), "" });
}

} // namespace

TEST_GROUP(CurlTransport) {};

// Guards against a part of a reply without a length that is taken as the whole one: the VM resets
// the connection while the request is still being written.
TEST(CurlTransport, AReplyThatIsResetDuringTheUploadIsAnError)
{
    for (std::size_t i = 0; i < tries; ++i) {
        const std::chrono::milliseconds pause(i % 2 == 0 ? 0 : 5);
        EarlyReplier vm(unboundedReply, EarlyReplier::Ending::Reset, i * bytesBetweenTries, pause);
        const absl::StatusOr<HttpReply> reply = put(vm.port());
        CHECK(!reply.ok());
        CHECK(reply.status().code() == absl::StatusCode::kUnknown);
    }
}

TEST(CurlTransport, AReplyThatEndsWithACloseDuringTheUploadIsComplete)
{
    EarlyReplier vm(unboundedReply, EarlyReplier::Ending::ShutDownSend, bytesBetweenTries);
    const absl::StatusOr<HttpReply> reply = put(vm.port());
    CHECK(reply.ok());
    STRCMP_EQUAL("part", reply->body.c_str());
}
