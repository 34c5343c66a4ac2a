#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point startedAt = Clock::now();
constexpr char program[] = "target/bluebellshift/gatewayd/bluebellshift-gateway";
constexpr char host[] = "shop.example";
constexpr double heartbeatSeconds = 1.5;
constexpr std::size_t readBytes = 65536;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

bool isSameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strncasecmp(a.c_str(), b.c_str(), a.size()) == 0;
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const std::string part =
            target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        query[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
        at = end;
    }
    return query;
}

// Serves each accepted connection in a thread of its own, as long as the program runs.
void acceptAll(int listener, const std::function<void(int)> &serve)
{
    std::thread([listener, serve] {
        for (;;) {
            const int socket = accept(listener, nullptr, nullptr);
            if (socket < 0)
                return;
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([socket, serve] {
                serve(socket);
                close(socket);
            }).detach();
        }
    }).detach();
}

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int listenOn(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(socket, 256) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address = {};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

// Below the range from which the system takes the ports of outgoing connections.
std::uint16_t freePort()
{
    static std::atomic<int> next { 15000 + getpid() % 100 * 150 };
    for (;;) {
        const auto port = static_cast<std::uint16_t>(next++);
        const int socket = listenOn(port);
        if (socket < 0)
            continue;
        close(socket);
        return port;
    }
}

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (isSameName(key, name))
            return value;
    }
    return {};
}

int Message::status() const
{
    const auto space = start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start.c_str() + space);
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::path() const
{
    const auto space = start.find(' ');
    if (space == std::string::npos)
        return {};
    return start.substr(space + 1, start.find(' ', space + 1) - space - 1);
}

bool Reader::fill()
{
    char bytes[readBytes];
    const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
    if (size <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    bytesRead_ += static_cast<std::size_t>(size);
    return true;
}

bool Reader::read(Message *message)
{
    *message = Message();
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill())
            return false;
        end = buffer_.find("\r\n\r\n");
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message->start = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
        const auto lineEnd = head.find("\r\n", at);
        const std::string line = head.substr(at, lineEnd - at);
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        message->headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
        at = lineEnd + 2;
    }
    const auto length =
        static_cast<std::size_t>(std::atoll(message->header("Content-Length").c_str()));
    while (buffer_.size() < length) {
        if (!fill()) {
            message->body = buffer_;
            return false;
        }
    }
    message->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr)
        std::exit(2);
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", now(), text.c_str());
    std::fflush(file_);
}

Store::Store()
{
    listener_ = listenOn(0);
    port_ = portOf(listener_);
    acceptAll(listener_, [this](int socket) { serve(socket); });
}

void Store::put(const std::string &kind, const std::string &name, Json spec, Json status)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Json object = objects_[kind].count(name) != 0
        ? objects_[kind][name]
        : Json { { "metadata", { { "name", name }, { "finalizers", Json::array() } } } };
    object["spec"] = std::move(spec);
    object["status"] = std::move(status);
    change(kind, name, std::move(object), false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end())
        change(kind, name, Json(found->second), true);
}

void Store::putForeign(const std::string &kind, const std::string &name,
                       const std::string &specText)
{
    const std::string mark = "foreign-" + kind + '-' + name;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        foreignTexts_['"' + mark + '"'] = specText;
    }
    put(kind, name, mark, nullptr);
}

std::size_t Store::count(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return objects_[kind].size();
}

// The caller holds the mutex.
void Store::change(const std::string &kind, const std::string &name, Json object, bool isDeleted)
{
    ++revision_;
    object["metadata"]["revision"] = revision_;
    if (isDeleted)
        objects_[kind].erase(name);
    else
        objects_[kind][name] = object;
    history_.push_back({ revision_, kind, std::move(object), isDeleted });
    changed_.notify_all();
}

