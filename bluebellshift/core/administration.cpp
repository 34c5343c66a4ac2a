// Each change is a small state machine (intent, write, outcome) with at most one call
// under way, so that it costs three writes when nothing fails.
//
// After a lost reply, a conflict may return another value. If the change ids in that
// value include this change, it took effect and was overwritten since. If they
// include only the change that this one replaces, it never took effect. Otherwise
// the outcome can't be determined and is Unknown.
//
// A crash leaves an audit object whose outcome is "pending". The object that it
// names shows whether the change took effect, by its change ids or value.
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

std::string textField(const json &document, const char *name)
{
    if (!document.is_object() || !document.contains(name) || !document[name].is_string())
        return "";
    return document[name].get<std::string>();
}

// Returns the change ids in a value, the newest first.
std::vector<std::string> changeIds(const json &document)
{
    std::vector<std::string> ids;
    const std::string newest = textField(document, "change");
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

// Prepends the id of this change to the change ids in the requester's value.
std::string addChangeIds(const std::string &value, const std::string &id)
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

enum class InferredOutcome { TookEffect, NoEffect, Undetermined };

// Infers from a stored value whether a change whose reply was lost took effect.
InferredOutcome inferOutcome(const std::string &id, const std::string &replacedId,
                             const std::string &written, const std::string &stored)
{
    if (stored == written)
        return InferredOutcome::TookEffect;
    const std::vector<std::string> ids = changeIds(parseQuietly(stored));
    if (std::find(ids.begin(), ids.end(), id) != ids.end())
        return InferredOutcome::TookEffect;
    if (!replacedId.empty() && std::find(ids.begin(), ids.end(), replacedId) != ids.end())
        return InferredOutcome::NoEffect;
    return InferredOutcome::Undetermined;
}

LogRecord record(const LogEvent &event, const ChangeRequested &requested, const std::string &id,
                 Revision version)
{
    return { event,
             { { "change", id },
               { "by", requested.by.text() },
               { "kind", requested.kind },
               { "object", requested.name },
               { "version", std::to_string(version.number()) } } };
}

} // namespace

bool recordsChangeIds(const std::string &kind)
{
    return kind == kind::keys || kind == kind::bundle;
}

Administration::Administration(const CoreOptions &options, std::function<CallId()> newCall)
    : options_(options)
    , newCall_(std::move(newCall))
{
}

Effects Administration::onChangeRequested(const ChangeRequested &requested, Instant now,
                                          std::uint64_t /*random*/)
{
    Effects effects;
    if (changes_.size() >= maxPendingChanges) {
        effects.push_back(ChangeEnded { requested.request, PlatformOutcome::Unreachable, {} });
        return effects;
    }
    changes_.push_back(makeChange(requested, now));
    send(&changes_.back(), &effects);
    return effects;
}

Administration::Change Administration::makeChange(const ChangeRequested &requested, Instant now)
{
    Change change;
    change.requested = requested;
    change.id = fmt::format("{}-{:x}-{}", options_.vm.text(), options_.incarnation.number(),
                            ++lastChangeNumber_);
    change.auditObjectName = fmt::format("{:017}-{}", requested.at.toMicros(), change.id);
    change.value = requested.value;
    if (recordsChangeIds(requested.kind)) {
        change.replacedId = textField(parseQuietly(requested.value), "change");
        change.value = addChangeIds(requested.value, change.id);
    }
    change.outcome = "pending";
    change.deadline = now + changeTimeout;
    return change;
}

std::string Administration::auditValue(const Change &change) const
{
    const json document = { { "change", change.id },
                            { "at_micros", change.requested.at.toMicros() },
                            { "vm", options_.vm.text() },
                            { "by", change.requested.by.text() },
                            { "kind", change.requested.kind },
                            { "name", change.requested.name },
                            { "expected", change.requested.expected.number() },
                            { "summary", change.requested.summary },
                            { "outcome", change.outcome },
                            { "version", change.storedVersion.number() } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void Administration::send(Change *change, Effects *effects)
{
    change->call = newCall_();
    if (change->phase == Phase::Writing)
        effects->push_back(WriteObject { *change->call, change->requested.kind,
                                         change->requested.name, change->requested.expected,
                                         change->value });
    else
        effects->push_back(WriteObject { *change->call, kind::audit, change->auditObjectName,
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
        const bool wasNotSent = reply.outcome == PlatformOutcome::Unreachable;
        change.mayHaveTakenEffect |= change.phase == Phase::Writing && !wasNotSent;
        retryLater(&change, now, random, &effects);
        return effects;
    }
    bool isUnfinished = false;
    if (change.phase == Phase::Intent)
        isUnfinished = onIntentWritten(&change, reply, now, &effects);
    else if (change.phase == Phase::Writing)
        isUnfinished = onObjectWritten(&change, reply, now, &effects);
    else
        isUnfinished = onOutcomeWritten(&change, reply);
    if (isUnfinished)
        send(&change, &effects);
    else
        changes_.erase(found);
    return effects;
}

bool Administration::onIntentWritten(Change *change, const PlatformReplied &reply, Instant now,
                                     Effects *effects)
{
    // A conflict may be with an earlier attempt whose reply was lost.
    const bool isOwn = reply.outcome == PlatformOutcome::Done
        || textField(parseQuietly(reply.object.value), "change") == change->id;
    if (!isOwn) {
        end(change, PlatformOutcome::Unreachable, {}, now, effects);
        return false;
    }
    change->auditVersion = reply.object.version;
    change->phase = Phase::Writing;
    change->failures = 0;
    return true;
}

bool Administration::onObjectWritten(Change *change, const PlatformReplied &reply, Instant now,
                                     Effects *effects)
{
    if (reply.outcome == PlatformOutcome::Done) {
        end(change, PlatformOutcome::Done, reply.object, now, effects);
        return true;
    }
    // If no reply was lost, the conflict refers to the only attempt.
    InferredOutcome inferred = InferredOutcome::NoEffect;
    if (change->mayHaveTakenEffect)
        inferred = inferOutcome(change->id, change->replacedId, change->value, reply.object.value);
    if (inferred == InferredOutcome::TookEffect)
        end(change, PlatformOutcome::Done, reply.object, now, effects);
    else if (inferred == InferredOutcome::NoEffect)
        end(change, PlatformOutcome::Conflict, reply.object, now, effects);
    else
        end(change, PlatformOutcome::Unknown, reply.object, now, effects);
    return true;
}

// A conflict can only be with an earlier attempt of this change, since nobody else writes
// its audit object.
bool Administration::onOutcomeWritten(Change * /*change*/, const PlatformReplied & /*reply*/)
{
    return false;
}

// Replies to the requester and starts the phase that writes the outcome.
void Administration::end(Change *change, PlatformOutcome outcome, const Object &object, Instant now,
                         Effects *effects)
{
    effects->push_back(ChangeEnded { change->requested.request, outcome, object });
    change->storedVersion = outcome == PlatformOutcome::Done ? object.version : Revision();
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
    effects->push_back(WriteLog { record(*event, change->requested, change->id, object.version) });
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
            record(log::auditUnfinished, change->requested, change->id, change->auditVersion) });
        return false;
    }
    const bool hasIntent = change->phase == Phase::Writing;
    const auto outcome =
        change->mayHaveTakenEffect ? PlatformOutcome::Unknown : PlatformOutcome::Unreachable;
    end(change, outcome, {}, now, effects);
    return hasIntent;
}

} // namespace bluebellshift::core
