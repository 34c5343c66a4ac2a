// A model of the platform's store in virtual time, which the gateways of a test share.
//
//   StoreModel store(options);
//   const StoreModel::Client vm = store.connect();
//   store.call(vm, effect, now);              // an effect that calls the store
//   if (auto reply = store.take(vm, now)) ... // at or after store.nextAt(vm)
//
//   const StoreModel::Copy copy = store.copy();
//   ...                                       // changes that will be lost
//   store.restore(copy, now, Duration::millis(300), StoreModel::Fault::Refused);
//
// Each change has a revision. Restoring a copy takes the counter back, so that revisions are given
// out again, and raises the era, which all responses tell. A watch from a revision that the store
// does not have, or whose history is discarded, ends with HistoryGone.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway::testing {

class StoreModel
{
public:
    struct Options
    {
        Duration responseDelay;
        StoreEra era;             // at the start; 0: responses never tell one
        std::size_t pageSize = 0; // of lists; 0: lists have one page
        Duration staleness;       // age of the state that a read returns that may be stale
        int readsPerSecond = 0;   // of all clients; calls beyond are refused. 0: unlimited
        int writesPerSecond = 0;
        // False: the clients' writes are acknowledged and change nothing, so that stores with the
        // same content that serve one client each stay the same.
        bool isWritable = true;
    };
    using Client = std::size_t;
    enum class Fault {
        None,
        Refused,   // calls fail soon
        Silent,    // calls end with their timeouts
        Throttled, // calls are refused as too many; those in progress go on
    };
    struct State
    {
        std::array<std::map<std::string, RegistryEntry>, registryCount> entries; // by name
        std::uint64_t revision = 100;
        std::deque<std::pair<Registry, RegistryEntry>> history; // of changes, the oldest first
        std::uint64_t discardedUpTo = 0;                        // revision of the last one
    };
    using Copy = State;
    struct Reply
    {
        Registry registry = Registry::Traffic;
        std::size_t entries = 0;
        EventBody body;
    };

    StoreModel()
        : StoreModel(Options())
    {
    }
    explicit StoreModel(const Options &options);

    Client connect();
    // The process of a client has ended: it gets no more replies.
    void disconnect(Client client);
    template<typename Call> void call(Client client, const Call &call, Instant now);
    std::optional<Reply> take(Client client, Instant now);
    Instant nextAt(Client client) const; // of a reply; never(): none

    // Changes by others than the clients. They may not be made while the store is away.
    void put(Registry registry, const std::string &name, RegistryValue value, Instant now);
    void remove(Registry registry, const std::string &name, Instant now);
    bool has(Registry registry, const std::string &name) const;
    const RegistryEntry *find(Registry registry, const std::string &name) const;
    std::uint64_t revision() const { return state_.revision; }

    Copy copy() const { return state_; }
    void restore(const Copy &copy, Instant now, Duration awayTime, Fault fault);
    void setAway(Instant now, Duration time, Fault fault);
    bool isAway(Instant now) const { return now < awayUntil_; }
    // Delays the responses to calls for a registry of all clients that connect from now on.
    void delayNewClients(Registry registry, Duration delay) { newClientDelays_[registry] = delay; }
    StoreEra era() const { return era_; }
    // The path between a client and the store.
    void setPath(Client client, Fault fault, Instant now);
    // All following changes but the latest `most` are discarded; nothing: none are.
    void limitHistory(std::optional<std::size_t> most);
    // Ends the connections of the watches that wait; all other calls are served.
    void cutWatches(Instant now);
    // Cuts off the responses to all calls for a registry; nothing: to none.
    void setCutOff(std::optional<Registry> registry) { cutOff_ = registry; }
    // Each watch ends with HistoryGone.
    void setWatchesGone(bool isGone) { areWatchesGone_ = isGone; }
    // The next reply to a call of the client for the registry arrives later.
    void delayNext(Client client, Registry registry, Duration time);

    // The largest number of calls that began within one second, of all clients and of one.
    struct Rates
    {
        int reads = 0;
        int writes = 0;
        int readsOfOne = 0;
        int writesOfOne = 0;
    };
    const Rates &highestRates() const { return highest_; }
    void resetHighestRates() { highest_ = {}; }
    int refusedByRate() const { return refusedByRate_; }

private:
    static constexpr Duration refusalDelay = Duration::millis(10);
    static constexpr std::size_t binsPerSecond = 50;

    // Counts of the latest second.
    class RateCounter
    {
    public:
        int add(Instant now);

    private:
        std::deque<std::pair<std::int64_t, int>> bins_;
        int sum_ = 0;
    };
    struct Pending
    {
        Instant at;
        Instant deadline; // when the caller gives up
        Reply reply;
        EventBody noAnswer; // the event if the response is lost
        EventBody cutOff;   // the event if the connection ends before the response
        bool isSent = true; // false: a watch that waits for a change, until `at`
        Registry registry = Registry::Traffic;
        std::uint64_t after = 0;
        CallId call;
    };
    struct ClientState
    {
        bool isConnected = true;
        Fault path = Fault::None;
        RateCounter reads;
        RateCounter writes;
        std::deque<Pending> pending;
        std::map<Registry, Duration> delays;
    };

    Reply serve(const ListRegistry &list, Instant now);
    std::optional<Reply> serve(const WatchRegistry &watch);
    Reply serve(const WriteVm &write, Instant now);
    Reply serve(const RemoveVm &remove, Instant now);
    Reply serve(const CreatePeerKey &create, Instant now);
    bool countRead(ClientState &client, Instant now);
    bool countWrite(ClientState &client, Instant now);
    Reply changesSince(Registry registry, std::uint64_t after, CallId call) const;
    Fault faultOf(const ClientState &client, Instant now) const;
    Duration takeDelay(ClientState &client, Registry registry);
    void add(ClientState &client, Pending pending);
    void breakCalls(ClientState &client, Fault fault, Instant now);
    void change(Registry registry, RegistryEntry entry, Instant now);
    const State &staleState(Instant now);

    const Options options_;
    State state_;
    State stale_;
    Instant staleAt_ = Instant::never();
    StoreEra era_;
    std::map<Registry, Duration> newClientDelays_;
    std::vector<ClientState> clients_;
    Instant awayUntil_ = Instant::never();
    Fault awayFault_ = Fault::None;
    std::optional<std::size_t> historyLimit_;
    bool areWatchesGone_ = false;
    std::optional<Registry> cutOff_;
    RateCounter reads_;
    RateCounter writes_;
    Rates highest_;
    int refusedByRate_ = 0;
};

} // namespace bluebellshift::gateway::testing
