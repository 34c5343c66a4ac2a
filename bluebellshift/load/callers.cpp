// Each of n threads runs an HttpLoop and handles every n-th arrival. An arrival is a
// timer task that schedules the thread's next arrival when it runs, so that the loop
// holds few tasks. A request is a state machine driven by the callbacks of its calls:
// find the VMs, obtain a ticket if needed, send, classify the reply, and, if that is
// safe, retry with the same ticket at another VM.
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

std::chrono::microseconds toChrono(Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

Duration toDuration(Clock::duration duration)
{
    return Duration::micros(
        std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

// What the requests of one thread have in common.
struct WorkerContext
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
    Request(WorkerContext &context, const Arrival &arrival, std::size_t position,
            Clock::time_point scheduledAt, Outcome &outcome);
    void start();

private:
    void startAttempt();
    void chooseVm(const std::vector<VmEntry> &vms);
    void requestTicket();
    void onTicketReply(const HttpResult &result);
    void send();
    void onReply(const HttpResult &result);
    void retryOrFinish(const Verdict &verdict);
    void complete(const Verdict &verdict);
    std::string url(const std::string &path) const;
    bool needsTicket() const { return arrival_.isNonIdempotent && !context_.options.isDirect; }

    WorkerContext &context_;
    const Arrival &arrival_;
    const TeamLoad &team_;
    const ServiceLoad &service_;
    const Clock::time_point scheduledAt_;
    Outcome &outcome_;
    SentRequest sent_;
    std::string ticket_;
    core::Endpoint vm_;
    int tryCount_ = 0; // including ticket requests
};

Request::Request(WorkerContext &context, const Arrival &arrival, std::size_t position,
                 Clock::time_point scheduledAt, Outcome &outcome)
    : context_(context)
    , arrival_(arrival)
    , team_(context.schedule.teams[arrival.team])
    , service_(context.schedule.services[arrival.service])
    , scheduledAt_(scheduledAt)
    , outcome_(outcome)
{
    sent_.callerId = callerIdOf(context.options.run, position);
    sent_.hasTicket = needsTicket();
    if (arrival.isNonIdempotent)
        sent_.body.assign(context.options.bodyBytes, static_cast<char>('a' + position % 26));
}

void Request::start()
{
    outcome_.startDelay = toDuration(Clock::now() - scheduledAt_);
    startAttempt();
}

void Request::startAttempt()
{
    ++tryCount_;
    if (arrival_.vm != anyVm) {
        const std::vector<core::Endpoint> &vms = context_.options.directory.vms;
        return chooseVm({ { vms[static_cast<std::size_t>(arrival_.vm) % vms.size()], 1 } });
    }
    context_.directory.find(
        team_, service_,
        [self = shared_from_this()](const std::vector<VmEntry> &vms) { self->chooseVm(vms); });
}

// Picks a VM at random by weight. A retry excludes the VM of the previous attempt unless
// it is the only one.
void Request::chooseVm(const std::vector<VmEntry> &vms)
{
    const auto isExcluded = [&](const VmEntry &vm) {
        return vms.size() > 1 && tryCount_ > 1 && vm.endpoint == vm_;
    };
    double total = 0;
    for (const VmEntry &vm : vms)
        total += isExcluded(vm) ? 0 : vm.weight;
    double remaining = static_cast<double>(context_.random() >> 11) * 0x1.0p-53 * total;
    core::Endpoint chosen = vms.front().endpoint;
    for (const VmEntry &vm : vms) {
        if (isExcluded(vm))
            continue;
        chosen = vm.endpoint;
        remaining -= vm.weight;
        if (remaining < 0)
            break;
    }
    vm_ = chosen;
    if (needsTicket() && ticket_.empty())
        requestTicket();
    else
        send();
}

std::string Request::url(const std::string &path) const
{
    return "http://" + vm_.address + ":" + std::to_string(vm_.port) + path;
}

void Request::requestTicket()
{
    HttpCall call;
    call.method = "POST";
    call.url = url("/v1/tickets?service=" + service_.service.text());
    call.headers = { "Authorization: Bearer " + team_.key };
    call.timeout = context_.options.attemptTimeout;
    context_.loop.start(std::move(call), [self = shared_from_this()](const HttpResult &result) {
        self->onTicketReply(result);
    });
}

void Request::onTicketReply(const HttpResult &result)
{
    ticket_ = parseTicket(result);
    if (!ticket_.empty()) {
        outcome_.ticketId = ticketIdOf(ticket_);
        return send();
    }
    Verdict verdict = classifyReply(sent_, result);
    verdict.claim = core::Run::NotRun; // the request itself was not sent
    if (verdict.kind != OutcomeKind::Refused)
        verdict.kind = OutcomeKind::Failed;
    retryOrFinish(verdict);
}

void Request::send()
{
    ++outcome_.attempts;
    const std::string &path = arrival_.isNonIdempotent ? service_.nonIdempotentPath : service_.path;
    HttpCall call;
    call.method = arrival_.isNonIdempotent ? "POST" : "GET";
    call.body = sent_.body;
    call.forbidsResend = arrival_.isNonIdempotent;
    call.timeout = context_.options.attemptTimeout;
    call.headers = { std::string(standin::callerIdHeader) + ": " + sent_.callerId };
    if (context_.options.isDirect) {
        call.url = url(path);
    } else {
        call.url = url("/s/" + service_.service.text() + path);
        call.headers.push_back("Authorization: Bearer " + team_.key);
    }
    if (!ticket_.empty())
        call.headers.push_back("Bluebellshift-Ticket: " + ticket_);
    context_.loop.start(std::move(call), [self = shared_from_this()](const HttpResult &result) {
        self->onReply(result);
    });
}

void Request::onReply(const HttpResult &result)
{
    const Verdict verdict = classifyReply(sent_, result);
    outcome_.isKeyLeaked = outcome_.isKeyLeaked || verdict.isKeyLeaked;
    if (verdict.claim != core::Run::NotRun)
        outcome_.isEveryClaimNotRun = false;
    retryOrFinish(verdict);
}

void Request::retryOrFinish(const Verdict &verdict)
{
    if (!verdict.mayRetry || tryCount_ >= context_.options.maxAttempts)
        return complete(verdict);
    if (verdict.needsNewTicket)
        ticket_.clear();
    const auto pause = toChrono(context_.options.retryDelay) * tryCount_;
    context_.loop.runAt(Clock::now() + pause,
                        [self = shared_from_this()] { self->startAttempt(); });
}

void Request::complete(const Verdict &verdict)
{
    outcome_.kind = verdict.kind;
    outcome_.code = verdict.code;
    outcome_.claim = verdict.claim;
    outcome_.latency = toDuration(Clock::now() - scheduledAt_);
}

// Sends every `step`-th arrival, starting with position `first`.
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
        , context_ { options, schedule, loop_, directory_,
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
        const Clock::time_point at = startedAt_ + toChrono(arrivals_[position].at);
        loop_.runAt(at, [this, position, at] {
            scheduleArrival(position + step_);
            std::make_shared<Request>(context_, arrivals_[position], position, at,
                                      outcomes_[position])
                ->start();
        });
    }

    const std::vector<Arrival> &arrivals_;
    const std::size_t step_;
    const Clock::time_point startedAt_;
    std::vector<Outcome> &outcomes_;
    HttpLoop loop_;
    VmDirectory directory_;
    WorkerContext context_;
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
