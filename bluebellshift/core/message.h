// The messages between the daemons of two VMs. Each carries the incarnations of both
// ends, so that a message for an earlier incarnation is not accepted by a later one.
//
// Fields may be added at the end with a default; a peer that is one version older
// ignores unknown fields.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/targetupdate.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/core/vmreport.h"
#include "bluebellshift/core/vmupdate.h"

namespace bluebellshift::core {

// The running totals of one account that one VM has given another since both joined.
// They never decrease, so that a lost, repeated or reordered message does no harm.
struct Credit
{
    AccountId account;
    std::int64_t shareGiven = 0;  // parts per billion of the account
    std::int64_t tokensGiven = 0; // micro-tokens transferred with the share
};

// The amount of an account that a VM requests.
struct RequestedAmount
{
    AccountId account;
    std::int64_t share = 0;  // parts per billion
    std::int64_t tokens = 0; // micro-tokens; 0 when not urgent
};

// The spare share of an account, which helps a peer to choose a lender.
struct SpareHint
{
    AccountId account;
    std::int64_t spareShare = 0; // parts per billion
};

// The net transfers of one account with an expelled VM.
struct ClosedAccount
{
    AccountId account;
    std::int64_t netReceived = 0; // parts per billion; negative when more was given
};

// The closing of all accounts with an expelled VM; final once sent.
struct Closing
{
    VmId vm;
    Incarnation incarnation;
    std::vector<ClosedAccount> accounts;
    std::uint64_t epoch = 0; // of the expelled membership
};

struct Heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t echoedSequence = 0; // the newest heartbeat received from the addressee
    Duration echoDelay;               // time since it was received
    Revision viewRevision;
    Duration viewAge;             // time since the view was known to be the store's newest
    bool platformFailing = false; // the last finished call to the platform failed
    Duration platformFailureAge;  // time since that failed call began
    bool isReady = false;
    bool isLeaving = false;
    std::uint32_t requestsInFlight = 0;
    std::vector<Credit> credits; // changed totals and those not yet acknowledged
    std::vector<SpareHint> spareHints;
    std::vector<Closing> closings;
    std::uint64_t senderEpoch = 0;   // the sender's membership in the ledger; 0: none
    std::uint64_t receiverEpoch = 0; // the addressee's, as known to the sender
    std::vector<VmId> suspects;      // VMs from which the sender receives no heartbeats
};

// Requests shares and tokens from the addressee.
struct BorrowRequest
{
    std::vector<RequestedAmount> amounts;
    std::uint64_t number = 0; // unique within the sender's incarnation; the reply repeats it
};

// Tokens lent without a share, for immediate use. They expire a fixed time after the
// request was sent.
struct TokenLoan
{
    AccountId account;
    std::int64_t tokens = 0; // micro-tokens
};

// Replies to a BorrowRequest immediately, without waiting for the next heartbeat.
struct BorrowReply
{
    std::vector<Credit> credits;
    std::vector<SpareHint> spareHints;
    std::uint64_t sequence = 0; // from the same counter as heartbeats
    std::uint64_t senderEpoch = 0;
    std::uint64_t receiverEpoch = 0;
    std::uint64_t number = 0; // of the request
    std::vector<TokenLoan> tokenLoans;
};

// Requests the objects changed since a revision.
struct ViewRequest
{
    Revision after;
};

struct ViewReply
{
    Revision revision;
    Duration age;            // time since it was known to be the newest
    bool isComplete = false; // `objects` contains all objects, not only changed ones
    std::vector<Object> objects;
};

// Returns the id that correlates the messages about a relayed request. Request ids are
// only unique within an incarnation, and a reply to an earlier incarnation must not be
// matched with another request. Incarnations are random, so that a reply to another one
// decodes to an id that this one never uses.
inline std::uint64_t relayCorrelation(RequestId request, Incarnation sender)
{
    return request.number() ^ sender.number();
}
inline RequestId relayedRequest(std::uint64_t correlation, Incarnation sender)
{
    return RequestId(correlation ^ sender.number());
}

// A caller's request, relayed to the home VM of its ticket.
struct RelayRequest
{
    std::uint64_t correlation = 0;
    std::string method;
    std::string path; // with the query
    ServiceId service;
    TeamId team;
    KeyDigest keyDigest;
    std::string ticket;
    std::vector<Header> headers;
    std::string body;
    Duration timeLeft;
};

struct RelayReply
{
    std::uint64_t correlation = 0;
    bool isAnswer = false;
    Answer answer;
    Refusal refusal;
};

// The caller of a relayed request has closed its connection.
struct RelayCancel
{
    std::uint64_t correlation = 0;
};

using Message = std::variant<Heartbeat, BorrowRequest, BorrowReply, ViewRequest, ViewReply,
                             RelayRequest, RelayReply, RelayCancel, VmReport, SpendingReport,
                             TargetUpdate, RelayedReports, RelayedSpending, VmUpdate>;

} // namespace bluebellshift::core
