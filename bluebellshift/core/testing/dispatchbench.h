// Test harness for one Dispatch: fakes of its keys, bundle, targets, budget and
// peers, which the test controls.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bluebellshift/core/dispatch.h"
#include "bluebellshift/core/testing/fakebudget.h"

namespace bluebellshift::core::testing {

inline const ServiceId rota("rota");
inline const TeamId multan("multan");
inline const TeamId sukkur("sukkur");
inline const RegionId punjab("punjab");
inline const RegionId sindh("sindh");

// State that all VMs share: the bundle, the valid keys and the targets.
struct ClusterState
{
    ClusterState()
    {
        Service service;
        service.id = rota;
        service.routes = { { "/", true, true },
                           { "/turns", false, true },
                           { "/swap", false, false } };
        service.requestTimeout = Duration::seconds(4);
        bundle = std::make_shared<Bundle>();
        bundle->services = { service };
        bundle->teams = { { multan, 10, 10 }, { sukkur, 10, 10 } };
        keys = { { KeyDigest("m"), multan }, { KeyDigest("s"), sukkur } };
        for (const char *id : { "t1", "t2", "t3", "t4" }) {
            Target target;
            target.id = TargetId(id);
            target.service = rota;
            target.region = targets.size() < 2 ? punjab : sindh;
            target.slots = 2;
            target.connections = 400;
            targets.push_back(target);
        }
    }

    std::shared_ptr<Bundle> bundle;
    std::map<KeyDigest, TeamId> keys;
    std::vector<Target> targets;
};

// One incarnation of a VM. Set the options, then call start().
struct DispatchBench
{
    explicit DispatchBench(ClusterState &sharedCluster, const std::string &vm = "punjab-a-1",
                           std::uint64_t incarnation = 1)
        : cluster(sharedCluster)
    {
        options.vm = VmId(vm);
        options.incarnation = Incarnation(incarnation);
        options.region = punjab;
        options.ticketSecret = vm + std::to_string(incarnation);
        for (const Target &target : cluster.targets) {
            budget.set(slotAccount(target.id), target.slots);
            budget.set(connectionAccount(target.id), target.connections);
        }
    }

    // Creates the Dispatch with the current options.
    Dispatch &start()
    {
        DispatchHooks hooks;
        hooks.authenticate = [this](const KeyDigest &key) -> std::optional<TeamId> {
            const auto team = cluster.keys.find(key);
            return team == cluster.keys.end() ? std::nullopt : std::optional(team->second);
        };
        hooks.bundle = [this] { return cluster.bundle; };
        hooks.targetsOf = [this](const ServiceId &) -> const std::vector<Target> & {
            return cluster.targets;
        };
        hooks.budget = budget.hooks();
        hooks.regionOrder = [this](const ServiceId &, const TeamId &, std::uint64_t, Instant) {
            return regions;
        };
        hooks.mayServe = [this](Instant) { return isFresh; };
        hooks.validUntil = [](Instant now) { return now + Duration::seconds(1); };
        hooks.isVmAlive = [this](const VmId &, Incarnation) { return isPeerAlive; };
        dispatch = std::make_unique<Dispatch>(options, hooks);
        return *dispatch;
    }

    RequestArrived request(const std::string &path, const std::string &key = "m",
                           const std::string &ticket = "")
    {
        RequestArrived arrived;
        arrived.request = RequestId(++lastRequestNumber);
        arrived.service = rota;
        arrived.method = "POST";
        arrived.path = path;
        arrived.hasKey = !key.empty();
        arrived.keyDigest = KeyDigest(key);
        arrived.ticket = ticket;
        return arrived;
    }

    std::string ticket(const std::string &key = "m");

    ClusterState &cluster;
    CoreOptions options;
    FakeBudget budget;
    std::vector<RegionId> regions { punjab, sindh };
    bool isFresh = true;
    bool isPeerAlive = true;
    Instant now = Instant::fromMicros(1'000'000'000);
    std::uint64_t lastRequestNumber = 0;
    std::unique_ptr<Dispatch> dispatch;
};

// Returns the effects of type `Kind`, in order.
template<typename Kind> std::vector<Kind> effectsOf(const Effects &effects)
{
    std::vector<Kind> found;
    for (const Effect &effect : effects) {
        if (const Kind *kind = std::get_if<Kind>(&effect))
            found.push_back(*kind);
    }
    return found;
}

inline std::string DispatchBench::ticket(const std::string &key)
{
    TicketRequested ticketRequest { RequestId(++lastRequestNumber), rota, !key.empty(),
                                    KeyDigest(key) };
    return effectsOf<IssueTicket>(dispatch->onTicketAsked(ticketRequest, now, lastRequestNumber))
        .at(0)
        .ticket;
}

inline AttemptEnded makeAttemptEnded(const ForwardRequest &forward, AttemptOutcome outcome,
                                     const std::string &body = "")
{
    AttemptEnded end;
    end.request = forward.request;
    end.attempt = forward.attempt;
    end.outcome = outcome;
    if (outcome == AttemptOutcome::Answered)
        end.answer = std::make_shared<const Answer>(Answer { 200, {}, body });
    return end;
}

} // namespace bluebellshift::core::testing
