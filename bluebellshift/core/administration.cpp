// Each change is a small state machine: intent, write, outcome; one call is
// under way for each at any time, so a change costs three writes when nothing
// fails.
//
// After a lost reply, a conflict may return another value. If the change ids in that
// value include this change, it took effect and was overwritten since. If they
// include only the change that this one replaces, it never took effect. Otherwise
// the outcome can't be determined and is Unknown.
//
// A crash leaves an audit object whose outcome is "pending". The object that it
// names shows whether the change took effect, by its mark or value.
//
// Alternatives considered: one audit write after the change (rejected: a crash in
// between leaves a change without an audit entry), and the trail inside each object
// (rejected: it grows without bound, and a deletion would remove it).
#include "bluebellshift/core/administration.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bluebellshift::core {
namespace {

using nlohmann::json;

constexpr std::size_t maxReplacedIds = 8; // ids kept in a value
constexpr int maxBackoffDoublings = 10;

json parseQuietly(const std::string &text)
{
    return json::parse(text, nullptr, false);
}

std::string textMember(const json &document, const char *name)
{
    if (!document.is_object() || !document.contains(name) || !document[name].is_string())
        return "";
    return document[name].get<std::string>();
}

// The ids in a value, from the newest.
std::vector<std::string> changeIds(const json &document)
{
    std::vector<std::string> ids;
    const std::string newest = textMember(document, "change");
    if (newest.empty())
        return ids;
    ids.push_back(newest);
    if (!document.contains("replaced") || !document["replaced"].is_array())
        return ids;
    for (const json &id : document["replaced"]) {
        if (id.is_string())
            ids.push_back(id.get<std::string>());
    }
    return ids;
}

// Prepends the id of this change to those in the requester's value.
std::string markValue(const std::string &value, const std::string &id)
{
    json document = parseQuietly(value);
    if (!document.is_object())
        return value;
    std::vector<std::string> ids = changeIds(document);
    if (ids.size() > maxReplacedIds)
        ids.resize(maxReplacedIds);
    document["change"] = id;
    document["replaced"] = ids;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

enum class Trace { TookEffect, NeverDid, Unclear };

// Infers from a stored value whether a change whose reply was lost took effect.
Trace findTrace(const std::string &id, const std::string &replaces, const std::string &written,
                const std::string &stored)
{
    if (stored == written)
        return Trace::TookEffect;
    const std::vector<std::string> ids = changeIds(parseQuietly(stored));
    if (std::find(ids.begin(), ids.end(), id) != ids.end())
        return Trace::TookEffect;
    if (!replaces.empty() && std::find(ids.begin(), ids.end(), replaces) != ids.end())
        return Trace::NeverDid;
    return Trace::Unclear;
}

LogRecord record(const LogEvent &event, const ChangeRequested &asked, const std::string &id,
                 Revision version)
{
    return { event,
             { { "change", id },
               { "by", asked.by.text() },
               { "kind", asked.kind },
               { "object", asked.name },
               { "version", std::to_string(version.number()) } } };
}

} // namespace

bool isMarkedKind(const std::string &kind)
{
    return kind == kind::keys || kind == kind::bundle;
}

Administration::Administration(const CoreOptions &options, std::function<CallId()> newCall)
    : options_(options)
    , newCall_(std::move(newCall))
{
}

Effects Administration::onChangeRequested(const ChangeRequested &asked, Instant now,
                                          std::uint64_t /*random*/)
{
    Effects effects;
    if (changes_.size() >= maxPendingChanges) {
        effects.push_back(ChangeEnded { asked.request, PlatformOutcome::Unreachable, {} });
        return effects;
    }
    changes_.push_back(makeChange(asked, now));
    send(&changes_.back(), &effects);
    return effects;
}

Administration::Change Administration::makeChange(const ChangeRequested &asked, Instant now)
{
    Change change;
    change.asked = asked;
    change.id =
        fmt::format("{}-{:x}-{}", options_.vm.text(), options_.incarnation.number(), ++lastChange_);
    change.auditName = fmt::format("{:017}-{}", asked.at.toMicros(), change.id);
    change.value = asked.value;
    if (isMarkedKind(asked.kind)) {
        change.replaces = textMember(parseQuietly(asked.value), "change");
        change.value = markValue(asked.value, change.id);
    }
    change.outcome = "pending";
    change.deadline = now + changeTimeout;
    return change;
}

std::string Administration::auditValue(const Change &change) const
{
    const json document = { { "change", change.id },
                            { "at_micros", change.asked.at.toMicros() },
                            { "vm", options_.vm.text() },
                            { "by", change.asked.by.text() },
                            { "kind", change.asked.kind },
                            { "name", change.asked.name },
                            { "expected", change.asked.expected.number() },
                            { "summary", change.asked.summary },
                            { "outcome", change.outcome },
                            { "version", change.stored.number() } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void Administration::send(Change *change, Effects *effects)
{
    change->call = newCall_();
    if (change->phase == Phase::Writing)
        effects->push_back(WriteObject { *change->call, change->asked.kind, change->asked.name,
                                         change->asked.expected, change->value });
    else
        effects->push_back(WriteObject { *change->call, kind::audit, change->auditName,
                                         change->auditVersion, auditValue(*change) });
}

Effects Administration::onPlatformReplied(const PlatformReplied &reply, Instant now,
                                          std::uint64_t random)
{
    Effects effects;
    const auto found = std::find_if(changes_.begin(), changes_.end(), [&](const Change &change) {
        return change.call && *change.call == reply.call;
    });
    if (found == changes_.end())
        return effects;
    Change &change = *found;
    change.call.reset();
    const bool isSettled =
        reply.outcome == PlatformOutcome::Done || reply.outcome == PlatformOutcome::Conflict;
    if (!isSettled) {
        const bool neverLeft = reply.outcome == PlatformOutcome::Unreachable;
        change.mayHaveTakenEffect |= change.phase == Phase::Writing && !neverLeft;
        retryLater(&change, now, random, &effects);
        return effects;
    }
    bool goesOn = false;
    if (change.phase == Phase::Intent)
        goesOn = onIntent(&change, reply, now, &effects);
    else if (change.phase == Phase::Writing)
        goesOn = onWritten(&change, reply, now, &effects);
    else
        goesOn = onOutcome(&change, reply);
    if (goesOn)
        send(&change, &effects);
    else
        changes_.erase(found);
    return effects;
}

bool Administration::onIntent(Change *change, const PlatformReplied &reply, Instant now,
                              Effects *effects)
{
    // A conflict with an earlier attempt whose reply was lost.
    const bool isOwn = reply.outcome == PlatformOutcome::Done
        || textMember(parseQuietly(reply.object.value), "change") == change->id;
    if (!isOwn) {
        end(change, PlatformOutcome::Unreachable, {}, now, effects);
        return false;
    }
    change->auditVersion = reply.object.version;
    change->phase = Phase::Writing;
    change->failures = 0;
    return true;
}

bool Administration::onWritten(Change *change, const PlatformReplied &reply, Instant now,
                               Effects *effects)
{
    if (reply.outcome == PlatformOutcome::Done) {
        end(change, PlatformOutcome::Done, reply.object, now, effects);
        return true;
    }
    // If no reply was lost, the conflict refers to the only attempt.
    Trace trace = Trace::NeverDid;
    if (change->mayHaveTakenEffect)
        trace = findTrace(change->id, change->replaces, change->value, reply.object.value);
    if (trace == Trace::TookEffect)
        end(change, PlatformOutcome::Done, reply.object, now, effects);
    else if (trace == Trace::NeverDid)
        end(change, PlatformOutcome::Conflict, reply.object, now, effects);
    else
        end(change, PlatformOutcome::Unknown, reply.object, now, effects);
    return true;
}

// A conflict is with an earlier attempt of its own, as nobody else writes here.
bool Administration::onOutcome(Change * /*change*/, const PlatformReplied & /*reply*/)
{
    return false;
}

// Replies to the requester and starts the phase that writes the outcome.
void Administration::end(Change *change, PlatformOutcome outcome, const Object &object, Instant now,
                         Effects *effects)
{
    effects->push_back(ChangeEnded { change->asked.request, outcome, object });
    change->stored = outcome == PlatformOutcome::Done ? object.version : Revision();
    change->phase = Phase::Outcome;
    change->deadline = now + auditTimeout;
    change->failures = 0;
    const LogEvent *event = &log::changeUnresolved;
    if (outcome == PlatformOutcome::Done) {
        change->outcome = "accepted";
        event = &log::changeAccepted;
    } else if (outcome == PlatformOutcome::Unknown) {
        change->outcome = "unresolved";
    } else {
        change->outcome = outcome == PlatformOutcome::Conflict ? "lost" : "unreachable";
        event = &log::changeLost;
    }
    effects->push_back(WriteLog { record(*event, change->asked, change->id, object.version) });
}

void Administration::retryLater(Change *change, Instant now, std::uint64_t random, Effects *effects)
{
    const int doublings = std::min(change->failures++, maxBackoffDoublings);
    const Duration pause =
        std::min(options_.initialPlatformRetryDelay * (std::int64_t { 1 } << doublings),
                 options_.maxPlatformRetryDelay);
    const std::int64_t half = pause.toMicros() / 2 + 1;
    const auto jitter = static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half));
    change->retryAt = std::min(now + Duration::micros(half + jitter), change->deadline);
    effects->push_back(SetTimer { change->retryAt });
}

Effects Administration::onTimer(Instant now, std::uint64_t /*random*/)
{
    Effects effects;
    for (std::size_t i = 0; i < changes_.size();) {
        Change &change = changes_[i];
        if (change.call || now < change.retryAt) {
            ++i;
        } else if (now >= change.deadline && !giveUp(&change, now, &effects)) {
            changes_.erase(changes_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            send(&change, &effects);
            ++i;
        }
    }
    return effects;
}

// Returns true if the audit object's outcome is still to be written.
bool Administration::giveUp(Change *change, Instant now, Effects *effects)
{
    if (change->phase == Phase::Outcome) {
        effects->push_back(WriteLog {
            record(log::auditUnfinished, change->asked, change->id, change->auditVersion) });
        return false;
    }
    const bool hasIntent = change->phase == Phase::Writing;
    const auto outcome =
        change->mayHaveTakenEffect ? PlatformOutcome::Unknown : PlatformOutcome::Unreachable;
    end(change, outcome, {}, now, effects);
    return hasIntent;
}

} // namespace bluebellshift::core
