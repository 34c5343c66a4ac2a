// Runs one gateway's reducer in virtual time with a model of the store, its own or one that it
// shares with others. The test provides the responses of targets and the messages of other VMs.
//
//   GatewayBench bench;
//   bench.begin(sampleConfig(), sampleTargets(4));   // ready to serve
//   bench.request(1);
//   CHECK_EQUAL(1, bench.takeSent().size());
//   bench.answer(1, 200);
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bluebellshift/gateway/reducer.h"
#include "bluebellshift/gateway/testing/storemodel.h"

namespace bluebellshift::gateway::testing {

inline constexpr char openPath[] = "/open/x";
inline constexpr char readPath[] = "/read/x"; // idempotent
inline constexpr char swapPath[] = "/swap/x"; // not idempotent
inline constexpr char sampleKey[] = "key-of-a";
inline constexpr char sampleHost[] = "host.example";

// A host with the routes above to service "s", and the teams "a" and "b".
std::shared_ptr<TrafficConfig> sampleConfig(std::uint64_t version = 1);

// Targets t0, t1, ... of service "s", alternating between near-1, near-2 and far-1.
std::vector<Target> sampleTargets(int count);

GatewayOptions sampleOptions(const std::string &vm = "vm-1");

struct Ended
{
    RequestId request;
    int status = 0; // 0: the target's response was forwarded, or the caller disconnected
    Duration retryAfter;
    std::string reason;
    bool isForwarded = false;
};

struct Outgoing
{
    VmId to;
    EventBody event;
};

class GatewayBench
{
public:
    explicit GatewayBench(const GatewayOptions &options = sampleOptions());
    // Uses a store that others use too, and whose content the test provides.
    GatewayBench(const GatewayOptions &options, StoreModel &store, Instant now);
    ~GatewayBench();
    GatewayBench(const GatewayBench &) = delete;
    GatewayBench &operator=(const GatewayBench &) = delete;

    void start();
    // Starts the gateway, serves its first lists and waits for `settling`.
    void begin(std::shared_ptr<TrafficConfig> config, const std::vector<Target> &targets,
               const std::vector<VmEntry> &vms = {}, Duration settling = Duration::seconds(2));
    void reduce(EventBody body);
    // Advances the time and fires all timers that become due.
    void advance(Duration time);
    Instant now() const { return now_; }

    void putConfig(std::shared_ptr<TrafficConfig> config);
    void putTarget(const Target &target);
    void putVm(const VmEntry &vm);
    void removeTarget(const TargetId &target);
    void setEvacuated(const std::string &domain, bool isEvacuated);
    // Makes the store refuse all calls, or serve them again.
    void setStoreDown(bool isDown);
    // Makes responses of the store arrive one after the other over a link of this rate. Each
    // version of the configuration has `configBytes`, any other entry 300 bytes.
    void setLink(std::size_t bytesPerSecond, std::size_t configBytes);

    RequestArrived arrival(std::uint64_t id, const std::string &path = readPath) const;
    void request(std::uint64_t id, const std::string &path = readPath);
    void end(std::uint64_t id, AttemptOutcome outcome, int status = 0, bool saysNotRun = false);
    // Ends the request's current attempt; its ids are filled in.
    void finish(std::uint64_t id, AttemptEnded ended);
    void answer(std::uint64_t id, int status) { end(id, AttemptOutcome::Answered, status); }
    // Answers with success, and with the limit that the target names.
    void answerWithLimit(std::uint64_t id, std::optional<double> perSecond);

    // The effects since the previous call.
    std::vector<SendAttempt> takeSent() { return std::exchange(sent_, {}); }
    std::vector<Ended> takeEnded() { return std::exchange(ended_, {}); }
    std::vector<RequestId> takeCancelled() { return std::exchange(cancelled_, {}); }
    // Messages to other VMs, as the events that they raise there.
    std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }
    // The VMs that this VM is connected to.
    const std::vector<VmEntry> &peers() const { return peers_; }
    // The secret that it authenticates itself with; empty: none yet.
    const std::string &secretHex() const { return secretHex_; }
    StoreModel &store() { return *store_; }
    StoreModel::Client storeClient() const { return client_; }
    // Lists and watches.
    int storeCalls() const { return storeCalls_; }
    bool hasExited() const { return hasExited_; }
    Reducer &reducer() { return reducer_; }
    const std::vector<core::LogRecord> &logs() const { return logs_; }

private:
    struct PendingResponse
    {
        Instant at;
        EventBody body;
    };

    void perform(Effects &&effects);
    void send(const std::vector<VmId> &to, const EventBody &event);
    void on(const SendAttempt &attempt);
    template<typename Call> void callStore(const Call &call);
    void serveStore();
    // Queues the replies of the store that are due.
    void collectReplies();
    void put(Registry registry, const std::string &name, RegistryValue value);

    const VmEntry self_;
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::uint64_t random_ = 12345;
    Reducer reducer_;
    std::unique_ptr<StoreModel> ownStore_; // null: it is shared
    StoreModel *const store_;
    const StoreModel::Client client_;
    std::vector<PendingResponse> responses_; // by time
    std::size_t linkBytesPerSecond_ = 0;     // 0: responses arrive at once
    std::size_t configBytes_ = 0;
    Instant linkFreeAt_;
    int storeCalls_ = 0;
    std::map<std::uint64_t, int> attempts_;
    std::vector<SendAttempt> sent_;
    std::vector<Ended> ended_;
    std::vector<RequestId> cancelled_;
    std::vector<Outgoing> outgoing_;
    std::vector<VmEntry> peers_;
    std::string secretHex_;
    std::vector<core::LogRecord> logs_;
    bool hasExited_ = false;
};

} // namespace bluebellshift::gateway::testing
