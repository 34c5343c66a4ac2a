// Checks of a request that need no capacity: service, route, key, ticket.
//
//   Admission admission(options, hooks);
//   AdmissionResult result = admission.check(arrived, tickets, now);
//   if (result.refusal) ...      // refused
//   else if (result.relayTo) ... // another VM is the ticket's home
//   else ...                     // may wait for capacity at this VM
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

// The interface of the dispatch to other components of the reducer.
struct DispatchHooks
{
    // Returns the team of a valid key.
    std::function<std::optional<TeamId>(const KeyDigest &)> authenticate;
    // Returns the bundle in force, or null.
    std::function<BundlePointer()> bundle;
    // Returns all listed targets of a service.
    std::function<const std::vector<Target> &(const ServiceId &)> targetsOf;
    BudgetHooks budget;
    // Returns the regions for a request in the order of preference; empty if
    // there is none.
    std::function<std::vector<RegionId>(const ServiceId &, const TeamId &, std::uint64_t random,
                                        Instant now)>
        regionOrder;
    // Returns whether the view is fresh and this VM may spend its shares.
    std::function<bool(Instant now)> mayServe;
    // Returns the instant until which a request may be sent.
    std::function<Instant(Instant now)> validUntil;
    // Returns whether the incarnation is alive, as far as this VM knows.
    std::function<bool(const VmId &, Incarnation)> isVmAlive;
};

struct AdmissionResult
{
    std::optional<Refusal> refusal;
    std::optional<VmId> relayTo;
    const Service *service = nullptr; // of the bundle in force
    TeamId team;                      // empty for a caller of an open route
    bool isRateLimited = false;       // counts against the team's rate limit
    bool runsAtMostOnce = false;      // not idempotent, or has a ticket
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

    // Checks whether a ticket for the service may be issued; returns a refusal if
    // not.
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
