// Drives one gateway's reducer in virtual time, with the store, the targets and the
// other VMs as the test says.
//
//   GatewayBench bench;
//   bench.begin(sampleConfig(), sampleTargets(4));   // ready to serve
//   bench.request(1);
//   CHECK_EQUAL(1, bench.sent().size());
//   bench.answer(1, 200);
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bluebellshift/gateway/reducer.h"

namespace bluebellshift::gateway::testing {

inline constexpr char openPath[] = "/open/x";
inline constexpr char readPath[] = "/read/x"; // may be repeated
inline constexpr char swapPath[] = "/swap/x"; // may not
inline constexpr char sampleKey[] = "key-of-a";
inline constexpr char sampleHost[] = "host.example";

// One host with the routes above to service "s", and the teams "a" and "b".
std::shared_ptr<TrafficConfig> sampleConfig(std::uint64_t version = 1);

// Targets t0, t1, ... of service "s", in turn in domains near-1, near-2 and far-1.
std::vector<Target> sampleTargets(int count);

GatewayOptions sampleOptions(const std::string &vm = "vm-1");

struct Ended
{
    RequestId request;
    int status = 0; // 0: the target's answer was passed on, or the caller had gone
    Duration retryAfter;
    std::string reason;
    bool isForwarded = false;
};

class GatewayBench
{
public:
    explicit GatewayBench(const GatewayOptions &options = sampleOptions());

    // Starts the gateway and answers its first lists.
    void begin(std::shared_ptr<TrafficConfig> config, const std::vector<Target> &targets,
               const std::vector<VmEntry> &vms = {});
    void reduce(EventBody body);
    // Lets time pass, with every timer that is due on the way.
    void advance(Duration time);
    Instant now() const { return now_; }

    void putConfig(std::shared_ptr<TrafficConfig> config);
    void putTarget(const Target &target);
    void putVm(const VmEntry &vm);
    void removeTarget(const TargetId &target);
    void setEvacuated(const std::string &domain, bool isEvacuated);
    // The store turns every call away, or serves again.
    void setStoreDown(bool isDown);

    RequestArrived arrival(std::uint64_t id, const std::string &path = readPath) const;
    void request(std::uint64_t id, const std::string &path = readPath);
    void end(std::uint64_t id, AttemptOutcome outcome, int status = 0, bool saysNotRun = false);
    void answer(std::uint64_t id, int status) { end(id, AttemptOutcome::Answered, status); }

    // What was asked for since the last take...().
    std::vector<SendAttempt> takeSent() { return std::exchange(sent_, {}); }
    std::vector<Ended> takeEnded() { return std::exchange(ended_, {}); }
    std::vector<RequestId> takeCancelled() { return std::exchange(cancelled_, {}); }
    std::vector<VmReport> takeReports() { return std::exchange(reports_, {}); }
    std::vector<SendSpending> takeSpendings() { return std::exchange(spendings_, {}); }
    int storeCalls() const { return storeCalls_; }
    bool hasExited() const { return hasExited_; }
    Reducer &reducer() { return reducer_; }
    const std::vector<core::LogRecord> &logs() const { return logs_; }

private:
    struct Watch
    {
        Registry registry;
        Instant endsAt;
        Instant dueAt; // when the store answers it without a change
    };

    void perform(Effects &&effects);
    void on(const ListRegistry &list);
    void on(const WatchRegistry &watch);
    void on(const SendAttempt &attempt);
    void serveStore();
    void deliver(Registry registry, RegistryEntry entry);

    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::uint64_t random_ = 12345;
    Reducer reducer_;
    std::vector<RegistryEntry> entries_[registryCount];
    std::vector<Watch> watches_;
    std::vector<EventBody> pendingStoreEvents_;
    std::vector<std::pair<Instant, Registry>> failingCalls_;
    std::uint64_t revision_ = 100;
    bool isStoreDown_ = false;
    int storeCalls_ = 0;
    std::map<std::uint64_t, int> attempts_;
    std::vector<SendAttempt> sent_;
    std::vector<Ended> ended_;
    std::vector<RequestId> cancelled_;
    std::vector<VmReport> reports_;
    std::vector<SendSpending> spendings_;
    std::vector<core::LogRecord> logs_;
    bool hasExited_ = false;
};

} // namespace bluebellshift::gateway::testing