void Store::serve(int socket)
{
    Reader reader(socket);
    Message request;
    while (reader.read(&request)) {
        const auto [status, body] = answer(request);
        std::string text = body.dump();
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const auto &[mark, foreign] : foreignTexts_) {
                for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at))
                    text.replace(at, mark.size(), foreign);
            }
        }
        if (!sendAll(socket,
                     "HTTP/1.1 " + std::to_string(status)
                         + " -\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

std::pair<int, Json> Store::answer(const Message &request)
{
    const std::string prefix = "/api/objects/";
    const std::string target = request.path();
    const std::string path = target.substr(0, target.find('?'));
    if (path.compare(0, prefix.size(), prefix) != 0)
        return { 404, Json::object() };
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method() == "GET" && name.empty())
        return list(kind, queryOf(target));
    return write(request, kind, name, queryOf(target));
}

std::pair<int, Json> Store::list(const std::string &kind, std::map<std::string, std::string> query)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (query.count("watch") != 0) {
        const std::uint64_t after = std::stoull(query["watch"]);
        const auto wait = std::chrono::milliseconds(std::atoll(query["wait_ms"].c_str()));
        Json events = Json::array();
        changed_.wait_until(lock, Clock::now() + wait, [&] {
            for (const Event &event : history_) {
                if (event.kind == kind && event.revision > after)
                    events.push_back(
                        { { "object", event.object }, { "deleted", event.isDeleted } });
            }
            return !events.empty();
        });
        return { 200, { { "events", events }, { "at", revision_ } } };
    }
    Json items = Json::array();
    bool hasMore = false;
    for (const auto &[name, object] : objects_[kind]) {
        if (query.count("after") != 0 && name <= query["after"])
            continue;
        hasMore = items.size() == 500;
        if (hasMore)
            break;
        items.push_back(object);
    }
    return { 200, { { "items", items }, { "has_more", hasMore }, { "at", revision_ } } };
}

std::pair<int, Json> Store::write(const Message &request, const std::string &kind,
                                  const std::string &name, std::map<std::string, std::string> query)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Json sent = Json::parse(request.body, nullptr, false);
    if (request.method() == "POST") {
        const std::string created = sent["metadata"]["name"];
        if (const auto found = objects_[kind].find(created); found != objects_[kind].end())
            return { 409, found->second };
        Json object = { { "metadata", { { "name", created }, { "finalizers", Json::array() } } },
                        { "spec", sent["spec"] },
                        { "status", nullptr } };
        change(kind, created, std::move(object), false);
        return { 200, objects_[kind][created] };
    }
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end())
        return { 404, Json::object() };
    if (request.method() == "GET")
        return { 200, found->second };
    if (query.count("revision") != 0
        && std::stoull(query["revision"]) != found->second["metadata"]["revision"])
        return { 409, found->second };
    if (request.method() == "DELETE") {
        change(kind, name, Json(found->second), true);
        return { 200, Json::object() };
    }
    Json object = found->second;
    if (object["spec"] != sent["spec"]) {
        object["spec"] = sent["spec"];
        change(kind, name, std::move(object), false);
    }
    return { 200, objects_[kind][name] };
}

World::World(const std::string &folderName)
    : folder(folderName)
    , record(folderName + "/record.txt")
{
    std::signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/review-XXXXXX";
    if (mkdtemp(pattern) == nullptr)
        std::exit(2);
    temporary = pattern;
}

void finish(World &world, int code)
{
    const std::string remove = "rm -r " + world.temporary;
    if (std::system(remove.c_str()) != 0)
        world.record.line("the temporary folder could not be removed");
    world.record.line("exit code " + std::to_string(code));
    _exit(code);
}

void World::configure(const Json &rules, const Json &clusters, const Json &tenants)
{
    const Json limits = { { "max_header_bytes", 16384 },
                          { "max_body_bytes", 67108864 },
                          { "header_timeout_s", 3 },
                          { "idle_timeout_s", 15 } };
    const Json listener = { { "host", host }, { "rules", rules } };
    configVersion = static_cast<std::uint16_t>(configVersion + 7);
    store.put("config", "main",
              { { "version", configVersion },
                { "limits", limits },
                { "tenants", tenants },
                { "listeners", Json::array({ listener }) },
                { "clusters", clusters } },
              nullptr);
}

