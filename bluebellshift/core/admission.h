// The checks of a request that need no capacity: service, route, key, ticket.
//
//   Admission admission(options, hooks);
//   AdmissionResult result = admission.check(arrived, tickets, now);
//   if (result.refusal) ...      // refused; result.refusal->run is truthful
//   else if (result.relayTo) ... // another VM is the ticket's home
//   else ...                     // may wait for capacity here
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/bundle.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/ticket.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// What dispatch asks of the reducer's other parts.
struct DispatchHooks
{
    // The team of a key that is in force, or nothing.
    std::function<std::optional<TeamId>(const KeyDigest &)> authenticate;
    // The bundle in force, or null.
    std::function<BundlePointer()> bundle;
    // Every listed target of a service; empty when there is none.
    std::function<const std::vector<Target> &(const ServiceId &)> targetsOf;
    BudgetHooks budget;
    // Where the service's traffic may go, in order; empty when nowhere.
    std::function<std::vector<RegionId>(const ServiceId &, const TeamId &, std::uint64_t random,
                                        Instant now)>
        regionOrder;
    // Whether the view is fresh and this VM may spend its shares.
    std::function<bool(Instant now)> mayServe;
    // Until when a request that is to be sent may leave.
    std::function<Instant(Instant now)> validUntil;
    // Whether that incarnation still runs, as far as this VM knows.
    std::function<bool(const VmId &, Incarnation)> isVmAlive;
};

struct AdmissionResult
{
    std::optional<Refusal> refusal;
    std::optional<VmId> relayTo;
    const Service *service = nullptr; // of the bundle in force
    TeamId team;                      // empty for a caller of an open route
    bool paysRate = false;            // the team's rate counts the request
    bool runsOnce = false;            // may not be repeated
    std::optional<Ticket> ticket;
};

class Admission
{
public:
    Admission(const CoreOptions &options, const DispatchHooks &hooks)
        : options_(options)
        , hooks_(hooks)
    {
    }

    AdmissionResult check(const RequestArrived &arrived, const TicketAuthority &tickets,
                          Instant now) const;

    // Whether a ticket for the service may be given; returns why not.
    std::optional<Refusal> checkTicketAsked(const TicketRequested &asked, TeamId &team,
                                            Instant now) const;

private:
    std::optional<Refusal> findRoute(const RequestArrived &arrived, AdmissionResult &result) const;
    std::optional<Refusal> findTeam(const RequestArrived &arrived, bool isOpen,
                                    AdmissionResult &result) const;
    std::optional<Refusal> checkTicket(const RequestArrived &arrived,
                                       const TicketAuthority &tickets, AdmissionResult &result,
                                       Instant now) const;
    std::optional<Refusal> checkHome(const RequestArrived &arrived, const TicketHome &home,
                                     AdmissionResult &result) const;

    const CoreOptions &options_;
    const DispatchHooks &hooks_;
};

} // namespace bluebellshift::core
