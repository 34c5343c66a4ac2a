// Each thread has a loop and takes every n-th arrival. An arrival is a task of
// the loop at its instant; the next arrival is scheduled when it runs, so that
// the loop holds few tasks. A request is a small state machine that lives in the
// callbacks of its calls: find VMs, get a ticket if it needs one, send, judge,
// and try again with the same ticket at another VM if that is safe.
#include "bluebellshift/load/callers.h"

#include <curl/curl.h>

#include <random>
#include <thread>

#include "bluebellshift/load/runcheck.h"
#include "bluebellshift/load/verdict.h"
#include "bluebellshift/standin/faketarget.h"

namespace bluebellshift::load {

using core::Duration;
using Clock = HttpLoop::Clock;

namespace {

constexpr auto leadTime = std::chrono::milliseconds(100); // before the first arrival

std::chrono::microseconds chronoOf(Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

Duration durationOf(Clock::duration duration)
{
    return Duration::micros(
        std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

// Everything that the requests of one thread share.
struct Shared
{
    const CallerOptions &options;
    const ScheduleOptions &schedule;
    HttpLoop &loop;
    VmDirectory &directory;
    std::mt19937_64 random;
};

class Request : public std::enable_shared_from_this<Request>
{
public:
    Request(Shared &shared, const Arrival &arrival, std::size_t position,
            Clock::time_point scheduledAt, Outcome &outcome);
    void begin();

private:
    void attempt();
    void chooseVm(const std::vector<VmEntry> &vms);
    void askForTicket();
    void ticketAnswered(const HttpResult &result);
    void send();
    void answered(const HttpResult &result);
    void tryAgainOrEnd(const Verdict &verdict);
    void end(const Verdict &verdict);
    std::string url(const std::string &path) const;
    bool needsTicket() const { return arrival_.isOnce && !shared_.options.isDirect; }

    Shared &shared_;
    const Arrival &arrival_;
    const TeamLoad &team_;
    const ServiceLoad &service_;
    const Clock::time_point scheduledAt_;
    Outcome &outcome_;
    SentRequest sent_;
    std::string ticket_;
    core::Endpoint vm_;
    int tries_ = 0; // with those for tickets
};

Request::Request(Shared &shared, const Arrival &arrival, std::size_t position,
                 Clock::time_point scheduledAt, Outcome &outcome)
    : shared_(shared)
    , arrival_(arrival)
    , team_(shared.schedule.teams[arrival.team])
    , service_(shared.schedule.services[arrival.service])
    , scheduledAt_(scheduledAt)
    , outcome_(outcome)
{
    sent_.callerId = callerIdOf(shared.options.run, position);
    sent_.isTicketed = needsTicket();
    if (arrival.isOnce)
        sent_.body.assign(shared.options.bodyBytes, static_cast<char>('a' + position % 26));
}

void Request::begin()
{
    outcome_.startDelay = durationOf(Clock::now() - scheduledAt_);
    attempt();
}

void Request::attempt()
{
    ++tries_;
    if (arrival_.vm != anyVm) {
        const std::vector<core::Endpoint> &vms = shared_.options.directory.vms;
        return chooseVm({ { vms[static_cast<std::size_t>(arrival_.vm) % vms.size()], 1 } });
    }
    shared_.directory.find(
        team_, service_,
        [self = shared_from_this()](const std::vector<VmEntry> &vms) { self->chooseVm(vms); });
}

// By weight; a VM that was tried last is left out while there is another.
void Request::chooseVm(const std::vector<VmEntry> &vms)
{
    const auto isLeftOut = [&](const VmEntry &vm) {
        return vms.size() > 1 && tries_ > 1 && vm.endpoint == vm_;
    };
    double total = 0;
    for (const VmEntry &vm : vms)
        total += isLeftOut(vm) ? 0 : vm.weight;
    double left = static_cast<double>(shared_.random() >> 11) * 0x1.0p-53 * total;
    core::Endpoint chosen = vms.front().endpoint;
    for (const VmEntry &vm : vms) {
        if (isLeftOut(vm))
            continue;
        chosen = vm.endpoint;
        left -= vm.weight;
        if (left < 0)
            break;
    }
    vm_ = chosen;
    if (needsTicket() && ticket_.empty())
        askForTicket();
    else
        send();
}

std::string Request::url(const std::string &path) const
{
    return "http://" + vm_.address + ":" + std::to_string(vm_.port) + path;
}

void Request::askForTicket()
{
    HttpCall call;
    call.method = "POST";
    call.url = url("/v1/tickets?service=" + service_.service.text());
    call.headers = { "Authorization: Bearer " + team_.key };
    call.timeout = shared_.options.attemptTimeout;
    shared_.loop.start(std::move(call), [self = shared_from_this()](const HttpResult &result) {
        self->ticketAnswered(result);
    });
}

void Request::ticketAnswered(const HttpResult &result)
{
    ticket_ = ticketOf(result);
    if (!ticket_.empty()) {
        outcome_.ticketId = ticketIdOf(ticket_);
        return send();
    }
    Verdict verdict = judge(sent_, result);
    verdict.claim = core::Run::NotRun; // nothing was sent that could run
    if (verdict.end != End::Refused)
        verdict.end = End::Failed;
    tryAgainOrEnd(verdict);
}

void Request::send()
{
    ++outcome_.attempts;
    const std::string &path = arrival_.isOnce ? service_.oncePath : service_.path;
    HttpCall call;
    call.method = arrival_.isOnce ? "POST" : "GET";
    call.body = sent_.body;
    call.isSentOnce = arrival_.isOnce;
    call.timeout = shared_.options.attemptTimeout;
    call.headers = { std::string(standin::callerIdHeader) + ": " + sent_.callerId };
    if (shared_.options.isDirect) {
        call.url = url(path);
    } else {
        call.url = url("/s/" + service_.service.text() + path);
        call.headers.push_back("Authorization: Bearer " + team_.key);
    }
    if (!ticket_.empty())
        call.headers.push_back("Bluebellshift-Ticket: " + ticket_);
    shared_.loop.start(std::move(call), [self = shared_from_this()](const HttpResult &result) {
        self->answered(result);
    });
}

void Request::answered(const HttpResult &result)
{
    const Verdict verdict = judge(sent_, result);
    outcome_.hasSeenKey = outcome_.hasSeenKey || verdict.hasSeenKey;
    if (verdict.claim != core::Run::NotRun)
        outcome_.isEveryClaimNotRun = false;
    tryAgainOrEnd(verdict);
}

void Request::tryAgainOrEnd(const Verdict &verdict)
{
    if (!verdict.mayTryAgain || tries_ >= shared_.options.attemptsMost)
        return end(verdict);
    if (verdict.isTicketSpent)
        ticket_.clear();
    const auto pause = chronoOf(shared_.options.retryPause) * tries_;
    shared_.loop.runAt(Clock::now() + pause, [self = shared_from_this()] { self->attempt(); });
}

void Request::end(const Verdict &verdict)
{
    outcome_.end = verdict.end;
    outcome_.code = verdict.code;
    outcome_.claim = verdict.claim;
    outcome_.latency = durationOf(Clock::now() - scheduledAt_);
}

// Sends every `step`-th arrival, beginning with `first`.
class Worker
{
public:
    Worker(const CallerOptions &options, const ScheduleOptions &schedule,
           const std::vector<Arrival> &arrivals, std::size_t first, std::size_t step,
           Clock::time_point startedAt, std::vector<Outcome> &outcomes)
        : arrivals_(arrivals)
        , step_(step)
        , startedAt_(startedAt)
        , outcomes_(outcomes)
        , directory_(options.directory, loop_)
        , shared_ { options, schedule, loop_, directory_,
                    std::mt19937_64(schedule.seed ^ (first + 1)) }
    {
        scheduleArrival(first);
    }
    void run() { loop_.run(); }

private:
    void scheduleArrival(std::size_t position)
    {
        if (position >= arrivals_.size())
            return;
        const Clock::time_point at = startedAt_ + chronoOf(arrivals_[position].at);
        loop_.runAt(at, [this, position, at] {
            scheduleArrival(position + step_);
            std::make_shared<Request>(shared_, arrivals_[position], position, at,
                                      outcomes_[position])
                ->begin();
        });
    }

    const std::vector<Arrival> &arrivals_;
    const std::size_t step_;
    const Clock::time_point startedAt_;
    std::vector<Outcome> &outcomes_;
    HttpLoop loop_;
    VmDirectory directory_;
    Shared shared_;
};

} // namespace

std::vector<Outcome> runCallers(const CallerOptions &options, const ScheduleOptions &schedule,
                                const std::vector<Arrival> &arrivals)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::vector<Outcome> outcomes(arrivals.size());
    const Clock::time_point startedAt = Clock::now() + leadTime;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < options.threads; ++i) {
        threads.emplace_back([&, i] {
            Worker(options, schedule, arrivals, i, options.threads, startedAt, outcomes).run();
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return outcomes;
}

} // namespace bluebellshift::load
