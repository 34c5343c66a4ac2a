// Steps interpolate linearly: after step k of n the fraction of region r
// is start(r) + (target(r) - start(r)) * k / n. Any mix of two neighbouring
// steps lies between them, so two VMs one step apart differ by no more traffic than
// that step moves. `start` is stored, not derived from the earlier bundle, so
// that a roll-out may begin anywhere, also in the middle of another.
//
// nlohmann's JSON library is fast enough: documents have a few kilobytes, and a few
// are processed each minute.
#include "bluebellshift/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "bluebellshift/core/capacity.h"
#include "bluebellshift/core/jsonfields.h"
#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

using Json = nlohmann::json;

constexpr double minDistance = 1e-9; // below this, no traffic has to move
constexpr double sumTolerance = 1e-6;

Json encodeSplit(const std::vector<RegionShare> &split)
{
    Json json = Json::object();
    for (const RegionShare &share : split)
        json[share.region.text()] = share.fraction;
    return json;
}

Json encodeService(const ServiceShift &shift)
{
    Json teams = Json::object();
    for (const TeamSplit &start : shift.teamStarts)
        teams[start.team.text()] = encodeSplit(start.split);
    return Json { { "step", shift.step },
                  { "steps", shift.steps },
                  { "start", encodeSplit(shift.start) },
                  { "team_starts", teams } };
}

const char *stateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Moving:
        return "moving";
    case RolloutState::Paused:
        return "paused";
    case RolloutState::Done:
        return "done";
    }
    return "done";
}

absl::StatusOr<std::vector<RegionShare>> decodeSplit(const Json &json, const std::string &what)
{
    std::vector<RegionShare> split;
    double sum = 0;
    for (const auto &item : json.items()) {
        const bool isFraction = item.value().is_number() && item.value().get<double>() >= 0
            && item.value().get<double>() <= 1;
        if (!isFraction)
            return absl::InvalidArgumentError(fmt::format("{}: \"{}\" = {} is no fraction", what,
                                                          item.key(), item.value().dump()));
        split.push_back({ RegionId(item.key()), item.value().get<double>() });
        sum += split.back().fraction;
    }
    if (std::abs(sum - 1) > sumTolerance)
        return absl::InvalidArgumentError(fmt::format("{}: sums to {}, not 1", what, sum));
    return split;
}

absl::StatusOr<ServiceShift> decodeService(const std::string &name, const Json &json)
{
    const std::string what = fmt::format("service \"{}\"", name);
    JsonFields reader(json, what);
    ServiceShift shift;
    shift.service = ServiceId(name);
    shift.step = static_cast<int>(reader.integer("step"));
    shift.steps = static_cast<int>(reader.integer("steps"));
    const Json start = reader.object("start");
    const Json teams = reader.object("team_starts");
    if (shift.step > shift.steps)
        reader.fail(fmt::format("\"step\" = {} is after \"steps\" = {}", shift.step, shift.steps));
    const absl::Status status = reader.finish();
    if (!status.ok())
        return status;

    absl::StatusOr<std::vector<RegionShare>> split = decodeSplit(start, what + " start");
    if (!split.ok())
        return split.status();
    shift.start = *std::move(split);
    for (const auto &item : teams.items()) {
        split = decodeSplit(item.value(), fmt::format("{} team \"{}\"", what, item.key()));
        if (!split.ok())
            return split.status();
        shift.teamStarts.push_back({ TeamId(item.key()), *std::move(split) });
    }
    return shift;
}

bool readState(const std::string &name, RolloutState &state)
{
    for (const RolloutState known :
         { RolloutState::Moving, RolloutState::Paused, RolloutState::Done }) {
        if (name == stateName(known)) {
            state = known;
            return true;
        }
    }
    return false;
}

absl::Status decodeServices(const Json &services, Rollout &rollout)
{
    for (const auto &item : services.items()) {
        absl::StatusOr<ServiceShift> shift = decodeService(item.key(), item.value());
        if (!shift.ok())
            return shift.status();
        rollout.services.push_back(*std::move(shift));
    }
    return absl::OkStatus();
}

std::vector<RegionShare> interpolate(const std::vector<RegionShare> &from,
                                     const std::vector<RegionShare> &to, double progress)
{
    std::vector<RegionShare> split;
    for (const RegionShare &share : to) {
        const double start = fractionOf(from, share.region);
        split.push_back({ share.region, start + (share.fraction - start) * progress });
    }
    for (const RegionShare &share : from) {
        const bool isNamed = std::any_of(
            to.begin(), to.end(), [&](const RegionShare &s) { return s.region == share.region; });
        if (!isNamed && progress < 1)
            split.push_back({ share.region, share.fraction * (1 - progress) });
    }
    return split;
}

