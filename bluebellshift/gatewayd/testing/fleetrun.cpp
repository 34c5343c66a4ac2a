#include "bluebellshift/gatewayd/testing/fleetrun.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "bluebellshift/net/httpmessage.h"

namespace bluebellshift::gatewayd::testing {
namespace {

using platform::testing::Availability;

constexpr std::chrono::milliseconds tickInterval { 20 };
constexpr std::chrono::milliseconds minLoopDelay { 250 }; // that counts, as for event 108
constexpr std::chrono::seconds stopGrace { 6 };           // grace_s
constexpr int keptConnections = 3;                        // at each gateway
constexpr std::chrono::seconds startLimit { 20 };
constexpr std::chrono::milliseconds settleTime { 4000 }; // for the gateways to find each other
constexpr int logLinesPerSecond = 2000;
constexpr int fleetReadsPerSecond = 2000; // reads_per_s
constexpr int fleetWritesPerSecond = 400; // writes_per_s
constexpr int casesShown = 4;             // of each rule
constexpr core::Duration clientTimeout = core::Duration::millis(2500);
const std::vector<std::string> services = { "north", "south" };

const std::map<std::string, std::string> &regionOf()
{
    static const std::map<std::string, std::string> regions = {
        { "east-1", "east" }, { "east-2", "east" }, { "west-1", "west" },
        { "west-2", "west" }, { "mid-1", "mid" },   { "mid-2", "mid" },
    };
    return regions;
}

std::string valueIn(const std::string &line, const std::string &key)
{
    const auto at = line.find(' ' + key + '=');
    if (at == std::string::npos)
        return {};
    const auto begin = at + key.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
}

std::chrono::system_clock::time_point timeOf(const std::string &line)
{
    std::tm time = {};
    int millis = 0;
    if (std::sscanf(line.c_str(), "time=%d-%d-%dT%d:%d:%d.%dZ", &time.tm_year, &time.tm_mon,
                    &time.tm_mday, &time.tm_hour, &time.tm_min, &time.tm_sec, &millis)
        != 7)
        return {};
    time.tm_year -= 1900;
    time.tm_mon -= 1;
    return std::chrono::system_clock::from_time_t(timegm(&time))
        + std::chrono::milliseconds(millis);
}

std::string outcomeOf(const net::CallResult &result)
{
    if (result.outcome != net::CallOutcome::Answered)
        return {};
    switch (result.response->status) {
    case 200:
        return result.response->body;
    case 401:
    case 403:
    case 404:
        return std::to_string(result.response->status);
    default:
        return {};
    }
}

} // namespace

FleetRun::FleetRun(const FleetRunOptions &options)
    : options_(options)
    , random_(options.seed)
    , store_(loop_)
    , requestRandom_(options.seed)
    , config_(store_, options.seed)
    , tickTimer_(loop_)
    , client_(loop_, budget_)
{
    store_.setRates(fleetReadsPerSecond, fleetWritesPerSecond);
    for (const auto &[domain, region] : regionOf())
        domains_.push_back(domain);
    config_.publish();
    for (std::size_t i = 0; i < options_.targets; ++i)
        addTarget();
    for (std::size_t i = 0; i < options_.vms; ++i) {
        GatewayPlace place;
        place.vm = "vm-" + std::to_string(i);
        place.failureDomain = domains_[i % domains_.size()];
        place.regionOf = regionOf();
        place.logLinesPerSecond = logLinesPerSecond;
        Gateway gateway;
        gateway.proxy = std::make_unique<StoreProxy>(loop_, store_.endpoint());
        gateway.proxy->setDelay(options_.storeDelay);
        gateway.process = std::make_unique<GatewayProcess>(loop_, gateway.proxy->endpoint(), place);
        gateways_.push_back(std::move(gateway));
    }
}

FleetRun::~FleetRun()
{
    isFinished_ = true;
    for (const auto &timer : timers_)
        timer->cancel();
    tickTimer_.cancel();
}

void FleetRun::addTarget(double warmup)
{
    const std::size_t number = targets_.size();
    targets_.push_back(std::make_unique<ListedTarget>(
        loop_, store_,
        TargetPlace { "t-" + std::to_string(number), services[number % services.size()],
                      domains_[number / services.size() % domains_.size()] }));
    targets_.back()->join(warmup);
}

bool FleetRun::start()
{
    startedAt_ = TestClock::now();
    startedAtWallTime_ = std::chrono::system_clock::now();
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (!gateways_[i].process->launch())
            return false;
        beginFault(i, "start");
        gateways_[i].isStarting = true;
    }
    tick();
    const auto limit = TestClock::now() + startLimit;
    while (std::any_of(gateways_.begin(), gateways_.end(),
                       [](const Gateway &gateway) { return gateway.isStarting; })) {
        if (TestClock::now() > limit)
            return false;
        loop_.run_one_for(tickInterval);
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        sendRequests(i);
    runFor(settleTime);
    return true;
}

void FleetRun::runFor(Milliseconds time)
{
    const auto until = TestClock::now() + time;
    while (TestClock::now() < until)
        loop_.run_one_for(tickInterval);
}

void FleetRun::at(Milliseconds delay, std::function<void()> action)
{
    timers_.push_back(std::make_unique<boost::asio::steady_timer>(loop_, delay));
    timers_.back()->async_wait([action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

void FleetRun::every(Milliseconds interval, const std::function<bool()> &action)
{
    at(interval, [this, interval, action] {
        if (isChanging_ && action())
            every(interval, action);
    });
}

// Notes how late the loop is, and starts ended processes again.
void FleetRun::tick()
{
    tickTimer_.expires_after(tickInterval);
    tickTimer_.async_wait([this, due = TestClock::now() + tickInterval](auto error) {
        if (error || isFinished_)
            return;
        const auto now = TestClock::now();
        if (now - due > minLoopDelay) {
            note("the run's own loop was late");
            observed_.storeDisturbances.push_back({ due, now });
        }
        checkProcesses();
        tick();
    });
}

void FleetRun::checkProcesses()
{
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        Gateway &gateway = gateways_[i];
        if (gateway.isStarting && gateway.process->isServing()) {
            gateway.isStarting = false;
            endFault(i);
            keepConnections(i);
        }
        if (gateway.process->isAlive() || TestClock::now() < nextRestartAt_)
            continue;
        nextRestartAt_ = TestClock::now() + options_.restartInterval;
        const bool isPortTaken =
            gateway.isStarting && gateway.process->log().find("can't listen") != std::string::npos;
        if (!gateway.isEndExpected && !isPortTaken)
            ownEnds_.push_back(std::to_string(i));
        if (!gateway.isStarting && !gateway.isEndExpected)
            beginFault(i, "end of its own");
        if (gateway.terminatedAt != TestClock::time_point()
            && TestClock::now() - gateway.terminatedAt > stopGrace + tickInterval)
            ++lateEnds_;
        gateway.terminatedAt = {};
        gateway.isEndExpected = false;
        gateway.isStarting = true;
        ++gateway.incarnation;
        gateway.process->launch();
    }
}

void FleetRun::keepConnections(std::size_t vm)
{
    Gateway &gateway = gateways_[vm];
    gateway.keepers.clear();
    for (int i = 0; i < keptConnections; ++i) {
        gateway.keepers.push_back(
            net::testing::RawPeer::connect(loop_, gateway.process->callers()));
        gateway.keepers.back().send("GET /a/x HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 2000\r\n\r\n");
    }
}

std::int64_t FleetRun::millisOf(TestClock::time_point time) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time - startedAt_).count();
}

void FleetRun::note(const std::string &text)
{
    notes_ << millisOf(TestClock::now()) << " ms " << text << '\n';
}

void FleetRun::beginFault(std::size_t vm, const std::string &name)
{
    note("vm-" + std::to_string(vm) + ' ' + name);
    Gateway &gateway = gateways_[vm];
    if (gateway.faults++ == 0)
        gateway.disturbedFrom = TestClock::now();
}

void FleetRun::endFault(std::size_t vm)
{
    note("vm-" + std::to_string(vm) + " end of a fault");
    Gateway &gateway = gateways_[vm];
    if (--gateway.faults == 0)
        observed_.disturbances[vm].push_back({ gateway.disturbedFrom, TestClock::now() });
}

bool FleetRun::isDisturbed(std::size_t vm) const
{
    return gateways_[vm].faults > 0;
}

void FleetRun::publish()
{
    if (!isStoreAway_)
        config_.publish();
}

void FleetRun::drill(platform::testing::StoreStandin::Copy copy, Milliseconds away,
                     Milliseconds writeAgainWithin)
{
    const auto from = TestClock::now();
    note("store away");
    isStoreAway_ = true;
    store_.setAvailability(Availability::Resetting);
    store_.resetWatches();
    at(away, [this, from, writeAgainWithin, copy = std::move(copy)] {
        note("store returns, revision " + std::to_string(store_.revision()) + " before and "
             + std::to_string(copy.revision()) + " after");
        store_.restore(copy);
        store_.setAvailability(Availability::Serving);
        isStoreAway_ = false;
        observed_.storeDisturbances.push_back({ from, TestClock::now() });
        const auto moment = [&] {
            return Milliseconds(random_() % static_cast<std::uint64_t>(writeAgainWithin.count()));
        };
        at(moment(), [this] { config_.writeAgain(); });
        for (const std::string &domain : domains_)
            at(moment(), [this, domain] { writeEvacuation(domain); });
        for (const auto &target : targets_)
            at(moment(), [one = target.get()] { one->writeAgain(); });
    });
}

void FleetRun::freeze(std::size_t vm, Milliseconds time)
{
    if (isDisturbed(vm))
        return;
    beginFault(vm, "stopped");
    gateways_[vm].process->signal(SIGSTOP);
    at(time, [this, vm] {
        gateways_[vm].process->signal(SIGCONT);
        endFault(vm);
    });
}

void FleetRun::disturbLink(std::size_t vm, LinkFault fault, Milliseconds time)
{
    if (gateways_[vm].proxy->fault() != LinkFault::None)
        return;
    beginFault(vm, std::string("link ") + toText(fault));
    gateways_[vm].proxy->setFault(fault);
    at(time, [this, vm] {
        gateways_[vm].proxy->setFault(LinkFault::None);
        endFault(vm);
    });
}

void FleetRun::halfOpenLink(std::size_t vm)
{
    beginFault(vm, "half-open");
    gateways_[vm].proxy->halfOpen();
    endFault(vm);
}

void FleetRun::terminate(std::size_t vm)
{
    if (isDisturbed(vm))
        return;
    beginFault(vm, "SIGTERM");
    gateways_[vm].isEndExpected = true;
    gateways_[vm].terminatedAt = TestClock::now();
    gateways_[vm].process->signal(SIGTERM);
}

void FleetRun::kill(std::size_t vm)
{
    if (isDisturbed(vm))
        return;
    beginFault(vm, "SIGKILL");
    gateways_[vm].isEndExpected = true;
    gateways_[vm].process->signal(SIGKILL);
    observed_.kills[vm].push_back({ TestClock::now(), TestClock::now() });
}

void FleetRun::reload(std::size_t vm)
{
    if (isDisturbed(vm))
        return;
    note("vm-" + std::to_string(vm) + " SIGHUP");
    gateways_[vm].process->signal(SIGHUP);
}

void FleetRun::evacuate(const std::string &failureDomain, Milliseconds time)
{
    if (isStoreAway_)
        return;
    note("evacuation of " + failureDomain);
    evacuatedSince_[failureDomain] = {};
    writeEvacuation(failureDomain);
    at(time, [this, failureDomain] {
        note("end of the evacuation of " + failureDomain);
        observed_.evacuations.push_back(
            { failureDomain, { evacuatedSince_[failureDomain], TestClock::now() } });
        evacuatedSince_.erase(failureDomain);
        store_.remove("evacuations", failureDomain);
    });
}

// Writes an evacuation as the operator wants it: present or removed.
void FleetRun::writeEvacuation(const std::string &failureDomain)
{
    const auto evacuation = evacuatedSince_.find(failureDomain);
    if (evacuation == evacuatedSince_.end()) {
        store_.remove("evacuations", failureDomain);
        return;
    }
    store_.put("evacuations", failureDomain, platform::Json::object());
    evacuation->second = TestClock::now();
}

std::vector<std::size_t> FleetRun::readers() const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const std::string log = gateways_[i].process->log();
        const auto last = log.rfind("event=212 ");
        if (last != std::string::npos && valueIn(log.substr(last, 200), "mode") == "reads")
            result.push_back(i);
    }
    return result;
}