Instance::Instance(World &world, InstanceOptions options)
    : world_(world)
    , options_(std::move(options))
{
    listener_ = listenOn(0);
    port_ = portOf(listener_);
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    coldUntil_ = now() + options_.warmupSeconds;
    acceptAll(listener_, [this](int socket) { serve(socket); });
}

void Instance::writeEntry(bool isFirst)
{
    const double left = std::max(0.0, coldUntil_ - now());
    const Json status = { { "state", isDraining_ ? "draining" : "ready" },
                          { "sequence", ++sequence_ },
                          { "warmup_left_s", left } };
    const Json spec = { { "address", address(port_) },
                        { "born", born_ },
                        { "info",
                          { { "service", options_.service },
                            { "version", "v1" },
                            { "zone", options_.zone },
                            { "slots", options_.slots } } },
                        { "status", status } };
    world_.store.put("servers", options_.id, spec, isFirst ? Json(nullptr) : status);
}

void Instance::beginBeats()
{
    writeEntry(true);
    // The entry changes when more than the sequence changes: only while it is cold.
    std::thread([this] {
        for (;;) {
            sleepSeconds(heartbeatSeconds);
            const bool wasCold = now() < coldUntil_ + 2 * heartbeatSeconds;
            const std::lock_guard<std::mutex> lock(mutex_);
            if (hasLeft_)
                return;
            if (wasCold && options_.warmupSeconds > 0)
                writeEntry(false);
        }
    }).detach();
}

void Instance::drain()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    isDraining_ = true;
    writeEntry(false);
    world_.record.line("instance " + options_.id + " reports draining");
}

void Instance::leave()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        hasLeft_ = true;
        shutdown(listener_, SHUT_RDWR);
        for (const int socket : sockets_)
            shutdown(socket, SHUT_RDWR);
    }
    world_.store.remove("servers", options_.id);
    world_.record.line("instance " + options_.id + " has left");
}

std::vector<double> Instance::arrivals()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
}

void Instance::serve(int socket)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (hasLeft_)
            return;
        sockets_.insert(socket);
    }
    serveRequests(socket);
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.erase(socket);
}