// Returns the teams that have a split of their own in either bundle or in the shift.
std::set<TeamId> teamsWithSplits(const Service *before, const ServiceShift *shift,
                                 const Service &after)
{
    std::set<TeamId> teams;
    for (const TeamSplit &split : after.teamSplits)
        teams.insert(split.team);
    if (before != nullptr) {
        for (const TeamSplit &split : before->teamSplits)
            teams.insert(split.team);
    }
    if (shift != nullptr) {
        for (const TeamSplit &split : shift->teamStarts)
            teams.insert(split.team);
    }
    return teams;
}

// A new service carries no traffic, so its shift starts at the target split.
ServiceShift beginShift(const Service *before, const ServiceShift *old, const Service &after)
{
    ServiceShift shift;
    shift.service = after.id;
    shift.start = before == nullptr ? after.split : splitInForce(*before, old, TeamId());
    double distance = splitDistance(shift.start, after.split);
    for (const TeamId &team : teamsWithSplits(before, old, after)) {
        TeamSplit start { team, splitOf(after, team) };
        if (before != nullptr)
            start.split = splitInForce(*before, old, team);
        distance = std::max(distance, splitDistance(start.split, splitOf(after, team)));
        shift.teamStarts.push_back(std::move(start));
    }
    double cap = after.shiftCapFraction;
    if (before != nullptr)
        cap = std::min(cap, before->shiftCapFraction);
    shift.steps = stepsFor(distance, cap);
    return shift;
}

absl::Status checkRegionsKept(const Rollout &current, const Bundle &inForce, const Bundle &next)
{
    for (const Service &service : inForce.services) {
        if (next.findService(service.id) == nullptr)
            continue;
        const ServiceShift *shift = current.findService(service.id);
        std::set<TeamId> teams = teamsWithSplits(&service, shift, service);
        teams.insert(TeamId());
        for (const TeamId &team : teams) {
            for (const RegionShare &share : splitInForce(service, shift, team)) {
                if (share.fraction <= 0 || next.findRegion(share.region) != nullptr)
                    continue;
                return absl::FailedPreconditionError(fmt::format(
                    "bundle \"{}\" lacks region \"{}\", which carries {:.1f}% of service \"{}\"",
                    next.version, share.region.text(), share.fraction * 100, service.id.text()));
            }
        }
    }
    return absl::OkStatus();
}

} // namespace

const ServiceShift *Rollout::findService(const ServiceId &id) const
{
    for (const ServiceShift &shift : services) {
        if (shift.service == id)
            return &shift;
    }
    return nullptr;
}

std::string encodeRollout(const Rollout &rollout)
{
    Json services = Json::object();
    for (const ServiceShift &shift : rollout.services)
        services[shift.service.text()] = encodeService(shift);
    Json regions = Json::array();
    for (const RegionId &region : rollout.unsettledRegions)
        regions.push_back(region.text());
    const Json json { { "bundle", rollout.bundle },
                      { "previous", rollout.previous },
                      { "serial", rollout.serial },
                      { "state", stateName(rollout.state) },
                      { "reason", rollout.reason },
                      { "is_settled", rollout.isSettled },
                      { "changed_by", rollout.changedBy },
                      { "began_at_us", static_cast<std::uint64_t>(rollout.beganAt.toMicros()) },
                      { "changed_at_us", static_cast<std::uint64_t>(rollout.changedAt.toMicros()) },
                      { "services", services },
                      { "unsettled_regions", regions } };
    return json.dump();
}

absl::StatusOr<Rollout> decodeRollout(std::string_view text)
{
    const Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded())
        return absl::InvalidArgumentError("rollout: not JSON");
    JsonFields reader(json, "rollout");
    Rollout rollout;
    rollout.bundle = reader.text("bundle");
    rollout.previous = reader.text("previous");
    rollout.serial = static_cast<std::uint64_t>(reader.integer("serial"));
    const std::string state = reader.text("state");
    rollout.reason = reader.text("reason");
    rollout.isSettled = reader.flag("is_settled");
    rollout.changedBy = reader.text("changed_by");
    rollout.beganAt = WallTime::fromMicros(reader.integer("began_at_us"));
    rollout.changedAt = WallTime::fromMicros(reader.integer("changed_at_us"));
    const Json services = reader.object("services");
    const Json regions = reader.array("unsettled_regions");
    if (!readState(state, rollout.state))
        reader.fail(fmt::format("\"state\" = \"{}\" is none of moving, paused, done", state));
    for (const Json &region : regions) {
        if (!region.is_string())
            reader.fail(
                fmt::format("\"unsettled_regions\" holds {}, which is no region", region.dump()));
        else
            rollout.unsettledRegions.push_back(RegionId(region.get<std::string>()));
    }
    absl::Status status = reader.finish();
    if (status.ok())
        status = decodeServices(services, rollout);
    if (!status.ok())
        return status;
    return rollout;
}

