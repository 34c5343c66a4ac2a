// What a caller makes of one reply.
//
//   Verdict verdict = judge(request, result);
//   if (verdict.mayTryAgain) ...
#pragma once

#include <string>

#include "bluebellshift/load/httploop.h"
#include "bluebellshift/load/outcome.h"

namespace bluebellshift::load {

// What was sent, for checking that an answer is its own.
struct SentRequest
{
    std::string callerId;
    std::string body;
    bool isTicketed = false;
};

struct Verdict
{
    End end = End::Failed;
    std::string code; // Refused
    core::Run claim = core::Run::Unknown;
    bool hasSeenKey = false;
    bool mayTryAgain = false;   // another attempt is safe and may help
    bool isTicketSpent = false; // another attempt needs a new ticket
};

// Judges the reply to a request sent to a target or through a VM.
Verdict judge(const SentRequest &request, const HttpResult &result);

// Reads the ticket from a reply to POST /v1/tickets; "" when there is none.
std::string ticketOf(const HttpResult &result);

// The id by which targets count a ticket's runs.
std::string ticketIdOf(const std::string &ticket);

} // namespace bluebellshift::load
