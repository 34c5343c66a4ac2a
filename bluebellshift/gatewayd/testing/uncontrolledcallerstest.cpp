// Guards against a gateway that runs out of memory or descriptors, or stops serving, because of
// callers that send without end, read slowly or not at all, or only keep connections open. Each
// case starts the gateway as a process with low limits and checks that the process lives, that its
// resident memory and its descriptors stay within its settings, and that one ordinary request is
// answered afterwards, while the crowd is still connected.
//
// The cases' numbers of clients and bytes and the bounds are fixed; don't change them with the
// gateway.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

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

constexpr std::size_t maxResidentBytes = limitMegabytes * megabyte;
constexpr std::size_t maxDescriptors = limitDescriptors;
constexpr int receiveBufferBytes = 4096; // of clients that don't read, so that little is in flight
constexpr std::chrono::seconds crowdTime { 4 }; // for the crowd to send all that it has
constexpr std::chrono::milliseconds paceInterval { 100 };
constexpr std::chrono::milliseconds slowReadInterval { 100 };

enum class Address { Callers, Lookups, Ready, Metrics };

struct Case
{
    const char *name;
    Address address;
    int clients;
    std::string start;    // sent first
    std::string repeated; // then sent again and again
    std::size_t bytes;    // that each client sends at most
    bool isPaced = false; // one repetition every paceInterval, so that responses come one by one
    bool isReadingSlowly = false;
};

const std::string kilobyte(1024, 'x');
const std::string chunkedHead = post("/x", "Transfer-Encoding: chunked\r\n");
const std::string uploadHead = post("/stuck", "Content-Length: 500000\r\n");

// The two that ended a process.
const Case trailerCase = {
    "trailers without end",      Address::Callers, 8, chunkedHead + "5\r\nhello\r\n0\r\n",
    "X-T: " + kilobyte + "\r\n", 32 * megabyte
};
const Case unreadCase = { "long responses that are not read",
                          Address::Callers,
                          10,
                          {},
                          get("/large"),
                          40 * get("/large").size(),
                          true };
const Case slowReadCase = { "long responses that are read slowly",
                            Address::Callers,
                            10,
                            {},
                            get("/large"),
                            40 * get("/large").size(),
                            true,
                            true };

const Case otherCases[] = {
    { "long responses at once that are not read",
      Address::Callers,
      20,
      {},
      get("/large"),
      10 * get("/large").size() },
    { "responses of 60 KB that are not read",
      Address::Callers,
      60,
      {},
      get("/long"),
      33 * get("/long").size() },
    { "one chunk extension without end", Address::Callers, 8, chunkedHead + "5;", kilobyte,
      32 * megabyte },
    { "chunks of one byte", Address::Callers, 8, chunkedHead, "1;" + kilobyte + "\r\nx\r\n",
      32 * megabyte },
    { "a chunk size without end", Address::Callers, 8, chunkedHead, std::string(1024, '0'),
      32 * megabyte },
    { "one header without end", Address::Callers, 8, "GET /x HTTP/1.1\r\nX: ", kilobyte,
      32 * megabyte },
    { "header lines without end", Address::Callers, 8, "GET /x HTTP/1.1\r\n", "X: 1\r\n",
      4 * megabyte },
    { "heads that stall", Address::Callers, 300, "GET /x HTTP/1.1\r\nX: " + kilobyte, {}, 0 },
    { "bodies that stall",
      Address::Callers,
      190,
      post("/x", "Content-Length: 30000\r\n") + kilobyte,
      {},
      0 },
    { "large bodies that stall",
      Address::Callers,
      60,
      post("/x", "Content-Length: 900000\r\n") + kilobyte,
      {},
      0 },
    { "bodies that the target doesn't read", Address::Callers, 60, uploadHead, kilobyte, 500'000 },
    { "pipelined requests with large heads",
      Address::Callers,
      100,
      {},
      get("/hang", "X: " + std::string(12'000, 'x') + "\r\n"),
      500'000 },
    { "pipelined requests, refusals are not read",
      Address::Callers,
      8,
      {},
      "GET /x HTTP/1.1\r\nHost: unknown\r\n\r\n",
      16 * megabyte },
    { "idle connections of callers", Address::Callers, 600, {}, {}, 0 },
    { "idle connections at the look-up address", Address::Lookups, 1500, {}, {}, 0 },
    { "idle connections at the metrics address", Address::Metrics, 1500, {}, {}, 0 },
    { "idle connections at the readiness address", Address::Ready, 1500, {}, {}, 0 },
    { "look-ups whose responses are not read",
      Address::Lookups,
      8,
      {},
      "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
      16 * megabyte },
    { "metrics that are not read",
      Address::Metrics,
      8,
      {},
      "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
      megabyte },
    { "trailers without end at the look-up address", Address::Lookups, 8,
      chunkedHead + "5\r\nhello\r\n0\r\n", "X-T: " + kilobyte + "\r\n", 32 * megabyte },
    { "uploads to the metrics address", Address::Metrics, 8,
      post("/x", "Content-Length: 40000000\r\n"), kilobyte, 32 * megabyte },
};

// One client of the crowd.
class Client : public std::enable_shared_from_this<Client>
{
public:
    Client(boost::asio::io_context &loop, const Case &sent)
        : case_(sent)
        , socket_(loop)
        , timer_(loop)
        , sendTimer_(loop)
        , left_(sent.bytes)
        , block_(sent.repeated)
    {
        // Larger writes than one repetition, so that the crowd isn't bound by its own calls.
        while (!sent.isPaced && !block_.empty() && block_.size() < blockBytes)
            block_ += sent.repeated;
    }

    void start(std::uint16_t port)
    {
        socket_.open(tcp::v4());
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        const tcp::endpoint endpoint(boost::asio::ip::make_address(loopback), port);
        socket_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
            if (error) {
                self->isDone_ = true;
                return;
            }
            self->send(boost::asio::buffer(self->case_.start));
            if (self->case_.isReadingSlowly)
                self->readSlowly();
        });
    }
    bool isDone() const { return isDone_; }

private:
    static constexpr std::size_t blockBytes = 16384;

    void send(boost::asio::const_buffer bytes)
    {
        boost::asio::async_write(socket_, bytes,
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     if (error)
                                         self->isDone_ = true;
                                     else
                                         self->sendLater();
                                 });
    }
    void sendLater()
    {
        if (!case_.isPaced) {
            sendNext();
            return;
        }
        sendTimer_.expires_after(paceInterval);
        sendTimer_.async_wait([self = shared_from_this()](error_code) { self->sendNext(); });
    }
    void sendNext()
    {
        const std::size_t size = std::min(left_, block_.size());
        isDone_ = size == 0;
        if (isDone_)
            return;
        left_ -= size;
        send(boost::asio::buffer(block_, size));
    }
    void readSlowly()
    {
        timer_.expires_after(slowReadInterval);
        timer_.async_wait([self = shared_from_this()](error_code) {
            self->socket_.async_read_some(boost::asio::buffer(self->buffer_),
                                          [self](error_code error, std::size_t) {
                                              if (!error)
                                                  self->readSlowly();
                                          });
        });
    }

    const Case &case_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer sendTimer_;
    std::size_t left_;
    std::string block_;
    char buffer_[2048];
    bool isDone_ = false;
};

} // namespace

