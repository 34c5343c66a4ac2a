// Classifies one reply from the caller's point of view.
//
//   Verdict verdict = classifyReply(request, result);
//   if (verdict.mayRetry) ...
#pragma once

#include <string>

#include "bluebellshift/load/httploop.h"
#include "bluebellshift/load/outcome.h"

namespace bluebellshift::load {

// The request as sent, to check that an answer belongs to it.
struct SentRequest
{
    std::string callerId;
    std::string body;
    bool hasTicket = false;
};

struct Verdict
{
    OutcomeKind kind = OutcomeKind::Failed;
    std::string code; // of the refusal; set for Refused
    core::Run claim = core::Run::Unknown;
    bool isKeyLeaked = false;
    bool mayRetry = false;       // another attempt is safe and may succeed
    bool needsNewTicket = false; // another attempt needs a new ticket
};

// Classifies the reply to a request that was sent to a target or through a VM.
Verdict classifyReply(const SentRequest &request, const HttpResult &result);

// Returns the ticket of a reply to POST /v1/tickets, or "" if it has none.
std::string parseTicket(const HttpResult &result);

// Returns the id by which targets count the runs of a ticket.
std::string ticketIdOf(const std::string &ticket);

} // namespace bluebellshift::load