void FleetRun::sendRequests(std::size_t vm)
{
    at(options_.requestInterval, [this, vm] {
        if (isFinished_)
            return;
        sendRequest(vm);
        sendRequests(vm);
    });
}

void FleetRun::sendRequest(std::size_t vm)
{
    const Gateway &gateway = gateways_[vm];
    if (gateway.isStarting)
        return;
    ClientRequest request;
    char id[24];
    std::snprintf(id, sizeof(id), "%02zx%014llx", vm,
                  static_cast<unsigned long long>(++requestNumber_));
    request.id = id;
    request.vm = vm;
    request.incarnation = gateway.incarnation;
    request.path = config_.randomPath(requestRandom_);
    request.key = ConfigOperator::randomKey(requestRandom_);
    request.sentAt = TestClock::now();
    net::CallOptions options;
    options.timeout = clientTimeout;
    options.idHeader = "Request-Id";
    options.requestId = request.id;
    const std::string bytes = "GET " + request.path
        + "x HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 2000\r\n" + "Request-Id: " + request.id
        + "\r\nAuthorization: Bearer " + request.key + "\r\n\r\n";
    const std::string pool = std::to_string(vm) + '/' + std::to_string(request.incarnation);
    client_.start({ "127.0.0.1", gateway.process->callers() }, pool, bytes, options,
                  [this, request](net::CallResult &&result) {
                      ClientRequest ended = request;
                      ended.endedAt = TestClock::now();
                      ended.outcome = outcomeOf(result);
                      ended.isUnanswered = result.outcome == net::CallOutcome::Cut;
                      observed_.requests.push_back(std::move(ended));
                  });
}

