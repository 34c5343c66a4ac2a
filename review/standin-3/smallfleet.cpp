#include "smallfleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform/jsonread.h"

namespace review {
namespace {

using namespace bluebellshift;
using platform::Json;

constexpr std::uint16_t frontPort = 8668;
constexpr std::uint16_t readyPort = 8666;
constexpr std::uint16_t directoryPort = 8665;
constexpr std::uint16_t storePort = 8669;
constexpr std::uint16_t instancePort = 8120;
constexpr int storeNumber = 2; // of addressOf()
constexpr int firstGatewayNumber = 10;
constexpr int firstInstanceNumber = 100;
constexpr char deployFile[] = "deploy/system.toml";
constexpr char safePath[] = "/rota-view/";
constexpr char unsafePath[] = "/turn-swap/";
constexpr char host[] = "rota.example";
constexpr char service[] = "rota-desk";
constexpr char key[] = "key-of-the-team";
constexpr int slots = 3;
constexpr std::size_t queue = 9;
constexpr Millis tick { 20 };
constexpr Millis deadline { 3000 };
constexpr std::size_t directoryTries = 3;
constexpr int memoryMegabytes = 260;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

void replaceAll(std::string *text, const std::string &from, const std::string &to)
{
    for (auto at = text->find(from); at != std::string::npos; at = text->find(from, at + to.size()))
        text->replace(at, from.size(), to);
}

// The text between quotes after `key = ` in the deploy file.
std::string deployValue(const std::string &name)
{
    const std::string text = readFile(deployFile);
    const std::string begin = "\n" + name + " = \"";
    const auto at = text.find(begin);
    if (at == std::string::npos)
        return {};
    const auto from = at + begin.size();
    return text.substr(from, text.find('"', from) - from);
}

std::string headerOf(const net::Request &request, const char *name)
{
    const std::string *value = net::findHeader(request.headers, name);
    return value == nullptr ? std::string() : *value;
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Json ruleFor(const char *path, const char *type, double target, double timeout)
{
    return { { "name", path },
             { "route_type", type },
             { "target_latency_s", target },
             { "priority", 1 },
             { "match", { { "path_prefix", path } } },
             { "action",
               { { "service", service }, { "timeout_s", timeout }, { "max_attempts", 2 } } } };
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string addressOf(int number)
{
    const int process = getpid();
    return "127." + std::to_string(1 + process / 256 % 250) + '.' + std::to_string(process % 256)
        + '.' + std::to_string(number);
}

Record::Record(const std::string &path)
    : file_(path)
{
}

void Record::write(const std::string &text)
{
    file_ << millisOf(Clock::now()) << " ms  " << text << '\n';
}

std::int64_t Record::millisOf(Clock::time_point time) const
{
    return std::chrono::duration_cast<Millis>(time - startedAt_).count();
}

struct Instance::Work
{
    net::ExchangeId exchange = 0;
    std::string requestId;
    Millis time { 0 };
    std::size_t arrival = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
};

Instance::Instance(boost::asio::io_context &loop, platform::testing::StoreStandin &store,
                   Record &record, Place place, std::string address)
    : loop_(loop)
    , store_(store)
    , record_(record)
    , place_(std::move(place))
    , address_(std::move(address))
    , bornMillis_(unixMillis())
{
    listen();
}

void Instance::listen()
{
    const auto forget = [this](net::ExchangeId exchange) {
        const auto isGone = [&](const auto &work) { return work->exchange == exchange; };
        running_.erase(std::remove_if(running_.begin(), running_.end(), isGone), running_.end());
        waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), isGone), waiting_.end());
    };
    server_ = std::make_unique<net::HttpServer>(
        loop_, budget_, [] { return net::ServerLimits(); },
        net::ServerHooks {
            [this](net::ExchangeId exchange, net::Request &&request) { serve(exchange, request); },
            forget,
            {} });
    if (!server_->listen({ address_, instancePort }).ok())
        std::exit(exitCannotRun);
}

Instance::~Instance() = default;

void Instance::join()
{
    isListed_ = true;
    write();
    record_.write(place_.id + " joins");
}

void Instance::drain()
{
    isDraining_ = true;
    write();
    leavingAt_ = Clock::now();
    record_.write(place_.id + " reports draining; the store acknowledges it");
}

void Instance::removeEntry()
{
    isListed_ = false;
    store_.remove("servers", place_.id);
    if (!leavingAt_)
        leavingAt_ = Clock::now();
    record_.write("the entry of " + place_.id + " is removed; the store acknowledges it");
}

void Instance::exit()
{
    if (isListed_)
        removeEntry();
    for (const auto &work : running_)
        record_.write(place_.id + " exits while it runs " + work->requestId);
    running_.clear();
    waiting_.clear();
    server_.reset();
    record_.write(place_.id + " exits");
}

std::string Instance::entryText() const
{
    return store_.find("servers", place_.id)->dump();
}

void Instance::crash()
{
    beat_.reset();
    running_.clear();
    waiting_.clear();
    server_.reset();
    record_.write(place_.id + " crashes");
}

void Instance::startAgain(Millis warmup)
{
    bornMillis_ = unixMillis();
    startedAt_ = Clock::now();
    coldUntil_ = startedAt_ + warmup;
    sequence_ = 0;
    listen();
    write();
    beatLater();
    record_.write(place_.id + " starts again under its id, cold for "
                  + std::to_string(warmup.count()) + " ms");
}

// While it is cold, its entry changes with each heartbeat.
void Instance::beatLater()
{
    beat_ = std::make_unique<boost::asio::steady_timer>(loop_, heartbeat);
    beat_->async_wait([this](const auto &error) {
        if (error)
            return;
        const bool wasCold = Clock::now() < coldUntil_ + heartbeat;
        write();
        record_.write(place_.id + " writes its entry");
        if (wasCold)
            beatLater();
    });
}

Json Instance::spec()
{
    const auto left = std::chrono::duration<double>(coldUntil_ - Clock::now()).count();
    const Json status = { { "state", isDraining_ ? "draining" : "ready" },
                          { "sequence", ++sequence_ },
                          { "warmup_left_s", std::max(0.0, left) } };
    const Json info = { { "service", place_.service },
                        { "version", "v1" },
                        { "zone", place_.zone },
                        { "slots", slots } };
    return { { "address", address_ + ':' + std::to_string(instancePort) },
             { "born", bornMillis_ },
             { "info", info },
             { "status", status } };
}

void Instance::write()
{
    const Json entry = spec();
    store_.put("servers", place_.id, entry, entry["status"]);
}

void Instance::writeLate(Json earlier)
{
    record_.write("the store carries out a write of an earlier run of " + place_.id + ", "
                  + earlier.dump());
    const Json status = earlier["status"];
    store_.put("servers", place_.id, std::move(earlier), status);
}

std::string Instance::loadText() const
{
    return std::to_string(running_.size()) + ',' + std::to_string(waiting_.size()) + ','
        + std::to_string(slots);
}

void Instance::reject(net::ExchangeId exchange, int status, const std::string &requestId)
{
    server_->respond(exchange,
                     { status, { { "Request-Id", requestId }, { "Not-Run", "1" } }, "not run\n" },
                     isDraining_);
}

void Instance::serve(net::ExchangeId exchange, const net::Request &request)
{
    const std::string id = headerOf(request, "Request-Id");
    const std::string expected = headerOf(request, "Expect-Instance");
    const bool isMine = expected.empty() || expected == place_.id;
    const bool isFull = running_.size() >= slots && waiting_.size() >= queue;
    arrivals_.push_back({ id, Clock::now(), isMine && !isFull, isMine });
    record_.write(id + " reaches " + place_.id
                  + (!isMine      ? ", answered 421"
                         : isFull ? ", answered 503 (Not-Run)"
                                  : ""));
    if (!isMine || isFull) {
        reject(exchange, isMine ? 503 : 421, id);
        return;
    }
    auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->requestId = id;
    const bool isUnsafe = request.target.rfind(unsafePath, 0) == 0;
    work->time = isUnsafe ? place_.unsafeWork : place_.safeWork;
    if (running_.size() >= slots)
        waiting_.push_back(work);
    else
        begin(work);
}

void Instance::begin(const std::shared_ptr<Work> &work)
{
    running_.push_back(work);
    const bool isCold = Clock::now() < coldUntil_;
    work->timer =
        std::make_unique<boost::asio::steady_timer>(loop_, isCold ? work->time * 2 : work->time);
    work->timer->async_wait([this, weak = std::weak_ptr<Work>(work)](const auto &error) {
        const auto ended = weak.lock();
        if (!error && ended)
            end(ended);
    });
}

void Instance::end(const std::shared_ptr<Work> &work)
{
    running_.erase(std::remove(running_.begin(), running_.end(), work), running_.end());
    record_.write(place_.id + " has run " + work->requestId);
    server_->respond(work->exchange,
                     { 200,
                       { { "Request-Id", work->requestId },
                         { "Server-Stamp", place_.id },
                         { "Server-Load", loadText() } },
                       place_.id },
                     isDraining_);
    if (waiting_.empty() || running_.size() >= slots)
        return;
    const auto next = waiting_.front();
    waiting_.erase(waiting_.begin());
    begin(next);
}

GatewayMachine::GatewayMachine(boost::asio::io_context &loop,
                               platform::testing::StoreStandin &store, Record &record,
                               std::string name, std::string address,
                               const std::vector<Zone> &zones, std::size_t zone)
    : loop_(loop)
    , record_(record)
    , name_(std::move(name))
    , address_(std::move(address))
    , zones_(zones)
    , zone_(zone)
    , storePath_(loop, store.endpoint())
    , client_(loop, budget_)
{
    char folder[] = "/tmp/bluebellshift-review-XXXXXX";
    folder_ = mkdtemp(folder);
}

GatewayMachine::~GatewayMachine()
{
    if (isAlive()) {
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    std::error_code ignored; // a folder that stays harms no later run
    std::filesystem::remove_all(folder_, ignored);
}

// Fills in the template of the deploy file as the platform does.
bool GatewayMachine::writeSettings() const
{
    std::string text = readFile(deployValue("template"));
    const auto begin = text.find("{{#zones}}");
    const auto end = text.find("{{/zones}}");
    if (begin == std::string::npos || end == std::string::npos)
        return false;
    const std::string opening = "{{#zones}}";
    const std::string section = text.substr(begin + opening.size(), end - begin - opening.size());
    std::string all;
    for (const Zone &zone : zones_) {
        std::string one = section;
        replaceAll(&one, "{{@}}", zone.name);
        replaceAll(&one, "{{.}}", zone.region);
        all += one;
    }
    text.replace(begin, end + opening.size() - begin, all);
    const auto at = [&](std::uint16_t port) { return address_ + ':' + std::to_string(port); };
    const std::pair<const char *, std::string> fields[] = {
        { "node_name", name_ },
        { "region", zone().region },
        { "zone", zone().name },
        { "ip", address_ },
        { "listen.front", at(frontPort) },
        { "listen.ready", at(readyPort) },
        { "listen.directory", at(directoryPort) },
        { "internal_ports.0", "7220" },
        { "internal_ports.1", "7221" },
        { "platform.address",
          storePath_.endpoint().address + ':' + std::to_string(storePath_.endpoint().port) },
        { "bounds.budget_ratio", "0.2" },
        { "bounds.budget_window_s", "10" },
        { "bounds.budget_slack", "64" },
        { "bounds.quota_window_s", "5" },
        { "bounds.quota_overage", "0.1" },
        { "bounds.quota_slack", "20" },
        { "bounds.cold_overage", "1.5" },
        { "bounds.cold_slack", "5" },
        { "bounds.ttl_max_s", "5" },
        { "bounds.grace_s", "6" },
        { "limits.max_fds", "4100" },
        { "limits.memory_mb", std::to_string(memoryMegabytes) },
    };
    for (const auto &[name, value] : fields)
        replaceAll(&text, "{{" + std::string(name) + "}}", value);
    std::ofstream(folder_ + "/boot.json") << text;
    return text.find("{{") == std::string::npos;
}

bool GatewayMachine::launch()
{
    isReady_ = false;
    if (!writeSettings())
        return false;
    std::vector<std::string> words;
    std::istringstream run(deployValue("run"));
    for (std::string word; run >> word;)
        words.push_back(word == "/etc/bluebellshift/boot.json" ? folder_ + "/boot.json" : word);
    if (words.empty() || access(words.front().c_str(), X_OK) != 0)
        return false;
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = folder_ + "/log";
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    hasEnded_ = process_ < 0;
    record_.write(name_ + " starts");
    return process_ > 0;
}

bool GatewayMachine::isAlive()
{
    if (process_ > 0 && !hasEnded_) {
        hasEnded_ = waitpid(process_, nullptr, WNOHANG) == process_;
        if (hasEnded_)
            record_.write(name_ + " has ended");
    }
    return process_ > 0 && !hasEnded_;
}

void GatewayMachine::signal(int number) const
{
    record_.write(name_ + " gets signal " + std::to_string(number));
    if (process_ > 0)
        kill(process_, number);
}

void GatewayMachine::askReady()
{
    net::CallOptions options;
    options.timeout = core::Duration::seconds(1);
    const std::string bytes = "GET /api/ready HTTP/1.1\r\nHost: " + name_ + "\r\n\r\n";
    client_.start({ address_, readyPort }, name_, bytes, options, [this](net::CallResult &&result) {
        const bool isReady = result.response && result.response->status == 200;
        if (isReady && !isReady_)
            record_.write(name_ + " is ready");
        isReady_ = isReady;
    });
}

std::string GatewayMachine::log() const
{
    return readFile(folder_ + "/log");
}

SmallFleet::SmallFleet(const SmallFleetOptions &options, const std::string &recordPath)
    : options_(options)
    , record_(recordPath)
    , store_(loop_, { addressOf(storeNumber), storePort })
    , zones_ { { "punjab-lhr", "punjab" }, { "kpk-psh", "kpk" }, { "sindh-khi", "sindh" } }
    , client_(loop_, budget_)
{
    std::signal(SIGPIPE, SIG_IGN);
    store_.setEraHeaders(std::vector<std::string>()); // the pages name no such header
    store_.setRates(2000, 400);
    for (std::size_t i = 0; i < options_.instances; ++i) {
        const std::string number = std::to_string(100 + i);
        instances_.push_back(std::make_unique<Instance>(
            loop_, store_, record_,
            Instance::Place { "i-" + number, service, zones_[i % zones_.size()].name,
                              options_.safeWork, options_.unsafeWork },
            addressOf(firstInstanceNumber + static_cast<int>(i))));
    }
    for (std::size_t i = 0; i < options_.gateways; ++i) {
        const std::size_t zone = i % zones_.size();
        const std::string name =
            "front-" + zones_[zone].name + '-' + std::to_string(1 + i / zones_.size());
        gateways_.push_back(std::make_unique<GatewayMachine>(
            loop_, store_, record_, name, addressOf(firstGatewayNumber + static_cast<int>(i)),
            zones_, zone));
    }
}

SmallFleet::~SmallFleet()
{
    isEnding_ = true;
    for (const auto &timer : timers_)
        timer->cancel();
}

void SmallFleet::writeConfig()
{
    const Json cluster = { { "name", service },
                           { "health_path", "/health" },
                           { "max_conns", 390 },
                           { "warmup_s", 3 },
                           { "cold_per_s", 3.6 } };
    const Json rules = { ruleFor(safePath, "safe", 0.5, options_.safeTimeout),
                         ruleFor(unsafePath, "unsafe", 0.6, 2.5) };
    const Json limits = { { "max_header_bytes", 16384 },
                          { "max_body_bytes", 1048576 },
                          { "header_timeout_s", 3 },
                          { "idle_timeout_s", 15 } };
    store_.put("config", "main",
               { { "version", 4 },
                 { "limits", limits },
                 { "listeners", { { { "host", host }, { "rules", rules } } } },
                 { "clusters", { cluster } },
                 { "tenants", { { { "name", "team" }, { "api_keys", { key } } } } } });
}

bool SmallFleet::start()
{
    writeConfig();
    for (const auto &instance : instances_)
        instance->join();
    for (const auto &gateway : gateways_) {
        if (!gateway->launch())
            return false;
    }
    every(Millis(250), [this] {
        for (const auto &gateway : gateways_) {
            if (gateway->isAlive())
                gateway->askReady();
        }
    });
    return waitUntilReady(Millis(10'000));
}

bool SmallFleet::waitUntilReady(Millis time)
{
    const auto until = Clock::now() + time;
    const auto isReady = [](const auto &gateway) { return gateway->isReady(); };
    while (!std::all_of(gateways_.begin(), gateways_.end(), isReady)) {
        if (Clock::now() > until)
            return false;
        loop_.run_one_for(tick);
    }
    return true;
}

void SmallFleet::beginTraffic()
{
    hasTraffic_ = true;
    askDirectory(directoryTries);
    every(Millis(2000), [this] { askDirectory(directoryTries); });
    sendNext(false, options_.safeInterval);
    sendNext(true, options_.unsafeInterval);
}

void SmallFleet::runFor(Millis time)
{
    const auto until = Clock::now() + time;
    while (Clock::now() < until)
        loop_.run_one_for(tick);
}

void SmallFleet::at(Millis delay, std::function<void()> action)
{
    timers_.push_back(std::make_unique<boost::asio::steady_timer>(loop_, delay));
    timers_.back()->async_wait([this, action = std::move(action)](const auto &error) {
        if (!error && !isEnding_)
            action();
    });
}

void SmallFleet::every(Millis interval, std::function<void()> action)
{
    at(interval, [this, interval, action = std::move(action)] {
        action();
        every(interval, action);
    });
}

// Asks up to three machines in turn. An answer is kept until a new one comes.
void SmallFleet::askDirectory(std::size_t tries)
{
    if (tries == 0)
        return;
    const auto &gateway = gateways_[lookups_++ % gateways_.size()];
    net::CallOptions options;
    options.timeout = core::Duration::seconds(1);
    const std::string bytes = "GET /api/lookup?name=" + std::string(host)
        + "&region=" + gateway->zone().region + "&zone=" + gateway->zone().name
        + " HTTP/1.1\r\nHost: directory\r\n\r\n";
    client_.start({ gateway->address(), directoryPort }, "directory of " + gateway->name(), bytes,
                  options, [this, tries](net::CallResult &&result) {
                      std::vector<std::string> known;
                      if (result.response && result.response->status == 200) {
                          const Json body = Json::parse(result.response->body, nullptr, false);
                          for (const Json &address : body.value("addresses", Json::array())) {
                              const std::string text = address.get<std::string>();
                              known.push_back(text.substr(0, text.rfind(':')));
                          }
                      }
                      if (known.empty())
                          askDirectory(tries - 1);
                      else
                          known_ = known;
                  });
}

void SmallFleet::sendNext(bool isUnsafe, Millis interval)
{
    at(interval, [this, isUnsafe, interval] {
        if (hasTraffic_ && !known_.empty())
            send(isUnsafe);
        sendNext(isUnsafe, interval);
    });
}

void SmallFleet::send(bool isUnsafe)
{
    const std::size_t number = requests_.size();
    const std::string address = known_[number * 7 / 3 % known_.size()];
    Request request;
    request.id = "r-" + std::to_string(number);
    request.isUnsafe = isUnsafe;
    request.sentAt = Clock::now();
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (gateways_[i]->address() == address)
            request.gateway = i;
    }
    const std::string &gateway = gateways_[request.gateway]->name();
    record_.write(request.id + (isUnsafe ? " (turn-swap)" : " (rota-view)") + " sent to "
                  + gateway);
    requests_.push_back(request);
    const std::string head =
        isUnsafe ? std::string("POST ") + unsafePath : std::string("GET ") + safePath;
    const std::string bytes = head + std::to_string(number) + " HTTP/1.1\r\nHost: " + host
        + "\r\nRequest-Id: " + request.id + "\r\nDeadline-Ms: " + std::to_string(deadline.count())
        + "\r\nAuthorization: Bearer " + key + "\r\n"
        + (isUnsafe ? "Content-Length: 4\r\n\r\nswap" : "\r\n");
    net::CallOptions options;
    options.timeout = core::Duration::millis(deadline.count());
    options.idHeader = "Request-Id";
    options.requestId = request.id;
    client_.start({ address, frontPort }, "front " + address, bytes, options,
                  [this, number](net::CallResult &&result) {
                      Request &ended = requests_[number];
                      ended.endedAt = Clock::now();
                      if (result.response) {
                          ended.status = result.response->status;
                          const auto &headers = result.response->headers;
                          ended.isServed = ended.status == 200
                              && net::findHeader(headers, "Server-Stamp") != nullptr;
                      }
                      record_.write(ended.id + " ends: "
                                    + (ended.status != 0 ? std::to_string(ended.status)
                                                         : net::toText(result.outcome)));
                  });
}

void SmallFleet::report(const std::string &text)
{
    record_.write(text);
    std::cout << text << std::endl;
}

std::pair<std::size_t, std::size_t> SmallFleet::servedBetween(Clock::time_point from,
                                                              Clock::time_point to) const
{
    std::pair<std::size_t, std::size_t> counts { 0, 0 };
    for (const Request &request : requests_) {
        if (request.sentAt < from || request.sentAt >= to)
            continue;
        ++counts.first;
        counts.second += request.isServed ? 1 : 0;
    }
    return counts;
}

void SmallFleet::writeLogs() const
{
    const char *folder = std::getenv("LOGS");
    if (folder == nullptr)
        return;
    for (const auto &gateway : gateways_)
        std::ofstream(std::string(folder) + '/' + gateway->name() + ".log") << gateway->log();
}

} // namespace review
