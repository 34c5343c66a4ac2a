// Measures the size and CPU time of the messages between VMs, for docs/CAPACITY.md;
// run by scripts/measure-capacity. Encryption and TCP are not included.
#include <string>

#include <benchmark/benchmark.h>

#include "bluebellshift/shell/messagecodec.h"
#include "fmt/format.h"

using namespace bluebellshift;

namespace {

void roundTrip(benchmark::State &state, const core::Message &message)
{
    std::size_t bytes = 0;
    while (state.KeepRunning()) {
        const std::string encoded = shell::encodeMessage(message);
        bytes = encoded.size();
        benchmark::DoNotOptimize(shell::decodeMessage(encoded));
    }
    state.counters["message_bytes"] = static_cast<double>(bytes);
}

// A heartbeat with credits and holdings for the given number of accounts.
void heartbeat(benchmark::State &state)
{
    core::Heartbeat message;
    message.sequence = 1000000;
    message.echoedSequence = 999999;
    message.echoDelay = core::Duration::millis(250);
    message.viewRevision = core::Revision(5000000);
    message.viewAge = core::Duration::millis(900);
    message.isReady = true;
    message.requestsInFlight = 200;
    for (int i = 0; i < state.range(0); ++i) {
        const core::AccountId account(fmt::format("team/team-{:04}", i));
        message.credits.push_back({ account, 123456789 + i, 5000000 + i });
        message.spareHints.push_back({ account, 23456789 + i });
    }
    roundTrip(state, message);
}

// A change of the view: one object with a value of the given length.
void viewDelta(benchmark::State &state)
{
    core::ViewReply message;
    message.revision = core::Revision(5000000);
    message.age = core::Duration::millis(20);
    core::Object object;
    object.kind = core::kind::keys;
    object.name = "team-0001";
    object.version = message.revision;
    object.value = std::string(static_cast<std::size_t>(state.range(0)), 'a');
    message.objects.push_back(object);
    roundTrip(state, message);
}

BENCHMARK(heartbeat)->Arg(0)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);
BENCHMARK(viewDelta)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