FleetRun::Result FleetRun::finish()
{
    isFinished_ = true;
    Result result;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (gateways_[i].faults > 0)
            observed_.disturbances[i].push_back({ gateways_[i].disturbedFrom, TestClock::now() });
    }
    result.newestVersion = config_.versions().back().number;
    readLogs(&result);
    observed_.versions = config_.versions();
    for (const auto &target : targets_)
        observed_.targets.push_back(target.get());
    result.cases = checkRules(observed_);
    result.ownEnds = ownEnds_;
    result.lateEnds = lateEnds_;
    result.requests = observed_.requests.size();
    for (const ClientRequest &request : observed_.requests)
        result.answered += request.outcome.empty() ? 0 : 1;
    std::vector<int> calls;
    for (const Gateway &gateway : gateways_) {
        const std::vector<int> &own = gateway.proxy->callsBySecond();
        calls.resize(std::max(calls.size(), own.size()));
        for (std::size_t i = 0; i < own.size(); ++i)
            calls[i] += own[i];
    }
    for (const int count : calls)
        result.mostCallsPerSecond = std::max(result.mostCallsPerSecond, count);
    return result;
}

void FleetRun::readLogs(Result *result)
{
    result->versions.resize(gateways_.size());
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        readLog(i, gateways_[i].process->log(), result);
}

