// Tickets for requests that must run at most once.
//
//   TicketAuthority tickets(options);
//   std::string text = tickets.issue(team, service, now, event.random);
//   ...
//   std::optional<TicketHome> home = readTicketHome(text); // on any VM
//   TicketCheck check = tickets.verify(text, team, service, now); // at home
//   if (check.status == TicketStatus::Valid)
//       table.begin(check.ticket, ...);
//
// A ticket names its home, the only VM incarnation that may run the request. Its
// text is opaque to callers, at most maxTicketTextBytes long and URL-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// Unique within the incarnation that issued the ticket.
using TicketNumber = NumberId<struct TicketNumberTag>;

inline constexpr std::size_t maxTicketTextBytes = 512;

struct TicketHome
{
    VmId vm;
    Incarnation incarnation;
    Duration validFor; // as issued; other VMs can't compare the home's clock with theirs
};

// The data of a ticket that its home uses.
struct Ticket
{
    TicketNumber number;
    Instant expiry; // on the home's clock
};

enum class TicketStatus {
    Valid,
    Expired, // authentic, of this team and service, but expired
    Malformed,
    OfAnotherVm,          // another VM is its home
    OfEarlierIncarnation, // an earlier incarnation of this VM is its home
    Forged,               // the MAC does not match
    OfAnotherTeam,
    OfAnotherService,
};

struct TicketCheck
{
    TicketStatus status = TicketStatus::Malformed;
    Ticket ticket; // set when Valid or Expired
};

// Reads the home of a ticket on any VM, without verifying the ticket.
std::optional<TicketHome> readTicketHome(const std::string &text);

// Issues and verifies the tickets of one incarnation.
class TicketAuthority
{
public:
    explicit TicketAuthority(const CoreOptions &options);

    // Returns a new ticket for one request of `team` to `service`. An empty team
    // stands for callers of open routes.
    std::string issue(const TeamId &team, const ServiceId &service, Instant now,
                      std::uint64_t random);

    TicketCheck verify(const std::string &text, const TeamId &team, const ServiceId &service,
                       Instant now) const;

    // Returns the latest expiry of the issued tickets; Instant::never() if none
    // was issued.
    Instant lastExpiry() const { return lastExpiry_; }

private:
    VmId vm_;
    Incarnation incarnation_;
    std::string secret_;
    Duration validFor_;
    std::uint64_t issued_ = 0;
    Instant lastExpiry_ = Instant::never();
};

} // namespace bluebellshift::core
