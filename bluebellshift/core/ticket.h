// Tickets for requests that may not be repeated.
//
//   TicketAuthority tickets(options);
//   std::string text = tickets.issue(team, service, now, event.random);
//   ...
//   std::optional<TicketHome> home = readTicketHome(text); // on any VM
//   TicketCheck check = tickets.verify(text, team, service, now); // at home
//   if (check.status == TicketStatus::Valid)
//       once.begin(check.ticket, ...);
//
// A ticket names its home, the one VM incarnation that may run the request. Its
// text is opaque to callers, at most ticketTextBytesMost long and safe in a URL.
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

inline constexpr std::size_t ticketTextBytesMost = 512;

struct TicketHome
{
    VmId vm;
    Incarnation incarnation;
    Duration validFor; // as issued; other VMs can't compare the home's clock with theirs
};

// What the home needs to know of a ticket that it issued.
struct Ticket
{
    TicketNumber number;
    Instant expiry; // on the home's clock
};

enum class TicketStatus {
    Valid,
    Expired, // genuine, of this team and service, but past its expiry
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

// Reads who may run the request. Anybody can; nothing is verified.
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

    // When the last ticket issued so far expires; Instant::never() when none was.
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