void FleetRun::readLog(std::size_t vm, const std::string &log, Result *result)
{
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const std::string event = valueIn(line, "event");
        const std::string name = valueIn(line, "name");
        if (event == "207") {
            result->versions[vm] = std::strtoull(valueIn(line, "config").c_str(), nullptr, 10);
        } else if (event == "108") {
            const auto end = startedAt_ + (timeOf(line) - startedAtWallTime_);
            const std::chrono::milliseconds delay(std::atoi(valueIn(line, "delayMs").c_str()));
            observed_.disturbances[vm].push_back(
                { std::chrono::time_point_cast<TestClock::duration>(end - delay),
                  std::chrono::time_point_cast<TestClock::duration>(end) });
        }
        if (event == "108" || (event >= "207" && event <= "216"))
            ++result->linesOf[name];
    }
}

void FleetRun::writeLogs(const std::string &folder, const Result &result) const
{
    std::filesystem::create_directories(folder);
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        std::ofstream(folder + "/vm-" + std::to_string(i)) << gateways_[i].process->log();
    std::ofstream(folder + "/faults") << notes_.str();
    std::ofstream cases(folder + "/cases");
    for (const RuleCase &one : result.cases)
        cases << millisOf(one.at) << " ms " << one.rule << " vm-" << one.vm << ' ' << one.text
              << '\n';
}

bool FleetRun::Result::isConverged() const
{
    return std::all_of(versions.begin(), versions.end(),
                       [this](std::uint64_t version) { return version == newestVersion; });
}

std::string FleetRun::Result::text() const
{
    std::ostringstream out;
    out << requests << " requests, " << answered << " with an outcome; newest version "
        << newestVersion << ", in force:";
    for (const std::uint64_t version : versions)
        out << ' ' << version;
    out << "; most calls to the store in a second: " << mostCallsPerSecond << "; lines:";
    for (const auto &[name, count] : linesOf)
        out << ' ' << name << ' ' << count;
    out << "; ended by themselves: " << ownEnds.size() << ", late after SIGTERM: " << lateEnds
        << '\n';
    std::map<std::string, std::vector<const RuleCase *>> byRule;
    for (const RuleCase &one : cases)
        byRule[one.rule].push_back(&one);
    for (const auto &[rule, found] : byRule) {
        std::set<std::size_t> vms;
        for (const RuleCase *one : found)
            vms.insert(one->vm);
        out << rule << ' ' << found.size() << " cases at " << vms.size() << " VMs, over "
            << std::chrono::duration_cast<std::chrono::milliseconds>(found.back()->at
                                                                     - found.front()->at)
                   .count()
            << " ms\n";
        for (std::size_t i = 0; i < found.size() && i < casesShown; ++i)
            out << "  vm-" << found[i]->vm << ' ' << found[i]->text << '\n';
    }
    return out.str();
}

} // namespace bluebellshift::gatewayd::testing
