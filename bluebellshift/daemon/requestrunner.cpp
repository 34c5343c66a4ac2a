#include "bluebellshift/daemon/requestrunner.h"

#include "bluebellshift/base/secrets.h"

namespace bluebellshift::daemon {

namespace {

constexpr core::Duration callerCheckInterval = core::Duration::millis(25);
constexpr std::size_t ticketIdLength = 24; // hex digits
constexpr char ticketIdHeader[] = "Bluebellshift-Ticket-Id";
constexpr char deadlineHeader[] = "Bluebellshift-Deadline-Ms";

// Converts a terminal instruction to an outcome. run() handles the other two
// kinds itself.
struct ToRequestOutcome
{
    RequestOutcome operator()(core::ForwardRequest) const { return core::RefuseCaller {}; }
    RequestOutcome operator()(core::RelayToHome) const { return core::RefuseCaller {}; }
    template<typename Outcome> RequestOutcome operator()(Outcome outcome) const { return outcome; }
};

} // namespace

std::string ticketIdOf(const std::string &ticket)
{
    return base::sha256Hex(ticket).substr(0, ticketIdLength);
}

RequestRunner::RequestRunner(core::Incarnation incarnation, http::Forwarder &forwarder,
                             base::Clock clock, Hooks hooks)
    : incarnation_(incarnation)
    , forwarder_(forwarder)
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
{
}

RequestOutcome RequestRunner::run(PendingRequest &pending,
                                  const std::function<bool()> &isCallerDisconnected)
{
    bool isDisconnectReported = false;
    for (;;) {
        std::optional<Instruction> instruction = pending.wait(callerCheckInterval);
        if (!isDisconnectReported && isCallerDisconnected()) {
            isDisconnectReported = true;
            hooks_.post(core::CallerGone { pending.id() });
        }
        if (!instruction.has_value())
            continue;
        if (const auto *forwardRequest = std::get_if<core::ForwardRequest>(&*instruction))
            forward(pending, *forwardRequest, isCallerDisconnected);
        else if (const auto *relayToHome = std::get_if<core::RelayToHome>(&*instruction))
            relay(pending, *relayToHome);
        else
            return std::visit(ToRequestOutcome {}, *std::move(instruction));
    }
}

void RequestRunner::forward(PendingRequest &pending, const core::ForwardRequest &instruction,
                            const std::function<bool()> &isCallerDisconnected)
{
    const CallerRequest &request = pending.request();
    http::ForwardAttempt attempt;
    attempt.endpoint = instruction.endpoint;
    attempt.method = request.method;
    attempt.pathAndQuery = request.pathAndQuery;
    attempt.headers = request.headers;
    attempt.body = request.body;
    attempt.validUntil = instruction.validUntil;
    attempt.deadline = instruction.deadline;
    attempt.mayReuseConnection = instruction.mayReuseConnection;
    const core::Duration timeLeft = instruction.deadline - clock_.now();
    attempt.headers.push_back({ deadlineHeader, std::to_string(timeLeft.toMillis()) });
    if (!request.ticket.empty())
        attempt.headers.push_back({ ticketIdHeader, ticketIdOf(request.ticket) });

    bool isDisconnectReported = false;
    http::Forwarder::Result result = forwarder_.send(attempt, [&] {
        if (!isDisconnectReported && isCallerDisconnected()) {
            isDisconnectReported = true;
            hooks_.post(core::CallerGone { pending.id() });
        }
        return pending.isForwardCancelled();
    });

    core::AttemptEnded ended;
    ended.request = pending.id();
    ended.attempt = instruction.attempt;
    ended.outcome = result.outcome;
    ended.answer = std::move(result.answer);
    ended.reportedBusySlots = result.reportedBusySlots;
    ended.answerBegun = result.answerBegun;
    hooks_.post(std::move(ended));
}

void RequestRunner::relay(const PendingRequest &pending, const core::RelayToHome &instruction)
{
    const CallerRequest &request = pending.request();
    core::RelayRequest message;
    message.correlation = core::relayCorrelation(pending.id(), incarnation_);
    message.method = request.method;
    message.path = request.pathAndQuery;
    message.service = request.service;
    message.team = instruction.team;
    message.keyDigest = request.keyDigest;
    message.ticket = request.ticket;
    message.headers = request.headers;
    message.body = request.body;
    message.timeLeft = instruction.deadline - clock_.now();
    if (!hooks_.sendPeer(instruction.home, std::move(message)))
        hooks_.post(core::RelayFailed { pending.id() });
}

} // namespace bluebellshift::daemon
