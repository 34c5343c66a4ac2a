#include "review/standin-2/stage.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

namespace asio = boost::asio;
namespace core = bluebellshift::core;
namespace net = bluebellshift::net;
using boost::system::error_code;

constexpr char loopback[] = "127.0.0.1";
constexpr std::chrono::milliseconds heartbeat { 1500 };
constexpr std::chrono::milliseconds workTime { 200 };
constexpr std::chrono::seconds startTime { 15 };
constexpr std::chrono::milliseconds usualDeadline { 2000 };
constexpr int slots = 30;
constexpr int misdirected = 421;

std::uint16_t freePort(asio::io_context &loop)
{
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::make_address(loopback), 0 });
    return acceptor.local_endpoint().port();
}

std::string valueOf(const net::Headers &headers, const char *name)
{
    const std::string *value = net::findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

// The configuration of both services: each has one route that may not be repeated.
Json sampleConfig()
{
    return Json::parse(R"({"version":7,
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
                  "header_timeout_s":3,"idle_timeout_s":15},
        "listeners":[{"host":"h.example","rules":[
            {"name":"swap","route_type":"unsafe","public":true,"target_latency_s":0.6,
             "priority":1,"match":{"path_prefix":"/swap/"},
             "action":{"service":"rota","timeout_s":4,"max_attempts":2}},
            {"name":"view","route_type":"safe","public":true,"target_latency_s":0.5,
             "priority":2,"match":{"path_prefix":"/view/"},
             "action":{"service":"rota","timeout_s":4,"max_attempts":2}},
            {"name":"pay","route_type":"unsafe","public":true,"target_latency_s":0.4,
             "priority":0,"match":{"path_prefix":"/pay/"},
             "action":{"service":"fund","timeout_s":4,"max_attempts":2}}]}],
        "clusters":[{"name":"rota","health_path":"/health","max_conns":390},
                    {"name":"fund","health_path":"/health","max_conns":390}]})");
}

} // namespace

Instance::Instance(asio::io_context &loop, platform::testing::StoreStandin &store,
                   InstancePlace place, std::function<void(const std::string &)> record)
    : loop_(loop)
    , store_(store)
    , place_(std::move(place))
    , record_(std::move(record))
    , server_(std::make_unique<net::HttpServer>(
          loop, budget_, [] { return net::ServerLimits(); },
          net::ServerHooks { [this](net::ExchangeId exchange, net::Request &&request) {
                                serve(exchange, request);
                            },
                             [](net::ExchangeId) {},
                             {} }))
    , port_(freePort(loop))
    , beatTimer_(loop)
{
    if (!server_->listen({ loopback, port_ }).ok())
        std::exit(exitNotRun);
}

Json Instance::status() const
{
    return { { "state", isDraining_ ? "draining" : "ready" },
             { "sequence", sequence_ },
             { "warmup_left_s", 0 } };
}

Json Instance::entry() const
{
    return { { "address", std::string(loopback) + ':' + std::to_string(port_) },
             { "born", 1800000000000 },
             { "info",
               { { "service", place_.service },
                 { "version", "v1" },
                 { "zone", place_.zone },
                 { "slots", slots } } },
             { "status", { { "state", "ready" }, { "sequence", 1 }, { "warmup_left_s", 0 } } } };
}

void Instance::join()
{
    isListed_ = true;
    record_("instance " + place_.id + " of " + place_.service + " joins");
    beat();
}

// A heartbeat that tells what the store has changes nothing there.
void Instance::beat()
{
    ++sequence_;
    const Json *known = store_.find("servers", place_.id);
    const bool isSame = known != nullptr && (*known)["spec"] == entry()
        && (*known)["status"].is_object() && (*known)["status"]["state"] == status()["state"];
    if (!isSame)
        store_.put("servers", place_.id, entry(), status());
    beatTimer_.expires_after(heartbeat);
    beatTimer_.async_wait([this](error_code error) {
        if (!error && isListed_)
            beat();
    });
}