TEST_GROUP(UncontrolledCallers)
{
    boost::asio::io_context loop;

    static std::uint16_t portOf(const GatewayProcess &gateway, Address address)
    {
        switch (address) {
        case Address::Callers:
            return gateway.callers();
        case Address::Lookups:
            return gateway.lookups();
        case Address::Ready:
            return gateway.ready();
        case Address::Metrics:
            return gateway.metrics();
        }
        return 0;
    }

    // Plays one case with a process of its own; returns what doesn't hold, or nothing.
    std::string play(const Case &played)
    {
        StoreStandin store(loop);
        Target target(loop);
        store.put("config", "main", sampleConfig());
        store.put("servers", "t-1", targetSpec(target.port()));
        GatewayProcess gateway(loop, store.endpoint());
        if (!gateway.start() || !isOrdinaryRequestAnswered(loop, gateway.callers()))
            return "the gateway doesn't serve before the case\n" + gateway.log();
        std::vector<std::shared_ptr<Client>> crowd;
        for (int i = 0; i < played.clients; ++i) {
            crowd.push_back(std::make_shared<Client>(loop, played));
            crowd.back()->start(portOf(gateway, played.address));
        }
        std::size_t descriptors = 0;
        const auto endsAt = std::chrono::steady_clock::now() + crowdTime;
        runUntil(loop, [&] {
            const auto now = std::chrono::steady_clock::now();
            if (now < nextSampleAt)
                return false;
            nextSampleAt = now + std::chrono::milliseconds(50);
            descriptors = std::max(descriptors, gateway.descriptors());
            return now > endsAt || !gateway.isAlive()
                || gateway.peakResidentBytes() > 4 * maxResidentBytes;
        });
        const bool isAnswered =
            gateway.isAlive() && isOrdinaryRequestAnswered(loop, gateway.callers());
        descriptors = std::max(descriptors, gateway.descriptors());
        const std::size_t resident = gateway.peakResidentBytes();
        std::string faults;
        if (!gateway.isAlive())
            faults += " the process ended;";
        if (resident > maxResidentBytes)
            faults += " too much memory;";
        if (descriptors > maxDescriptors)
            faults += " too many descriptors;";
        if (!isAnswered)
            faults += " the ordinary request is not answered;";
        const std::string measured = std::string(played.name) + ": "
            + std::to_string(resident / megabyte) + " MB, " + std::to_string(descriptors)
            + " descriptors, ordinary request " + (isAnswered ? "answered" : "not answered");
        UT_PRINT(measured.c_str());
        return faults.empty() ? std::string() : measured + ':' + faults + '\n';
    }
    void check(const Case &played)
    {
        const std::string fault = play(played);
        CHECK_TEXT(fault.empty(), fault.c_str());
    }

    std::chrono::steady_clock::time_point nextSampleAt;
};

TEST(UncontrolledCallers, TrailersWithoutEnd)
{
    check(trailerCase);
}

TEST(UncontrolledCallers, LongResponsesThatAreNotRead)
{
    check(unreadCase);
}

TEST(UncontrolledCallers, LongResponsesThatAreReadSlowly)
{
    check(slowReadCase);
}

TEST(UncontrolledCallers, TheRestOfTheClass)
{
    std::string faults;
    for (const Case &played : otherCases)
        faults += play(played);
    CHECK_TEXT(faults.empty(), faults.c_str());
}
