// Guards against a planned stop that ends a connection on which something accepted is left: a
// response that is still being written over a slow link, a request behind another one (pipelined),
// one whose body is arriving, one that a target works on. Each has its complete response within
// the grace period of 6 s.
#include <csignal>
#include <string>

#include <boost/asio/read.hpp>

#include "bluebellshift/gatewayd/testing/gatewayprocess.h"
#include "bluebellshift/gatewayd/testing/samplesite.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gatewayd::testing;
using namespace bluebellshift::net::testing;
using boost::asio::ip::tcp;
using boost::system::error_code;
using platform::testing::StoreStandin;

namespace {

constexpr int receiveBufferBytes = 4096; // so that little is on its way
// So that a response may be larger than what the system's buffers hold when the process ends.
constexpr int memoryMegabytes = 256;
constexpr std::chrono::milliseconds readInterval { 100 };
constexpr std::chrono::milliseconds stopDelay { 300 }; // after the first bytes of the request

struct Case
{
    const char *name;
    std::string sent;      // before SIGTERM
    std::string sentLater; // some time after it
    std::chrono::milliseconds later;
    std::size_t bytesPerRead; // per readInterval
    int responses;            // that must be complete
    std::size_t bodyBytes;    // of all of them together
};

const Case cases[] = {
    { "a response over a slow link", get("/huge"), {}, {}, 280'000, 1, hugeBytes },
    { "a pipelined request", get("/after/1000") + get("/x"), {}, {}, 4096, 2, 4 },
    { "pipelined requests that are not idempotent",
      post("/after/1000", "Content-Length: 1\r\n") + "a" + post("/x", "Content-Length: 1\r\n") + "a"
          + post("/x", "Content-Length: 1\r\n") + "a",
      {},
      {},
      4096,
      3,
      6 },
    { "a request behind one whose response is being written",
      get("/large") + get("/x"),
      {},
      {},
      30'000,
      2,
      megabyte + 2 },
    { "a request whose body is arriving", post("/x", "Content-Length: 4\r\n") + "ab", "cd",
      std::chrono::milliseconds(4000), 4096, 1, 0 },
    { "a request that a target works on", get("/after/4500"), {}, {}, 4096, 1, 2 },
};

// Counts the complete responses at the start of `bytes`, and the bytes of their bodies.
int completeResponses(const std::string &bytes, std::size_t *bodyBytes)
{
    int count = 0;
    std::size_t at = 0;
    *bodyBytes = 0;
    for (;;) {
        const auto end = bytes.find("\r\n\r\n", at);
        if (end == std::string::npos)
            return count;
        const std::string length = valueOf(bytes.substr(at, end + 2 - at), "Content-Length");
        const std::size_t body = std::strtoull(length.c_str(), nullptr, 10);
        if (bytes.size() < end + 4 + body)
            return count;
        *bodyBytes += body;
        at = end + 4 + body;
        ++count;
    }
}

// A caller that reads at most so many bytes every readInterval.
class SlowCaller
{
public:
    SlowCaller(boost::asio::io_context &loop, std::uint16_t port, std::size_t bytesPerRead)
        : socket_(loop)
        , timer_(loop)
        , buffer_(bytesPerRead, ' ')
    {
        socket_.open(tcp::v4());
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        socket_.connect({ boost::asio::ip::make_address(loopback), port });
        read();
    }
    void send(const std::string &bytes)
    {
        error_code ignored; // an ended connection shows in the responses
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    const std::string &received() const { return received_; }
    bool isEnded() const { return isEnded_; }

private:
    void read()
    {
        timer_.expires_after(readInterval);
        timer_.async_wait([this](error_code error) {
            if (error)
                return;
            boost::asio::async_read(socket_, boost::asio::buffer(buffer_),
                                    [this](error_code failed, std::size_t size) {
                                        received_.append(buffer_, 0, size);
                                        isEnded_ = static_cast<bool>(failed);
                                        if (!failed)
                                            read();
                                    });
        });
    }

    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string buffer_;
    std::string received_;
    bool isEnded_ = false;
};

} // namespace

TEST_GROUP(PlannedStop)
{
    boost::asio::io_context loop;

    void runFor(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        runUntil(loop, [&] { return std::chrono::steady_clock::now() >= until; });
    }
    std::string play(const Case &played)
    {
        StoreStandin store(loop);
        Target target(loop);
        store.put("config", "main", sampleConfig());
        store.put("servers", "t-1", targetSpec(target.port()));
        GatewayProcess gateway(loop, store.endpoint(), memoryMegabytes);
        if (!gateway.start() || !isOrdinaryRequestAnswered(loop, gateway.callers()))
            return "the gateway doesn't serve before the case\n" + gateway.log();
        SlowCaller caller(loop, gateway.callers(), played.bytesPerRead);
        caller.send(played.sent);
        runFor(stopDelay);
        gateway.signal(SIGTERM);
        runFor(played.later);
        caller.send(played.sentLater);
        runUntil(loop, [&] { return caller.isEnded(); });
        std::size_t bodyBytes = 0;
        const int responses = completeResponses(caller.received(), &bodyBytes);
        runUntil(loop, [&] { return !gateway.isAlive(); });
        if (responses == played.responses
            && (played.bodyBytes == 0 || bodyBytes == played.bodyBytes) && !gateway.isAlive())
            return {};
        return std::string(played.name) + ": " + std::to_string(responses)
            + " complete responses with " + std::to_string(bodyBytes) + " bytes, "
            + std::to_string(caller.received().size()) + " bytes received\n";
    }
};

TEST(PlannedStop, EverythingAcceptedHasItsCompleteResponse)
{
    std::string faults;
    for (const Case &played : cases)
        faults += play(played);
    CHECK_TEXT(faults.empty(), faults.c_str());
}