void Instance::drain()
{
    isDraining_ = true;
    beat();
    drainsSince_ = Clock::now();
    record_("store acknowledges: " + place_.id + " is draining");
}

void Instance::removeEntry()
{
    isListed_ = false;
    beatTimer_.cancel();
    store_.remove("servers", place_.id);
    leavingAt_ = Clock::now();
    record_("store acknowledges: the entry of " + place_.id + " is removed");
}

void Instance::end()
{
    isListed_ = false;
    beatTimer_.cancel();
    server_.reset();
    record_("instance " + place_.id + " exits");
}

void Instance::serve(net::ExchangeId exchange, const net::Request &request)
{
    if (request.target == "/health") {
        server_->respond(exchange,
                         { isDraining_ ? 503 : 200, { { "Instance-Id", place_.id } }, "" }, false);
        return;
    }
    const std::string id = valueOf(request.headers, "Request-Id");
    if (valueOf(request.headers, "Expect-Instance") != place_.id) {
        server_->respond(exchange, { misdirected, { { "Instance-Id", place_.id } }, "" }, false);
        return;
    }
    runs_.push_back({ id, request.target, Clock::now() });
    record_("run: " + id + ' ' + request.method + ' ' + request.target + " at " + place_.id + " of "
            + place_.service);
    const auto timer = std::make_shared<asio::steady_timer>(loop_, workTime);
    timer->async_wait([this, timer, exchange, id](error_code) { finish(exchange, id); });
}

void Instance::finish(net::ExchangeId exchange, const std::string &requestId)
{
    if (!server_)
        return;
    server_->respond(
        exchange,
        { 200,
          { { "Request-Id", requestId }, { "Server-Stamp", place_.id + '.' + requestId } },
          std::string(answerBytes_, 'x') },
        false);
}

