// The checks run in the order view, service, route, key, ticket: from the
// cheapest to the most specific, and in the order in which a caller can fix
// errors.
//
// A refusal of a request with a ticket covers the whole history of the ticket.
// Only the home knows it, so every refusal before the home has verified the
// ticket leaves open whether the request has run. A ticket takes effect on
// idempotent routes too, since two VMs may for a moment have bundles that differ
// in whether the route is idempotent.
//
// An Idempotency-Key does not replace a ticket. A home could only be derived from
// it by a rule over the live VMs, and two VMs with different lists of live VMs
// would run the request at two homes. After the home's death nobody could tell
// whether it had run. Only a record in the platform for each request would be
// safe; it would cost a write per request and fail with the platform. The header
// is therefore passed on to the target unchanged, and a request that needs a
// ticket is refused with instructions for getting one.
#include "bluebellshift/core/admission.h"

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr int staleRetryMillis = 500;

Refusal refuse(const RequestArrived &arrived, RefusalCode code, std::string message)
{
    const Run run = arrived.ticket.empty() ? Run::NotRun : Run::Unknown;
    return { code, run, std::move(message), 0 };
}

Refusal refuseTicket(const RequestArrived &arrived, TicketStatus status)
{
    switch (status) {
    case TicketStatus::OfEarlierIncarnation:
        return refuse(arrived, RefusalCode::OutcomeUnknown,
                      "the VM that issued the ticket has restarted; the request may have run");
    case TicketStatus::OfAnotherVm:
        return refuse(arrived, RefusalCode::HomeUnreachable,
                      "the request was relayed to a VM that is not the ticket's home");
    case TicketStatus::OfAnotherTeam:
        return refuse(arrived, RefusalCode::TicketOfAnotherTeam,
                      "the ticket was issued to another team");
    case TicketStatus::OfAnotherService:
        return refuse(
            arrived, RefusalCode::MalformedRequest,
            fmt::format("the ticket was not issued for service \"{}\"", arrived.service.text()));
    case TicketStatus::Malformed:
        return refuse(arrived, RefusalCode::MalformedRequest, "the ticket can't be read");
    default:
        return refuse(arrived, RefusalCode::TicketForged, "the ticket was not issued by its home");
    }
}

Refusal refuseMissingTicket(const RequestArrived &arrived)
{
    std::string message =
        fmt::format("{} {} may not be repeated and needs a ticket; ask for one at the "
                    "ticket call of service \"{}\", which is safe to repeat",
                    arrived.method, arrived.path, arrived.service.text());
    if (!arrived.idempotencyKey.empty())
        message += "; an Idempotency-Key is passed on to the target but is no ticket";
    return refuse(arrived, RefusalCode::TicketMissing, std::move(message));
}

} // namespace

AdmissionResult Admission::check(const RequestArrived &arrived, const TicketAuthority &tickets,
                                 Instant now) const
{
    AdmissionResult result;
    if (!hooks_.mayServe(now)) {
        result.refusal = refuse(arrived, RefusalCode::ViewStale,
                                "this VM can't tell whether its view is the newest");
        result.refusal->retryAfterMillis = staleRetryMillis;
        return result;
    }
    result.refusal = findRoute(arrived, result);
    if (!result.refusal && result.runsAtMostOnce)
        result.refusal = checkTicket(arrived, tickets, result, now);
    return result;
}

std::optional<Refusal> Admission::findRoute(const RequestArrived &arrived,
                                            AdmissionResult &result) const
{
    const BundlePointer bundle = hooks_.bundle();
    result.service = bundle ? bundle->findService(arrived.service) : nullptr;
    if (result.service == nullptr)
        return refuse(arrived, RefusalCode::ServiceUnknown,
                      fmt::format("service \"{}\" does not exist", arrived.service.text()));
    const Route *route = core::findRoute(*result.service, arrived.path);
    if (route == nullptr)
        return refuse(arrived, RefusalCode::RouteUnknown,
                      fmt::format("service \"{}\" has no route for path \"{}\"",
                                  arrived.service.text(), arrived.path));
    result.runsAtMostOnce = !route->isIdempotent || !arrived.ticket.empty();
    result.isRateLimited = !route->isOpen;
    return findTeam(arrived, route->isOpen, result);
}

std::optional<Refusal> Admission::findTeam(const RequestArrived &arrived, bool isOpen,
                                           AdmissionResult &result) const
{
    std::optional<TeamId> team;
    if (arrived.hasKey)
        team = hooks_.authenticate(arrived.keyDigest);
    if (team) {
        result.team = *team;
        return std::nullopt;
    }
    if (isOpen)
        return std::nullopt;
    if (!arrived.hasKey)
        return refuse(arrived, RefusalCode::KeyMissing, "the route needs a key");
    return refuse(arrived, RefusalCode::KeyUnknown, "the key is not in force");
}

std::optional<Refusal> Admission::checkTicket(const RequestArrived &arrived,
                                              const TicketAuthority &tickets,
                                              AdmissionResult &result, Instant now) const
{
    if (arrived.ticket.empty())
        return refuseMissingTicket(arrived);
    const std::optional<TicketHome> home = readTicketHome(arrived.ticket);
    if (!home)
        return refuseTicket(arrived, TicketStatus::Malformed);
    if (home->vm != options_.vm && arrived.relayedBy.isEmpty())
        return checkHome(arrived, *home, result);

    const TicketCheck check = tickets.verify(arrived.ticket, result.team, arrived.service, now);
    if (check.status != TicketStatus::Valid && check.status != TicketStatus::Expired)
        return refuseTicket(arrived, check.status);
    result.ticket = check.ticket;
    return std::nullopt;
}

std::optional<Refusal> Admission::checkHome(const RequestArrived &arrived, const TicketHome &home,
                                            AdmissionResult &result) const
{
    if (!hooks_.isVmAlive(home.vm, home.incarnation))
        return refuse(arrived, RefusalCode::OutcomeUnknown,
                      fmt::format("VM \"{}\", which issued the ticket, is gone; the request may "
                                  "have run",
                                  home.vm.text()));
    result.relayTo = home.vm;
    return std::nullopt;
}

std::optional<Refusal> Admission::checkTicketAsked(const TicketRequested &asked, TeamId &team,
                                                   Instant now) const
{
    RequestArrived arrived;
    arrived.service = asked.service;
    if (!hooks_.mayServe(now))
        return refuse(arrived, RefusalCode::ViewStale,
                      "this VM can't tell whether its view is the newest");
    const BundlePointer bundle = hooks_.bundle();
    const Service *service = bundle ? bundle->findService(asked.service) : nullptr;
    if (service == nullptr)
        return refuse(arrived, RefusalCode::ServiceUnknown,
                      fmt::format("service \"{}\" does not exist", asked.service.text()));
    bool isOpen = false;
    for (const Route &route : service->routes)
        isOpen = isOpen || (route.isOpen && !route.isIdempotent);

    AdmissionResult result;
    arrived.hasKey = asked.hasKey;
    arrived.keyDigest = asked.keyDigest;
    const std::optional<Refusal> refusal = findTeam(arrived, isOpen, result);
    team = result.team;
    return refusal;
}

} // namespace bluebellshift::core
