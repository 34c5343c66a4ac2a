// An instance that reads slowly: it begins to work on a request with a long body, reads nothing
// more for some seconds, then reads the rest and answers. Meanwhile the gateway gets SIGTERM.
//
// LOST: a request that has been passed on to an instance is answered, and is not broken off with an
// answer of the gateway's own, until 1 s after grace_s.
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "review/standin-2/stage.h"

using namespace review;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int requests = 3;
constexpr std::size_t bodyBytes = 4 * 1024 * 1024; // a sixteenth of max_body_bytes
constexpr int receiveBufferBytes = 64 * 1024;
constexpr milliseconds pauseTime { 3800 };
constexpr milliseconds sigtermAfter { 300 }; // or a multiple, once all have begun
constexpr int maxWaits = 3;
constexpr milliseconds latestAnswer { 7000 }; // 1 s after grace_s

class SlowInstance
{
public:
    SlowInstance(Stage &stage, bool isSlow)
        : stage_(stage)
        , isSlow_(isSlow)
        , acceptor_(stage.loop())
    {
        const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(any.protocol());
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor_.bind(any);
        acceptor_.listen();
        const Json status = { { "state", "ready" }, { "sequence", 1 }, { "warmup_left_s", 0 } };
        stage.store().put(
            "servers", "i-slow",
            { { "address", "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) },
              { "born", 1800000000000 },
              { "info",
                { { "service", "rota" },
                  { "version", "v1" },
                  { "zone", "near-1" },
                  { "slots", 30 } } },
              { "status", status } },
            status);
        accept();
    }

    std::size_t begun() const { return begun_.size(); }
    int brokenOff() const { return brokenOff_; }

private:
    struct Session
    {
        explicit Session(tcp::socket connected)
            : socket(std::move(connected))
            , timer(socket.get_executor())
        {
        }
        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buffer {};
        std::string received;
        std::string id;
        std::size_t needed = 0; // of the head and the body
    };
    using SessionPointer = std::shared_ptr<Session>;

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<Session>(std::move(socket)));
            accept();
        });
    }

    void read(const SessionPointer &session)
    {
        session->socket.async_read_some(boost::asio::buffer(session->buffer),
                                        [this, session](error_code error, std::size_t size) {
                                            if (error) {
                                                if (!session->id.empty()) {
                                                    ++brokenOff_;
                                                    stage_.record("instance: the caller broke off "
                                                                  + session->id + " ("
                                                                  + error.message() + ')');
                                                }
                                                return;
                                            }
                                            session->received.append(session->buffer.data(), size);
                                            onBytes(session);
                                        });
    }

    void onBytes(const SessionPointer &session)
    {
        const bool isNew = session->id.empty();
        const auto end = session->received.find("\r\n\r\n");
        if (isNew && end != std::string::npos) {
            session->id = valueOf(session->received, "Request-Id: ");
            session->needed = end + 4 + std::stoul(valueOf(session->received, "Content-Length: "));
            begun_.insert(session->id);
            stage_.record("run: " + session->id + " begins at i-slow of rota");
            if (isSlow_) {
                stage_.record("instance: reads nothing more of " + session->id + " for 3.8 s");
                session->timer.expires_after(pauseTime);
                session->timer.async_wait([this, session](error_code) { read(session); });
                return;
            }
        }
        if (isNew || session->received.size() < session->needed) {
            read(session);
            return;
        }
        stage_.record("instance: has read " + session->id + " and answers");
        error_code error;
        boost::asio::write(session->socket,
                           boost::asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " + session->id
                                               + "\r\nServer-Stamp: i-slow." + session->id
                                               + "\r\nContent-Length: 4\r\n\r\ndone"),
                           error);
        session->id.clear();
        session->received.clear();
        read(session);
    }

    static std::string valueOf(const std::string &head, const std::string &name)
    {
        const auto at = head.find(name);
        if (at == std::string::npos)
            return "0";
        const auto begin = at + name.size();
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    Stage &stage_;
    const bool isSlow_;
    tcp::acceptor acceptor_;
    std::set<std::string> begun_;
    int brokenOff_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Stage stage(argv);
    SlowInstance instance(stage, stage.hasTrouble());
    if (!stage.startGateway())
        return exitNotRun;
    stage.runFor(seconds(5)); // longer than contact_s
    for (int i = 0; i < requests; ++i)
        stage.sendOne("/swap/", std::string(bodyBytes, 'x'), milliseconds(8000));
    for (int i = 0; i < maxWaits && instance.begun() != requests; ++i)
        stage.runFor(sigtermAfter);
    if (instance.begun() != requests)
        return exitNotRun;
    stage.signalGateway(SIGTERM);
    stage.runFor(latestAnswer);

    // What ends at the route's timeout is excused.
    const int broken = static_cast<int>(
        std::count_if(stage.sent().begin(), stage.sent().end(), [](const auto &entry) {
            const Stage::Sent &one = entry.second;
            const bool hasEnded = one.endedAt != Clock::time_point();
            return one.status != 200 && (!hasEnded || one.endedAt - one.sentAt < routeTimeout);
        }));
    const int answered = stage.answeredWith(200);
    const std::string result =
        fmt::format("requests passed on {}, answered 200 {}, 502 {}, 503 {}, 504 {}, no answer {}; "
                    "broken off at "
                    "the instance while it was at work {}; before the route's timeout {}",
                    instance.begun(), answered, stage.answeredWith(502), stage.answeredWith(503),
                    stage.answeredWith(504), stage.answeredWith(0), instance.brokenOff(), broken);
    stage.record(result);
    std::printf("%s\n", result.c_str());
    return broken > 0 ? exitBroken : exitHeld;
}