Stage::Stage(char **arguments)
    : folder_(arguments[1])
    , gateway_(arguments[2])
    , record_(arguments[3])
    , hasTrouble_(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
    , clients_(loop_, budget_)
    , store_(loop_)
    , cutter_(loop_, store_.endpoint().port, [this](const std::string &line) { record(line); })
    , loadTimer_(loop_)
{
    store_.setEraHeaders(std::vector<std::string>()); // no page in force has eras
    store_.put("config", "main", sampleConfig());
    record(hasTrouble_ ? "with the disruption" : "without the disruption");
}

Stage::~Stage()
{
    if (process_ > 0) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

void Stage::record(const std::string &line)
{
    const std::chrono::duration<double> at = Clock::now() - startedAt_;
    record_ << fmt::format("{:8.3f} {}\n", at.count(), line) << std::flush;
}

Instance &Stage::addInstance(InstancePlace place)
{
    instances_.push_back(std::make_unique<Instance>(
        loop_, store_, std::move(place), [this](const std::string &line) { record(line); }));
    instances_.back()->join();
    return *instances_.back();
}

// The settings are deploy/gateway.toml.in, filled with the figures of a small deployment.
bool Stage::startGateway()
{
    callers_ = freePort(loop_);
    ready_ = freePort(loop_);
    const std::string path = folder_ + "/boot.toml";
    std::ofstream file(path);
    file << "[vm]\nid = \"front-near-1-1\"\nregion = \"near\"\nfailure_domain = \"near-1\"\n"
         << "[listen]\ncallers = \"127.0.0.1:" << callers_ << "\"\nready = \"127.0.0.1:" << ready_
         << "\"\nlookups = \"127.0.0.1:" << freePort(loop_)
         << "\"\npeers = \"127.0.0.1:" << freePort(loop_)
         << "\"\nmetrics = \"127.0.0.1:" << freePort(loop_)
         << "\"\n[platform]\nstore = \"127.0.0.1:" << cutter_.port() << "\"\n"
         << "[bounds]\nrepeat_ratio = 0.2\nrepeat_window_seconds = 10\nrepeat_slack = 64\n"
         << "quota_window_seconds = 5\nquota_overage = 0.1\nquota_slack = 20\n"
         << "cold_overage = 1.5\ncold_slack = 5\nlookup_ttl_most_seconds = 5\n"
         << "[limits]\nstop_grace_seconds = 6\ndescriptors = 4100\nmemory_mb = 260\n"
         << "[[failure_domain]]\nname = \"near-1\"\nregion = \"near\"\n";
    file.close();
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this process, however that ends
        const int output =
            open((folder_ + "/gateway.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        execl(gateway_.c_str(), gateway_.c_str(), "--settings", path.c_str(), nullptr);
        _exit(127);
    }
    const auto until = Clock::now() + startTime;
    while (Clock::now() < until) {
        if (waitpid(process_, nullptr, WNOHANG) == process_) {
            process_ = 0;
            return false;
        }
        if (isReady()) {
            record("gateway is ready");
            return true;
        }
        runFor(std::chrono::milliseconds(100));
    }
    return false;
}

// Asks the gateway as the platform does.
bool Stage::isReady()
{
    std::optional<int> status;
    net::Request request;
    request.method = "GET";
    request.target = "/api/ready";
    request.headers = { { "Host", loopback } };
    clients_.start({ loopback, ready_ }, "ready", net::serializeRequest(request), {},
                   [&status](net::CallResult &&result) {
                       status = result.response ? result.response->status : 0;
                   });
    while (!status)
        loop_.run_one_for(std::chrono::milliseconds(50));
    return status == 200;
}

void Stage::runFor(Clock::duration time)
{
    loop_.restart();
    loop_.run_for(time);
}

void Stage::offerLoad(std::vector<std::string> paths, int perSecond, Clock::duration time)
{
    paths_ = std::move(paths);
    interval_ = std::chrono::microseconds(1'000'000 / perSecond);
    loadEndsAt_ = Clock::now() + time;
    sendNext();
}

void Stage::sendNext()
{
    if (Clock::now() >= loadEndsAt_)
        return;
    const auto next = static_cast<std::size_t>(lastRequest_ + 1) % paths_.size();
    sendOne(paths_[next], "work", usualDeadline);
    loadTimer_.expires_after(interval_);
    loadTimer_.async_wait([this](error_code error) {
        if (!error)
            sendNext();
    });
}

void Stage::sendOne(const std::string &path, std::string body, std::chrono::milliseconds deadline)
{
    const std::string id = fmt::format("q{:06}", ++lastRequest_);
    sent_[id].path = path;
    sent_[id].sentAt = Clock::now();
    net::Request request;
    request.method = "POST";
    request.target = path + id;
    request.headers = { { "Host", "h.example" },
                        { "Request-Id", id },
                        { "Deadline-Ms", std::to_string(deadline.count()) } };
    request.body = std::move(body);
    net::CallOptions options;
    options.timeout = core::Duration::millis(deadline.count() + 500);
    options.idHeader = "Request-Id";
    options.requestId = id;
    record("sent: " + id + " POST " + request.target);
    clients_.start({ loopback, callers_ }, "callers", net::serializeRequest(request), options,
                   [this, id](net::CallResult &&result) {
                       Sent &one = sent_[id];
                       one.endedAt = Clock::now();
                       one.status = result.response ? result.response->status : 0;
                       one.isStamped = result.response
                           && net::findHeader(result.response->headers, "Server-Stamp") != nullptr;
                       record(fmt::format("answered: {} {}", id, one.status));
                   });
}

void Stage::signalGateway(int number)
{
    record("gateway gets signal " + std::to_string(number));
    kill(process_, number);
}

int Stage::answeredWith(int status) const
{
    return static_cast<int>(std::count_if(sent_.begin(), sent_.end(), [&](const auto &entry) {
        return entry.second.status == status;
    }));
}

} // namespace review
