// Clients that read slowly and pipeline: each sends a safe request, does not read for 2.5 s, sends
// another one behind it, and then reads all there is. The gateway gets SIGTERM while the instance
// is at work on the first one, and answers it with `Connection: close`.
//
// LOST: the answer to the first request is complete. (The second one counts as not read.)
#include <array>
#include <csignal>
#include <cstdio>

#include <boost/asio/connect.hpp>
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

constexpr int clientCount = 3;
constexpr std::size_t answerBytes = 1024 * 1024;
constexpr int receiveBufferBytes = 32 * 1024;
constexpr milliseconds pauseTime { 2500 };
constexpr milliseconds sigtermAfter { 50 }; // the instance works for 200 ms
constexpr std::size_t headEnd = 4;          // "\r\n\r\n"

class SlowClient
{
public:
    SlowClient(Stage &stage, int number)
        : stage_(stage)
        , name_(fmt::format("c{}", number))
        , socket_(stage.loop())
        , timer_(stage.loop())
    {
        socket_.open(tcp::v4());
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), stage.callers() });
        sentAt_ = Clock::now();
        send("-first");
        timer_.expires_after(pauseTime);
        timer_.async_wait([this](error_code) {
            send("-second");
            read();
        });
    }

    // Whether the connection ended within the answer, before the route's timeout.
    bool isFirstCut() const { return isCut_; }
    std::size_t bytes() const { return received_.size(); }

private:
    void send(const std::string &which)
    {
        const std::string id = name_ + which;
        error_code error;
        boost::asio::write(
            socket_,
            boost::asio::buffer("GET /view/" + id + " HTTP/1.1\r\nHost: h.example\r\n"
                                + "Request-Id: " + id + "\r\nDeadline-Ms: 8000\r\n\r\n"),
            error);
        stage_.record("sent: " + id + " GET /view/" + id + (error ? ' ' + error.message() : ""));
    }

    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(buffer_), [this](error_code error, std::size_t size) {
                if (error) {
                    isCut_ = !isComplete_ && Clock::now() - sentAt_ < routeTimeout;
                    report(error.message());
                    return;
                }
                received_.append(buffer_.data(), size);
                const auto end = received_.find("\r\n\r\n");
                if (end != std::string::npos && !isComplete_
                    && received_.size() >= end + headEnd + answerBytes) {
                    isComplete_ = true;
                    report("complete");
                }
                read();
            });
    }

    void report(const std::string &how)
    {
        stage_.record(fmt::format("answered: {}-first {}, {} bytes read, {}", name_,
                                  received_.substr(0, received_.find("\r\n")), received_.size(),
                                  how));
    }

    Stage &stage_;
    const std::string name_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, 16384> buffer_ {};
    std::string received_;
    Clock::time_point sentAt_; // the first request
    bool isComplete_ = false;
    bool isCut_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Stage stage(argv);
    Instance &instance = stage.addInstance({ "i-rota-1", "rota", "near-1" });
    instance.answerWith(answerBytes);
    if (!stage.startGateway())
        return exitNotRun;
    stage.runFor(seconds(5)); // longer than contact_s
    std::vector<std::unique_ptr<SlowClient>> clients;
    for (int i = 1; i <= clientCount; ++i)
        clients.push_back(std::make_unique<SlowClient>(stage, i));
    stage.runFor(sigtermAfter);
    if (instance.runs().size() != clientCount)
        return exitNotRun;
    if (stage.hasTrouble())
        stage.signalGateway(SIGTERM);
    stage.runFor(seconds(7)); // 1 s after grace_s

    int incomplete = 0;
    std::string bytes;
    for (const auto &client : clients) {
        incomplete += client->isFirstCut() ? 1 : 0;
        bytes += fmt::format(" {}", client->bytes());
    }
    const std::string result = fmt::format("first requests passed on {}, answers of {} bytes; cut "
                                           "before the route's timeout {}; bytes read:{}",
                                           clientCount, answerBytes, incomplete, bytes);
    stage.record(result);
    std::printf("%s\n", result.c_str());
    return incomplete > 0 ? exitBroken : exitHeld;
}