void Instance::serveRequests(int socket)
{
    Reader reader(socket);
    Message request;
    while (reader.read(&request)) {
        const std::string id = request.header("Request-Id");
        const std::string expected = request.header("Expect-Instance");
        const std::string common = "Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
        if (!expected.empty() && expected != options_.id) {
            sendAll(socket, "HTTP/1.1 421 -\r\n" + common + "Content-Length: 0\r\n\r\n");
            continue;
        }
        const std::string path = request.path();
        double work = options_.workSeconds;
        if (const auto other = workOf.find(path); other != workOf.end())
            work = other->second;
        std::string load;
        bool isRejected = false;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            arrivals_.push_back(now());
            isRejected = running_ >= options_.slots && waiting_ >= 3 * options_.slots;
            if (!isRejected) {
                ++waiting_;
                slotFree_.wait(lock, [this] { return running_ < options_.slots; });
                --waiting_;
                ++running_;
            }
            load = std::to_string(running_) + ',' + std::to_string(waiting_) + ','
                + std::to_string(options_.slots);
        }
        if (isRejected) {
            world_.record.line("instance " + options_.id + " rejects " + id + " (full)");
            sendAll(socket,
                    "HTTP/1.1 503 -\r\n" + common + "Not-Run: full\r\nServer-Load: " + load
                        + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        world_.record.line("instance " + options_.id + " runs " + id + " " + path);
        if (onArrival)
            onArrival(request);
        // It drops the request when its connection closes.
        pollfd polled { socket, POLLRDHUP, 0 };
        const bool isDropped = poll(&polled, 1, static_cast<int>(work * 1000)) > 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            --running_;
            slotFree_.notify_one();
        }
        if (isDropped) {
            world_.record.line("instance " + options_.id + " drops " + id
                               + ": its connection was closed while it was at work");
            return;
        }
        const std::string body(options_.bodyBytes, 'b');
        world_.record.line("instance " + options_.id + " answers " + id + " with 200, "
                           + std::to_string(body.size()) + " bytes");
        if (!sendAll(socket,
                     "HTTP/1.1 200 OK\r\n" + common + "Server-Stamp: stamp." + options_.id + '.'
                         + id + "\r\nServer-Load: " + load + "\r\nContent-Length: "
                         + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

Gateway::Gateway(World &world, GatewayOptions options,
                 const std::map<std::string, std::string> &zones)
    : world_(world)
    , options_(std::move(options))
    , callers_(freePort())
    , ready_(freePort())
    , settings_(world.temporary + '/' + options_.id + ".toml")
{
    std::string text = "[vm]\nid = \"" + options_.id + "\"\nregion = \"" + options_.region
        + "\"\nfailure_domain = \"" + options_.zone + "\"\n\n[listen]\ncallers = \""
        + address(callers_) + "\"\nready = \"" + address(ready_) + "\"\nlookups = \""
        + address(freePort()) + "\"\npeers = \"" + address(freePort()) + "\"\nmetrics = \""
        + address(freePort()) + "\"\n\n[platform]\nstore = \"" + address(world.store.port())
        + "\"\n\n[bounds]\nrepeat_ratio = 0.2\nrepeat_window_seconds = 10\nrepeat_slack = 64\n"
          "quota_window_seconds = 5\nquota_overage = 0.1\nquota_slack = 20\n"
          "cold_overage = 1.5\ncold_slack = 5\nlookup_ttl_most_seconds = 5\n\n"
          "[limits]\nstop_grace_seconds = 6\ndescriptors = 4100\nmemory_mb = 260\n";
    for (const auto &[zone, region] : zones)
        text += "\n[[failure_domain]]\nname = \"" + zone + "\"\nregion = \"" + region + "\"\n";
    std::FILE *file = std::fopen(settings_.c_str(), "w");
    if (file == nullptr)
        std::exit(2);
    std::fputs(text.c_str(), file);
    std::fclose(file);
}

Gateway::~Gateway()
{
    if (process_ <= 0)
        return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

void Gateway::start()
{
    const std::string log = world_.temporary + '/' + options_.id + ".log";
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl(program, program, "--settings", settings_.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    world_.record.line("gateway " + options_.id + " is started");
}

void Gateway::signal(int number) const
{
    world_.record.line("gateway " + options_.id + " gets signal " + std::to_string(number));
    if (process_ > 0)
        kill(process_, number);
}

bool Gateway::waitForEnd(double seconds)
{
    const double until = now() + seconds;
    while (now() < until) {
        int status = 0;
        if (waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
            world_.record.line("gateway " + options_.id + " has ended");
            return true;
        }
        sleepSeconds(0.005);
    }
    return false;
}

bool Gateway::waitUntilReady(double seconds) const
{
    const double until = now() + seconds;
    while (now() < until) {
        const int socket = connectTo(ready_);
        if (socket >= 0) {
            sendAll(socket, "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            Reader reader(socket);
            Message response;
            const bool isReady = reader.read(&response) && response.status() == 200;
            close(socket);
            if (isReady)
                return true;
        }
        sleepSeconds(0.02);
    }
    return false;
}

std::string requestText(const std::string &path, const std::string &id, int deadlineMillis,
                        const std::string &method)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMillis)
        + (method == "GET" ? "" : "\r\nContent-Length: 0") + "\r\n\r\n";
}

} // namespace review
