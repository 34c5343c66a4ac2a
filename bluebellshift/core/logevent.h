// Numbered log events. docs/events.md lists them; a test checks that the two agree.
#pragma once

#include <string>
#include <vector>

namespace bluebellshift::core {

enum class LogLevel { Debug, Info, Warning, Error };

// The number of a removed event is never reused.
struct LogEvent
{
    int number;
    LogLevel level;
    const char *name;
};

// Returns all events that the daemon can log, in the order of their numbers.
const std::vector<LogEvent> &allLogEvents();

namespace log {
// 1xx: the process
inline constexpr LogEvent daemonStarted { 101, LogLevel::Info, "daemon-started" };
inline constexpr LogEvent daemonStopped { 102, LogLevel::Info, "daemon-stopped" };
inline constexpr LogEvent shutdownBegun { 103, LogLevel::Info, "shutdown-begun" };
inline constexpr LogEvent linesDropped { 104, LogLevel::Warning, "lines-dropped" };
inline constexpr LogEvent readyChanged { 105, LogLevel::Info, "ready-changed" };
inline constexpr LogEvent settingsReloaded { 106, LogLevel::Info, "settings-reloaded" };
inline constexpr LogEvent settingsFaulty { 107, LogLevel::Error, "settings-faulty" };
inline constexpr LogEvent loopDelayed { 108, LogLevel::Warning, "loop-delayed" };
// 2xx: the view
inline constexpr LogEvent viewInstalled { 201, LogLevel::Info, "view-installed" };
inline constexpr LogEvent viewStale { 202, LogLevel::Warning, "view-stale" };
inline constexpr LogEvent viewFresh { 203, LogLevel::Info, "view-fresh" };
inline constexpr LogEvent objectInvalid { 204, LogLevel::Error, "object-invalid" };
inline constexpr LogEvent bundleInForce { 205, LogLevel::Info, "bundle-in-force" };
inline constexpr LogEvent oldViewIgnored { 206, LogLevel::Warning, "old-view-ignored" };
inline constexpr LogEvent configInForce { 207, LogLevel::Info, "config-in-force" };
inline constexpr LogEvent storeLost { 208, LogLevel::Warning, "store-lost" };
inline constexpr LogEvent storeRegained { 209, LogLevel::Info, "store-regained" };
inline constexpr LogEvent registryListed { 210, LogLevel::Info, "registry-listed" };
inline constexpr LogEvent entryUnreadable { 211, LogLevel::Error, "entry-unreadable" };
inline constexpr LogEvent storeModeChanged { 212, LogLevel::Info, "store-mode-changed" };
inline constexpr LogEvent configRead { 213, LogLevel::Info, "config-read" };
inline constexpr LogEvent storeEraChanged { 214, LogLevel::Warning, "store-era-changed" };
inline constexpr LogEvent storeDataIgnored { 215, LogLevel::Info, "store-data-ignored" };
inline constexpr LogEvent configBehind { 216, LogLevel::Warning, "config-behind" };
inline constexpr LogEvent configKept { 217, LogLevel::Warning, "config-kept" };
// 3xx: membership
inline constexpr LogEvent peerAlive { 301, LogLevel::Info, "peer-alive" };
inline constexpr LogEvent peerSuspected { 302, LogLevel::Warning, "peer-suspected" };
inline constexpr LogEvent peerLeaving { 303, LogLevel::Info, "peer-leaving" };
inline constexpr LogEvent peerRejected { 304, LogLevel::Warning, "peer-rejected" };
inline constexpr LogEvent messageDropped { 305, LogLevel::Warning, "message-dropped" };
inline constexpr LogEvent neighboursChanged { 306, LogLevel::Info, "neighbours-changed" };
// 4xx: the ledger
inline constexpr LogEvent ledgerJoined { 401, LogLevel::Info, "ledger-joined" };
inline constexpr LogEvent memberExpelled { 402, LogLevel::Warning, "member-expelled" };
inline constexpr LogEvent sharesReclaimed { 403, LogLevel::Info, "shares-reclaimed" };
inline constexpr LogEvent selfExpelled { 404, LogLevel::Warning, "self-expelled" };
inline constexpr LogEvent shareMoved { 405, LogLevel::Info, "share-moved" };
inline constexpr LogEvent admissionMoved { 406, LogLevel::Info, "admission-moved" };
// 5xx: requests
inline constexpr LogEvent requestRouted { 501, LogLevel::Info, "request-routed" };
inline constexpr LogEvent requestRefused { 502, LogLevel::Info, "request-refused" };
inline constexpr LogEvent requestAnswered { 503, LogLevel::Info, "request-answered" };
inline constexpr LogEvent attemptFailed { 504, LogLevel::Warning, "attempt-failed" };
inline constexpr LogEvent requestRelayed { 505, LogLevel::Info, "request-relayed" };
inline constexpr LogEvent answerReplayed { 506, LogLevel::Info, "answer-replayed" };
inline constexpr LogEvent targetEjected { 507, LogLevel::Warning, "target-ejected" };
inline constexpr LogEvent targetReturned { 508, LogLevel::Info, "target-returned" };
inline constexpr LogEvent targetLeaving { 509, LogLevel::Info, "target-leaving" };
inline constexpr LogEvent callerGone { 510, LogLevel::Info, "caller-gone" };
inline constexpr LogEvent targetJoined { 511, LogLevel::Info, "target-joined" };
inline constexpr LogEvent targetGone { 512, LogLevel::Info, "target-gone" };
inline constexpr LogEvent targetLapsed { 513, LogLevel::Warning, "target-lapsed" };
inline constexpr LogEvent domainEvacuated { 514, LogLevel::Info, "domain-evacuated" };
inline constexpr LogEvent domainReturned { 515, LogLevel::Info, "domain-returned" };
inline constexpr LogEvent targetLimited { 516, LogLevel::Warning, "target-limited" };
inline constexpr LogEvent targetPaused { 517, LogLevel::Warning, "target-paused" };
inline constexpr LogEvent callerLimited { 518, LogLevel::Warning, "caller-limited" };
inline constexpr LogEvent regionShares { 519, LogLevel::Info, "region-shares" };
inline constexpr LogEvent faultNoticed { 520, LogLevel::Info, "fault-noticed" };
inline constexpr LogEvent regionPlanned { 521, LogLevel::Info, "region-planned" };
inline constexpr LogEvent targetHeld { 522, LogLevel::Info, "target-held" };
// 6xx: steering
inline constexpr LogEvent snapshotPublished { 601, LogLevel::Info, "snapshot-published" };
inline constexpr LogEvent shiftStepTaken { 602, LogLevel::Info, "shift-step-taken" };
inline constexpr LogEvent shiftPaused { 603, LogLevel::Warning, "shift-paused" };
inline constexpr LogEvent shiftFinished { 604, LogLevel::Info, "shift-finished" };
inline constexpr LogEvent regionHeldOut { 605, LogLevel::Warning, "region-held-out" };
inline constexpr LogEvent regionAdmitted { 606, LogLevel::Info, "region-admitted" };
inline constexpr LogEvent regionUnsettled { 607, LogLevel::Warning, "region-unsettled" };
// 7xx: administration
inline constexpr LogEvent changeAccepted { 701, LogLevel::Info, "change-accepted" };
inline constexpr LogEvent changeLost { 702, LogLevel::Info, "change-lost" };
inline constexpr LogEvent changeUnresolved { 703, LogLevel::Warning, "change-unresolved" };
inline constexpr LogEvent operatorRejected { 704, LogLevel::Warning, "operator-rejected" };
inline constexpr LogEvent auditUnfinished { 705, LogLevel::Warning, "audit-unfinished" };
} // namespace log

struct LogField
{
    const char *name;
    std::string value;
};

// One line of the log. It must not contain keys, digests, tickets or secrets.
struct LogRecord
{
    LogEvent event;
    std::vector<LogField> fields;
};

} // namespace bluebellshift::core
