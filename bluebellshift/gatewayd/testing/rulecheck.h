// Judges what clients, targets and the operator of a run have seen by the users' rules CONFIG,
// DRAIN and EVAC, LOST after a planned stop, and the rule that no process returns to an older
// version. The bounds are those of the users' pages (RULES.md, "In touch" and what follows).
//
//   std::vector<RuleCase> cases = checkRules(observed);
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "bluebellshift/gatewayd/testing/configoperator.h"
#include "bluebellshift/gatewayd/testing/listedtarget.h"

namespace bluebellshift::gatewayd::testing {

inline constexpr std::chrono::milliseconds contactTime { 4000 };     // contact_s
inline constexpr std::chrono::milliseconds configApplyTime { 2500 }; // config_apply_s
inline constexpr std::chrono::milliseconds drainTime { 2500 };       // drain_s
inline constexpr std::chrono::milliseconds evacuationTime { 5000 };  // evac_s
inline constexpr std::chrono::milliseconds rollbackSlack { 250 };    // rollback_slack_s
inline constexpr int slowedRollbackFactor = 8;                       // of a slowed machine

// One request of a client.
struct ClientRequest
{
    std::string id;
    std::size_t vm = 0;
    int incarnation = 0;
    std::string path;
    std::string key;
    TestClock::time_point sentAt;
    TestClock::time_point endedAt;
    std::string outcome;       // as ConfigOperator::outcomeOf, or empty if it tells no version
    bool isUnanswered = false; // the connection ended before a complete response
};

struct TimeSpan
{
    TestClock::time_point from;
    TestClock::time_point to;
};

struct Evacuation
{
    std::string failureDomain;
    TimeSpan time;
};

struct Observed
{
    std::vector<ClientRequest> requests;
    std::vector<ConfigOperator::Version> versions;
    std::vector<const ListedTarget *> targets;
    std::vector<Evacuation> evacuations;
    std::map<std::size_t, std::vector<TimeSpan>> disturbances; // by VM
    std::map<std::size_t, std::vector<TimeSpan>> kills;        // by VM
    std::vector<TimeSpan> storeDisturbances;
};

struct RuleCase
{
    std::string rule;
    std::size_t vm;
    TestClock::time_point at;
    std::string text;
};

std::vector<RuleCase> checkRules(const Observed &observed);

} // namespace bluebellshift::gatewayd::testing
