// A queueing model of one service and its VMs in virtual time, to compare ways of choosing targets
// by their capacity.
//
//   CapacityModelOptions options;
//   options.choice = Choice::Fixed;
//   const CapacityModelResult result = runCapacityModel(options);
//
// Each VM sends every request at once to the target that its way prefers; there is no admission.
#pragma once

#include <cstdint>
#include <string>

namespace bluebellshift::gateway::targets::testing {

enum class Choice {
    LeastInFlight, // fixed slots
    Today,         // fixed slots, and an average of each target's service times
    Gradient,      // limit from the ratio of the lowest to the latest service time
    Vegas,         // limit from the estimated queue
    Aimd,          // limit from time-outs
    Prequal,       // two probes for each request: number in flight and latency
    Local,         // TargetCapacity without messages
    Exchanged,     // TargetCapacity
};

const char *toText(Choice choice);

struct CapacityModelOptions
{
    Choice choice = Choice::Today;
    std::uint64_t seed = 1;
    double candidateShare = 1; // of the targets that are examined for a request
    int vms = 12;
    int targets = 82;
    int slots = 4;
    double requestsPerSecond = 420;
    double workSeconds = 0.4;
    double seconds = 20;        // simulated time; results are of the part from faultAt on
    double reportSeconds = 0.3; // between two reports of a VM
    // From faultAt to faultEnd the first targets take `slowFactor` times as long.
    double slowShare = 0;
    double slowFactor = 8;
    double faultAt = 8;
    double faultEnd = 14;
    // The last targets share their work among all requests above this number.
    double kneeShare = 0;
    int knee = 2;
    double neighbourShare = 0; // of the targets that take 2.5 times as long, changing each 0.6 s
    bool reportsWork = false;
    double longShare = 0.03; // of the requests that take 7 times as long
};

struct CapacityModelResult
{
    double inTime = 0; // share of the requests that ended within twice the usual time
    double medianSeconds = 0;
    double p99Seconds = 0;
    double sentToSlow = 0;           // share of those sent from 1 s after faultAt until faultEnd
    double sentToSlowAfter = 0;      // the same from 2 s after faultEnd
    double inTimeAtKnee = 0;         // share of the requests at targets with a knee
    double limitAtKnee = 0;          // mean of what the first VM has learned of them
    double reducedUsual = 0;         // share of the usual targets' slots that the VMs leave out
    double usualTakenAsSlow = 0;     // share of the usual targets that the VMs take as slow
    double reportBytesPerSecond = 0; // of one VM
};

CapacityModelResult runCapacityModel(const CapacityModelOptions &options);

} // namespace bluebellshift::gateway::targets::testing