Rollout firstRollout(const Bundle &bundle, const std::string &by, WallTime now)
{
    Rollout rollout;
    rollout.bundle = bundle.version;
    rollout.serial = 1;
    rollout.changedBy = by;
    rollout.beganAt = now;
    rollout.changedAt = now;
    for (const Service &service : bundle.services)
        rollout.services.push_back(beginShift(nullptr, nullptr, service));
    return rollout;
}

absl::StatusOr<Rollout> beginRollout(const Rollout &current, const Bundle &inForce,
                                     const Bundle &next, const std::string &by, WallTime now)
{
    const absl::Status status = checkRegionsKept(current, inForce, next);
    if (!status.ok())
        return status;
    Rollout rollout;
    rollout.bundle = next.version;
    rollout.previous = current.bundle;
    rollout.serial = current.serial + 1;
    rollout.isSettled = current.state == RolloutState::Done && current.unsettledRegions.empty();
    rollout.changedBy = by;
    rollout.beganAt = now;
    rollout.changedAt = now;
    rollout.unsettledRegions = current.unsettledRegions;
    bool isMoving = !rollout.isSettled;
    for (const Service &service : next.services) {
        rollout.services.push_back(
            beginShift(inForce.findService(service.id), current.findService(service.id), service));
        isMoving = isMoving || rollout.services.back().steps > 0;
    }
    rollout.state = isMoving ? RolloutState::Moving : RolloutState::Done;
    return rollout;
}

Rollout pauseRollout(const Rollout &current, const std::string &reason, const std::string &by,
                     WallTime now)
{
    Rollout rollout = current;
    rollout.state = RolloutState::Paused;
    rollout.reason = reason;
    rollout.changedBy = by;
    rollout.changedAt = now;
    return rollout;
}

absl::StatusOr<Rollout> resumeRollout(const Rollout &current, const std::string &by, WallTime now)
{
    if (current.state != RolloutState::Paused)
        return absl::FailedPreconditionError(
            fmt::format("the roll-out of bundle \"{}\" is {}, not paused", current.bundle,
                        stateName(current.state)));
    Rollout rollout = current;
    rollout.state = RolloutState::Moving;
    rollout.reason.clear();
    rollout.changedBy = by;
    rollout.changedAt = now;
    return rollout;
}

std::vector<RegionShare> splitInForce(const Service &service, const ServiceShift *shift,
                                      const TeamId &team)
{
    const std::vector<RegionShare> &target = splitOf(service, team);
    if (shift == nullptr || shift->isDone())
        return target;
    const std::vector<RegionShare> *start = &shift->start;
    for (const TeamSplit &teamStart : shift->teamStarts) {
        if (teamStart.team == team)
            start = &teamStart.split;
    }
    return interpolate(*start, target, static_cast<double>(shift->step) / shift->steps);
}

double splitDistance(const std::vector<RegionShare> &from, const std::vector<RegionShare> &to)
{
    double gained = 0;
    for (const RegionShare &share : to)
        gained += std::max(0.0, share.fraction - fractionOf(from, share.region));
    return gained;
}

Duration movementWait(const Service &service, const Bundle *previous, double clockDrift)
{
    Duration window = service.shiftWindow;
    Duration cacheTime = service.cacheTime;
    const Service *before = previous == nullptr ? nullptr : previous->findService(service.id);
    if (before != nullptr) {
        window = std::max(window, before->shiftWindow);
        cacheTime = std::max(cacheTime, before->cacheTime);
    }
    const double micros = static_cast<double>((window + cacheTime).toMicros());
    return Duration::micros(static_cast<std::int64_t>(std::ceil(micros * (1 + clockDrift))));
}

Duration longestMovementWait(const Bundle &bundle, const Bundle *previous, double clockDrift)
{
    Duration longest;
    for (const Service &service : bundle.services)
        longest = std::max(longest, movementWait(service, previous, clockDrift));
    return longest;
}

int stepsFor(double distance, double capFraction)
{
    if (distance < minDistance)
        return 0;
    return static_cast<int>(std::ceil(distance / (stepFractionOfCap * capFraction) - minDistance));
}

} // namespace bluebellshift::core
