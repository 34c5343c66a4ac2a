// Compares ways to learn the capacity of targets, in virtual time: capacities [SEEDS]
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "bluebellshift/gateway/targets/testing/capacitymodel.h"

using namespace bluebellshift::gateway::targets::testing;

namespace {

struct Case
{
    const char *name;
    CapacityModelOptions options;
};

std::vector<Case> cases()
{
    CapacityModelOptions usual;
    CapacityModelOptions slow = usual;
    slow.slowShare = 0.15;
    CapacityModelOptions knees = usual;
    knees.kneeShare = 0.3;
    CapacityModelOptions fullKnees = knees;
    fullKnees.requestsPerSecond = 480;
    CapacityModelOptions neighbours = usual;
    neighbours.neighbourShare = 0.15;
    CapacityModelOptions neighboursAndSlow = neighbours;
    neighboursAndSlow.requestsPerSecond = 360;
    neighboursAndSlow.reportsWork = true;
    neighboursAndSlow.slowShare = 0.15;
    CapacityModelOptions manyVms = slow;
    manyVms.vms = 60;
    manyVms.targets = 130;
    manyVms.slots = 6;
    manyVms.requestsPerSecond = 700;
    manyVms.workSeconds = 0.7;
    manyVms.reportSeconds = 1;
    manyVms.seconds = 26; // the slow targets first end what they have begun
    return { { "usual", usual },
             { "slow", slow },
             { "knees", knees },
             { "knees, 480 requests/s", fullKnees },
             { "neighbours", neighbours },
             { "neighbours+slow, work reported", neighboursAndSlow },
             { "slow, 60 VMs, reports each second", manyVms } };
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    const double share = argc > 2 ? std::atof(argv[2]) : 1;
    for (const Case &one : cases()) {
        std::printf("%s\n", one.name);
        for (int choice = 0; choice <= static_cast<int>(Choice::Exchanged); ++choice) {
            CapacityModelResult sum;
            for (int seed = 1; seed <= seeds; ++seed) {
                CapacityModelOptions options = one.options;
                options.choice = static_cast<Choice>(choice);
                options.seed = static_cast<std::uint64_t>(seed);
                options.candidateShare = share;
                const CapacityModelResult result = runCapacityModel(options);
                sum.inTime += result.inTime / seeds;
                sum.medianSeconds += result.medianSeconds / seeds;
                sum.p99Seconds += result.p99Seconds / seeds;
                sum.sentToSlow += result.sentToSlow / seeds;
                sum.sentToSlowAfter += result.sentToSlowAfter / seeds;
                sum.inTimeAtKnee += result.inTimeAtKnee / seeds;
                sum.limitAtKnee += result.limitAtKnee / seeds;
                sum.reducedUsual += result.reducedUsual / seeds;
                sum.usualTakenAsSlow += result.usualTakenAsSlow / seeds;
                sum.reportBytesPerSecond += result.reportBytesPerSecond / seeds;
            }
            std::printf("  %-16s in time %.3f p50 %.2f p99 %.2f toSlow %.3f after %.3f "
                        "kneeInTime %.3f limit %.2f reduced %.3f takenAsSlow %.3f bytes/s %.0f\n",
                        toText(static_cast<Choice>(choice)), sum.inTime, sum.medianSeconds,
                        sum.p99Seconds, sum.sentToSlow, sum.sentToSlowAfter, sum.inTimeAtKnee,
                        sum.limitAtKnee, sum.reducedUsual, sum.usualTakenAsSlow,
                        sum.reportBytesPerSecond);
        }
    }
    return 0;
}
