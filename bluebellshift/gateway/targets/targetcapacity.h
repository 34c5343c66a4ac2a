// Learns how fast each target is and how many concurrent requests it takes without slowing down.
//
//   TargetCapacity capacity(isRoomContended, log);
//   TargetCapacity::Entry *entry = capacity.put(target); // valid until remove()
//   capacity.onSent(*entry, sent);
//   capacity.onEnded(*entry, sentAt, ended, now);
//   report.samples = capacity.reports(now);                    // goes to the other VMs
//   capacity.onReport(from, samples, now);                     // what one of them reported
//   const std::optional<CapacityEstimate> estimate = capacity.estimateOf(*entry, now);
//
// Contracts:
//  - An estimate starts at the prior (usual pace, all slots) and returns to it without samples.
//  - It is active only for a service whose targets report their load, and only if callers compete
//    for targets or one of the targets has reported its machine's pace.
//  - Requests that have been in progress for too long count before they end.
//  - Error responses and requests to cold targets are not counted.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/targetlimits.h"

namespace bluebellshift::gateway::targets {

// Whether the object of a request may be warm at its target.
enum class ObjectState { None, Unknown, LikelyWarm };

// A request as it was sent.
struct SentRequest
{
    Instant at;
    Duration transfer; // round trips, without service
    Duration usual;    // the route's usual service time; zero: not known, so not counted
    ObjectState object = ObjectState::None;
    int occupied = 0; // requests in progress or waiting at the target, with this one

    // `hash`: of the object; 0: none
    void setObject(std::uint64_t hash, bool wasSentRecently)
    {
        object = hash == 0    ? ObjectState::None
            : wasSentRecently ? ObjectState::LikelyWarm
                              : ObjectState::Unknown;
    }
};

struct CapacityEstimate
{
    double pace = 1;  // service time relative to that of the service's other targets
    double limit = 0; // concurrent requests that the target takes without slowing down
};

class TargetCapacity
{
    struct Service;

public:
    // Estimates approach the prior with these time constants. The knee is a property of the
    // target and changes less often than its pace.
    static constexpr Duration paceMemory = Duration::seconds(3);
    static constexpr Duration limitMemory = Duration::seconds(8);
    // A pace within these limits is treated as 1, since service times vary by themselves.
    static constexpr double minUsualPace = 0.6;
    static constexpr double maxUsualPace = 1.5;
    // A target counts as slow from the first pace on, and as usual again below the second.
    static constexpr double slowPace = 2.2;
    static constexpr double usualPace = 1.6;
    // How long a sample is repeated in reports, so that a lost report does no harm.
    static constexpr Duration reportTime = Duration::millis(1200);
    static constexpr std::size_t maxReported = 64;
    // Interval at which requests in progress and the service's median pace are examined.
    static constexpr Duration examineInterval = Duration::millis(100);
    static constexpr Duration logWindow = Duration::seconds(10);
    static constexpr int maxLogsPerWindow = 20;

    static constexpr std::size_t paceLevels = 10; // half octaves from 0.5 to 11.3
    static constexpr std::size_t limitLevels = 6; // equal parts of the target's slots

    // The state of one target. Its members are for TargetCapacity only.
    struct Entry
    {
        TargetId id;
        TargetHash hash = 0;
        Service *service = nullptr;
        std::int64_t startUnixMillis = 0;
        int slots = 1;
        // Probability of each limit (outer) and pace (inner).
        std::array<std::array<float, paceLevels>, limitLevels> grid {};
        Instant updatedAt = Instant::never(); // never: it is at the prior
        float meanOctaves = 0;                // of the pace, from the prior's mean
        float meanLimit = 1;
        Instant reportsFrom =
            Instant::never(); // samples in earlier reports are of an earlier start
        bool isSlow = false;
        int loggedLimit = 0;
        mutable CapacityEstimate estimate; // as of estimatedAt, as one choice asks several times
        mutable Instant estimatedAt = Instant::never();
    };

    TargetCapacity(bool isRoomContended, std::function<void(core::LogRecord)> log);

    // Adds or updates a target. One that restarted starts from the prior.
    Entry *put(const Target &target);
    void remove(const TargetId &target, Instant now);

    bool isActive(const Entry &entry) const;
    // Nothing if it is not active for the target's service.
    std::optional<CapacityEstimate> estimateOf(const Entry &entry, Instant now) const;

    void onSent(Entry &entry, const SentRequest &sent);
    void onEnded(Entry &entry, Instant sentAt, const AttemptEnded &ended, Instant now);
    void onCancelled(Entry &entry, Instant sentAt, Instant now);

    // The newest samples, which the other VMs have not all received yet.
    core::TargetSamples reports(Instant now);
    void onReport(const VmId &from, const core::TargetSamples &reported, Instant now);

    // Of services for which it is active: targets that are slow, and ones below their slots.
    std::size_t slowCount() const;
    std::size_t limitedCount() const;

private:
    // One observation: the request took `bin` quarter octaves longer than usual (isOver: at least
    // that), given that it had been in progress for `passed` checkpoints.
    struct Sample
    {
        ObjectState object = ObjectState::None;
        int running = 1;
        bool isQueued = false; // it may have waited for a slot
        int passed = 0;
        bool isOver = false;
        int bin = 0;
    };
    struct InProgress
    {
        Entry *entry = nullptr;
        SentRequest sent;
        int passed = 0;
    };
    struct Service
    {
        bool reportsLoad = false;
        bool reportsWork = false;
        double medianPace = 1;
        Instant medianAt = Instant::never();
        std::vector<Entry *> entries;
    };
    struct Reported
    {
        Instant at;
        core::TargetSample sample;
    };

    static std::uint32_t encode(const Sample &sample);
    static Sample decode(std::uint32_t code);
    static void reset(Entry &entry);
    static void decay(Entry &entry, Instant now);
    static void setMeans(Entry &entry);
    static double paceOf(const Entry &entry, Instant now);
    static double likelihood(const Sample &sample, int slowdown);

    std::optional<InProgress> take(const Entry &entry, Instant sentAt);
    void examine(Instant now);
    CapacityEstimate computeEstimate(const Entry &entry, Instant now) const;
    void updateMedian(Service &service, Instant now);
    void observe(Entry &entry, const Sample &sample, Instant now);
    void apply(Entry &entry, const Sample &sample, Instant now);
    void logChange(Entry &entry, Instant now);

    const bool isRoomContended_;
    const std::function<void(core::LogRecord)> log_;
    std::unordered_map<TargetId, Entry> entries_;
    std::unordered_map<TargetHash, Entry *> byHash_;
    std::unordered_map<ServiceId, Service> services_;
    std::unordered_map<TargetHash, Instant> removedAt_; // of late
    std::vector<InProgress> inProgress_;
    Instant examinedAt_ = Instant::never();
    std::deque<Reported> reported_;
    std::uint64_t reportedEnd_ = 0; // number of samples that were ever reported
    std::map<VmId, std::uint64_t> receivedEnds_;
    Instant logWindowAt_ = Instant::never();
    int logsInWindow_ = 0;
};

} // namespace bluebellshift::gateway::targets
