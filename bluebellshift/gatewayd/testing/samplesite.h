// What the tests of a gateway process share: a configuration with one route, a target, and an
// ordinary request.
#pragma once

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "bluebellshift/net/testing/looptools.h"
#include "platform/testing/storestandin.h"

namespace bluebellshift::gatewayd::testing {

inline constexpr char loopback[] = "127.0.0.1";
inline constexpr std::size_t megabyte = 1024 * 1024;
inline constexpr std::size_t hugeBytes = 15 * megabyte;
inline constexpr std::chrono::milliseconds pauseBetweenTries { 200 };
inline constexpr int ordinaryTries = 5; // a refused or closed request may be sent again
inline constexpr std::chrono::seconds ordinaryWait { 5 };
inline constexpr int targetSlots = 400;

inline platform::Json sampleConfig()
{
    return platform::Json::parse(R"({"version":1,
        "listeners":[{"host":"h","rules":[
            {"name":"r","route_type":"safe","public":true,"target_latency_s":1.2,
             "match":{"path_prefix":"/"},
             "action":{"service":"s","timeout_s":20,"max_attempts":1}}]}],
        "clusters":[{"name":"s","health_path":"/health"}]})");
}

inline platform::Json targetSpec(std::uint16_t port)
{
    return { { "address", std::string(loopback) + ':' + std::to_string(port) },
             { "born", 1 },
             { "info",
               { { "service", "s" },
                 { "version", "v1" },
                 { "zone", "near-1" },
                 { "slots", targetSlots } } },
             { "status", { { "state", "ready" }, { "sequence", 1 }, { "warmup_left_s", 0 } } } };
}

inline std::string get(const std::string &path, const std::string &more = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 20000\r\n" + more + "\r\n";
}

inline std::string post(const std::string &path, const std::string &more)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 20000\r\n" + more + "\r\n";
}

inline std::string valueOf(const std::string &head, const std::string &name)
{
    const auto at = head.find(name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

struct EndlessResponse
{
    const char *path;
    std::string start;
    std::string repeated;
};

inline const std::vector<EndlessResponse> &endlessResponses()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string block(16 * 1024, 'x');
    static const std::vector<EndlessResponse> all = {
        { "/endless/nothing", "", block },
        { "/endless/header", head + "X: ", block },
        { "/endless/headers", head, "X: 1\r\n" },
        { "/endless/body", head + "\r\n", block },
        { "/endless/length", head + "Content-Length: 99999999999\r\n\r\n", block },
        { "/endless/chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
          "4000\r\n" + block + "\r\n" },
        { "/endless/trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n" },
    };
    return all;
}

// Answers by path: /x two bytes, /long 60 KB, /large 1 MB, /huge 15 MB, /hang never, /after/N two
// bytes after N milliseconds; a request for /stuck is not read beyond its head, and one for a path
// of endlessResponses is answered with bytes without end, until the connection closes.
class Target
{
public:
    explicit Target(boost::asio::io_context &loop)
        : acceptor_(loop,
                    boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(loopback), 0))
    {
        accept();
    }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    struct Session
    {
        explicit Session(boost::asio::ip::tcp::socket connected)
            : socket(std::move(connected))
            , timer(socket.get_executor())
        {
        }
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::string received;
        std::string sending;
        char buffer[16384];
    };
    using SessionPointer = std::shared_ptr<Session>;

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (error)
                    return;
                read(std::make_shared<Session>(std::move(socket)));
                accept();
            });
    }
    void read(const SessionPointer &session)
    {
        session->socket.async_read_some(
            boost::asio::buffer(session->buffer),
            [this, session](boost::system::error_code error, std::size_t size) {
                if (error)
                    return;
                session->received.append(session->buffer, size);
                answer(session);
            });
    }
    void answer(const SessionPointer &session)
    {
        std::string &received = session->received;
        const auto end = received.find("\r\n\r\n");
        if (end == std::string::npos) {
            read(session);
            return;
        }
        const std::string head = received.substr(0, end + 2);
        const auto hasPath = [&](const char *path) {
            return head.find(std::string(" ") + path + ' ') != std::string::npos;
        };
        if (hasPath("/stuck")) {
            stuck_.push_back(session);
            return;
        }
        for (const EndlessResponse &endless : endlessResponses()) {
            if (!hasPath(endless.path))
                continue;
            session->sending = endless.start;
            sendWithoutEnd(session, endless.repeated);
            return;
        }
        const std::size_t size =
            end + 4 + std::strtoull(valueOf(head, "Content-Length").c_str(), nullptr, 10);
        if (received.size() < size || hasPath("/hang")) {
            read(session);
            return;
        }
        received.erase(0, size);
        const std::size_t bytes = hasPath("/long") ? 60'000
            : hasPath("/large")                    ? megabyte
            : hasPath("/huge")                     ? hugeBytes
                                                   : 2;
        session->sending = "HTTP/1.1 200 OK\r\nRequest-Id: " + valueOf(head, "Request-Id")
            + "\r\nServer-Stamp: s\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'b');
        const auto after = head.find(" /after/");
        if (after == std::string::npos) {
            send(session);
            return;
        }
        constexpr std::size_t prefixLength = 8; // " /after/"
        session->timer.expires_after(
            std::chrono::milliseconds(std::atoi(head.c_str() + after + prefixLength)));
        session->timer.async_wait([this, session](boost::system::error_code error) {
            if (!error)
                send(session);
        });
    }
    void send(const SessionPointer &session)
    {
        boost::asio::async_write(session->socket, boost::asio::buffer(session->sending),
                                 [this, session](boost::system::error_code error, std::size_t) {
                                     if (!error)
                                         answer(session);
                                 });
    }

    static void sendWithoutEnd(const SessionPointer &session, const std::string &repeated)
    {
        while (session->sending.size() < sizeof(session->buffer))
            session->sending += repeated;
        boost::asio::async_write(
            session->socket, boost::asio::buffer(session->sending),
            [session, &repeated](boost::system::error_code error, std::size_t) {
                if (error)
                    return;
                session->sending.clear();
                sendWithoutEnd(session, repeated);
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<SessionPointer> stuck_;
};

// Returns whether the ordinary request is answered, within a few tries.
inline bool isOrdinaryRequestAnswered(boost::asio::io_context &loop, std::uint16_t port)
{
    for (int i = 0; i < ordinaryTries; ++i) {
        const auto giveUpAt = std::chrono::steady_clock::now() + ordinaryWait;
        net::testing::RawPeer caller = net::testing::RawPeer::connect(loop, port);
        try {
            caller.send(get("/x"));
        } catch (const boost::system::system_error &) {
            // closed already: the same as a closed connection below
        }
        const auto isAnswered = [&] {
            return caller.received().rfind("HTTP/1.1 200 ", 0) == 0
                && caller.received().find("\r\n\r\nbb") != std::string::npos;
        };
        net::testing::runUntil(loop, [&] {
            return isAnswered() || caller.isEnded() || std::chrono::steady_clock::now() > giveUpAt;
        });
        if (isAnswered())
            return true;
        const auto nextTryAt = std::chrono::steady_clock::now() + pauseBetweenTries;
        net::testing::runUntil(loop, [&] { return std::chrono::steady_clock::now() > nextTryAt; });
    }
    return false;
}

} // namespace bluebellshift::gatewayd::testing
