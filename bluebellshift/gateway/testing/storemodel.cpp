// Clients whose clocks differ by a step of a walk may call in an order that differs from the one
// of their clocks by as much.
#include "bluebellshift/gateway/testing/storemodel.h"

#include <algorithm>

namespace bluebellshift::gateway::testing {
namespace {

constexpr char secretName[] = "current";

template<typename Map> auto &entriesOf(Map &state, Registry registry)
{
    return state.entries[static_cast<std::size_t>(registry)];
}

Registry registryOf(const ListRegistry &list)
{
    return list.registry;
}
Registry registryOf(const WatchRegistry &watch)
{
    return watch.registry;
}
Registry registryOf(const CreatePeerKey &)
{
    return Registry::PeerKeys;
}
template<typename Write> Registry registryOf(const Write &)
{
    return Registry::Vms;
}

template<typename Read>
EventBody failureOf(const Read &read, StoreFailure failure, StoreEra era = StoreEra(),
                    FailureSign sign = FailureSign::Ended)
{
    return RegistryFailed { read.registry, failure, era, read.call, sign };
}
EventBody failureOf(const WriteVm &, StoreFailure failure, StoreEra era = StoreEra(),
                    FailureSign = FailureSign::Ended)
{
    return StoreWriteFailed { Registry::Vms, failure, era };
}
EventBody failureOf(const RemoveVm &, StoreFailure failure, StoreEra era = StoreEra(),
                    FailureSign = FailureSign::Ended)
{
    return StoreWriteFailed { Registry::Vms, failure, era };
}
EventBody failureOf(const CreatePeerKey &, StoreFailure failure, StoreEra era = StoreEra(),
                    FailureSign = FailureSign::Ended)
{
    return StoreWriteFailed { Registry::PeerKeys, failure, era };
}

} // namespace

StoreModel::StoreModel(const Options &options)
    : options_(options)
    , era_(options.era)
{
}

StoreModel::Client StoreModel::connect()
{
    clients_.emplace_back();
    clients_.back().delays = newClientDelays_;
    return clients_.size() - 1;
}

void StoreModel::disconnect(Client client)
{
    clients_[client].isConnected = false;
    clients_[client].pending.clear();
}

int StoreModel::RateCounter::add(Instant now)
{
    const std::int64_t bin = now.toMicros() * static_cast<std::int64_t>(binsPerSecond) / 1'000'000;
    const auto place = std::find_if(bins_.rbegin(), bins_.rend(),
                                    [&](const auto &one) { return one.first <= bin; });
    if (place != bins_.rend() && place->first == bin)
        ++place->second;
    else
        bins_.insert(place.base(), { bin, 1 });
    ++sum_;
    while (bins_.front().first <= bins_.back().first - static_cast<std::int64_t>(binsPerSecond)) {
        sum_ -= bins_.front().second;
        bins_.pop_front();
    }
    return sum_;
}

bool StoreModel::countRead(ClientState &client, Instant now)
{
    const int count = reads_.add(now);
    highest_.reads = std::max(highest_.reads, count);
    highest_.readsOfOne = std::max(highest_.readsOfOne, client.reads.add(now));
    return options_.readsPerSecond == 0 || count <= options_.readsPerSecond;
}

bool StoreModel::countWrite(ClientState &client, Instant now)
{
    const int count = writes_.add(now);
    highest_.writes = std::max(highest_.writes, count);
    highest_.writesOfOne = std::max(highest_.writesOfOne, client.writes.add(now));
    return options_.writesPerSecond == 0 || count <= options_.writesPerSecond;
}

StoreModel::Fault StoreModel::faultOf(const ClientState &client, Instant now) const
{
    return client.path != Fault::None ? client.path : isAway(now) ? awayFault_ : Fault::None;
}

template<typename Call> void StoreModel::call(Client client, const Call &call, Instant now)
{
    ClientState &state = clients_[client];
    constexpr bool isWatch = std::is_same_v<Call, WatchRegistry>;
    constexpr bool isRead = isWatch || std::is_same_v<Call, ListRegistry>;
    const bool isWithinRate = isRead ? countRead(state, now) : countWrite(state, now);
    Pending pending;
    pending.registry = registryOf(call);
    pending.reply.registry = pending.registry;
    pending.deadline = now + call.timeout;
    pending.noAnswer =
        failureOf(call, StoreFailure::NoAnswer, StoreEra(), FailureSign::Unreachable);
    pending.cutOff = failureOf(call, StoreFailure::NoAnswer);
    const Fault fault = faultOf(state, now);
    if (fault == Fault::Silent) {
        pending.at = pending.deadline;
        pending.reply.body = pending.noAnswer;
    } else if (fault == Fault::Refused) {
        // The machine refuses the connection, so that nothing tells the era.
        pending.at = now + refusalDelay;
        pending.reply.body =
            failureOf(call, StoreFailure::Refused, StoreEra(), FailureSign::Unreachable);
    } else if (cutOff_ == pending.registry) {
        pending.at = now + options_.responseDelay;
        pending.reply.body = pending.cutOff;
    } else if (!isWithinRate || fault == Fault::Throttled) {
        refusedByRate_ += isWithinRate ? 0 : 1;
        pending.at = now + options_.responseDelay;
        pending.reply.body = failureOf(call, StoreFailure::Refused, era_, FailureSign::Throttled);
    } else if constexpr (isWatch) {
        if (std::optional<Reply> reply = serve(call)) {
            pending.reply = std::move(*reply);
            pending.at = now + takeDelay(state, pending.registry);
        } else {
            pending.isSent = false;
            pending.at = now + call.wait;
            pending.after = call.after.number();
            pending.call = call.call;
        }
    } else {
        pending.reply = serve(call, now);
        pending.at = now + takeDelay(state, pending.registry);
    }
    add(state, std::move(pending));
}

template void StoreModel::call(Client, const ListRegistry &, Instant);
template void StoreModel::call(Client, const WatchRegistry &, Instant);
template void StoreModel::call(Client, const WriteVm &, Instant);
template void StoreModel::call(Client, const RemoveVm &, Instant);
template void StoreModel::call(Client, const CreatePeerKey &, Instant);

Duration StoreModel::takeDelay(ClientState &client, Registry registry)
{
    const auto delay = client.delays.find(registry);
    if (delay == client.delays.end())
        return options_.responseDelay;
    const Duration time = delay->second;
    client.delays.erase(delay);
    return time;
}

void StoreModel::add(ClientState &client, Pending pending)
{
    if (pending.at > pending.deadline) {
        pending.at = pending.deadline;
        pending.reply.body = pending.noAnswer;
        pending.isSent = true;
    }
    client.pending.push_back(std::move(pending));
}

Instant StoreModel::nextAt(Client client) const
{
    Instant next = Instant::never();
    for (const Pending &one : clients_[client].pending)
        next = next == Instant::never() ? one.at : std::min(next, one.at);
    return next;
}

std::optional<StoreModel::Reply> StoreModel::take(Client client, Instant now)
{
    std::deque<Pending> &pending = clients_[client].pending;
    const auto next =
        std::min_element(pending.begin(), pending.end(),
                         [](const Pending &a, const Pending &b) { return a.at < b.at; });
    if (next == pending.end() || next->at > now)
        return std::nullopt;
    Reply reply = std::move(next->reply);
    if (!next->isSent)
        reply = changesSince(next->registry, next->after, next->call);
    pending.erase(next);
    return reply;
}

const StoreModel::State &StoreModel::staleState(Instant now)
{
    if (options_.staleness == Duration())
        return state_;
    if (staleAt_ == Instant::never() || now - staleAt_ > options_.staleness) {
        stale_ = state_;
        staleAt_ = now;
    }
    return stale_;
}

StoreModel::Reply StoreModel::serve(const ListRegistry &list, Instant now)
{
    const State &state = list.mayBeStale ? staleState(now) : state_;
    RegistryListed listed;
    listed.registry = list.registry;
    listed.at = Revision(state.revision);
    listed.era = era_;
    listed.call = list.call;
    const auto &entries = entriesOf(state, list.registry);
    for (auto entry = entries.upper_bound(list.after); entry != entries.end(); ++entry) {
        if (options_.pageSize > 0 && listed.entries.size() == options_.pageSize) {
            listed.hasMore = true;
            break;
        }
        listed.entries.push_back(entry->second);
    }
    const std::size_t count = listed.entries.size();
    return { list.registry, count, std::move(listed) };
}

StoreModel::Reply StoreModel::changesSince(Registry registry, std::uint64_t after,
                                           CallId call) const
{
    RegistryChanged changed;
    changed.registry = registry;
    changed.at = Revision(state_.revision);
    changed.era = era_;
    changed.call = call;
    const auto &history = state_.history;
    for (auto one = history.rbegin(); one != history.rend(); ++one) {
        if (one->second.revision.number() <= after)
            break;
        if (one->first == registry)
            changed.entries.push_back(one->second);
    }
    std::reverse(changed.entries.begin(), changed.entries.end());
    const std::size_t count = changed.entries.size();
    return { registry, count, std::move(changed) };
}

std::optional<StoreModel::Reply> StoreModel::serve(const WatchRegistry &watch)
{
    const std::uint64_t after = watch.after.number();
    if (areWatchesGone_ || after > state_.revision || after < state_.discardedUpTo)
        return Reply { watch.registry, 0, failureOf(watch, StoreFailure::HistoryGone, era_) };
    Reply reply = changesSince(watch.registry, after, watch.call);
    if (reply.entries == 0 && watch.wait > Duration())
        return std::nullopt;
    return reply;
}

StoreModel::Reply StoreModel::serve(const WriteVm &write, Instant now)
{
    const std::string &name = write.entry.id.text();
    const bool exists = has(Registry::Vms, name);
    if (!options_.isWritable && !(exists && write.mustCreate))
        return { Registry::Vms, 0, StoreWritten { Registry::Vms, era_ } };
    if (exists == write.mustCreate) {
        const StoreFailure failure = exists ? StoreFailure::Conflict : StoreFailure::Missing;
        return { Registry::Vms, 0, failureOf(write, failure, era_) };
    }
    put(Registry::Vms, name, write.entry, now);
    return { Registry::Vms, 0, StoreWritten { Registry::Vms, era_ } };
}

StoreModel::Reply StoreModel::serve(const RemoveVm &call, Instant now)
{
    if (!options_.isWritable)
        return { Registry::Vms, 0, StoreWritten { Registry::Vms, era_ } };
    const RegistryEntry *entry = find(Registry::Vms, call.vm.text());
    if (entry == nullptr)
        return { Registry::Vms, 0, failureOf(call, StoreFailure::Missing, era_) };
    if (call.revision != Revision() && call.revision != entry->revision)
        return { Registry::Vms, 0, failureOf(call, StoreFailure::Conflict, era_) };
    remove(Registry::Vms, call.vm.text(), now);
    return { Registry::Vms, 0, StoreWritten { Registry::Vms, era_ } };
}

StoreModel::Reply StoreModel::serve(const CreatePeerKey &create, Instant now)
{
    if (has(Registry::PeerKeys, secretName))
        return { Registry::PeerKeys, 0, failureOf(create, StoreFailure::Conflict, era_) };
    put(Registry::PeerKeys, secretName, PeerKeyEntry { create.secretHex }, now);
    return { Registry::PeerKeys, 0, StoreWritten { Registry::PeerKeys, era_ } };
}

bool StoreModel::has(Registry registry, const std::string &name) const
{
    return find(registry, name) != nullptr;
}

const RegistryEntry *StoreModel::find(Registry registry, const std::string &name) const
{
    const auto &entries = entriesOf(state_, registry);
    const auto found = entries.find(name);
    return found == entries.end() ? nullptr : &found->second;
}

void StoreModel::put(Registry registry, const std::string &name, RegistryValue value, Instant now)
{
    RegistryEntry entry;
    entry.name = name;
    entry.value = std::move(value);
    change(registry, std::move(entry), now);
}

void StoreModel::remove(Registry registry, const std::string &name, Instant now)
{
    RegistryEntry entry;
    entry.name = name;
    entry.isGone = true;
    change(registry, std::move(entry), now);
}

void StoreModel::change(Registry registry, RegistryEntry entry, Instant now)
{
    entry.revision = Revision(++state_.revision);
    auto &entries = entriesOf(state_, registry);
    if (entry.isGone)
        entries.erase(entry.name);
    else
        entries[entry.name] = entry;
    state_.history.emplace_back(registry, std::move(entry));
    for (ClientState &client : clients_) {
        for (Pending &watch : client.pending) {
            if (watch.isSent || watch.registry != registry)
                continue;
            watch.reply = changesSince(registry, watch.after, watch.call);
            watch.isSent = true;
            watch.at = now + takeDelay(client, registry);
        }
    }
    // After the watches that wait have it, which need no history.
    if (historyLimit_)
        limitHistory(historyLimit_);
}

void StoreModel::limitHistory(std::optional<std::size_t> most)
{
    historyLimit_ = most;
    while (most && state_.history.size() > *most) {
        state_.discardedUpTo = state_.history.front().second.revision.number();
        state_.history.pop_front();
    }
}

void StoreModel::delayNext(Client client, Registry registry, Duration time)
{
    clients_[client].delays[registry] = time;
}

void StoreModel::setAway(Instant now, Duration time, Fault fault)
{
    awayUntil_ = now + time;
    awayFault_ = fault;
    for (ClientState &client : clients_)
        breakCalls(client, fault, now);
}

// Responses that were sent before the copy was restored may still arrive, unless all is silent.
void StoreModel::restore(const Copy &copy, Instant now, Duration awayTime, Fault fault)
{
    setAway(now, awayTime, fault);
    state_ = copy;
    staleAt_ = Instant::never();
    if (era_ != StoreEra())
        era_ = StoreEra(era_.number() + 1);
    if (historyLimit_)
        limitHistory(historyLimit_);
}

void StoreModel::cutWatches(Instant now)
{
    for (ClientState &client : clients_)
        breakCalls(client, Fault::Refused, now);
}

void StoreModel::setPath(Client client, Fault fault, Instant now)
{
    clients_[client].path = fault;
    if (fault != Fault::None)
        breakCalls(clients_[client], fault, now);
}

void StoreModel::breakCalls(ClientState &client, Fault fault, Instant now)
{
    if (fault == Fault::Throttled)
        return;
    for (Pending &one : client.pending) {
        const bool isLost = fault == Fault::Silent || !one.isSent;
        if (!isLost)
            continue;
        one.at = fault == Fault::Silent ? one.deadline : now;
        one.reply = { one.registry, 0, fault == Fault::Silent ? one.noAnswer : one.cutOff };
        one.isSent = true;
    }
}

} // namespace bluebellshift::gateway::testing
