// Records the events and effects of a reducer, and replays them.
//
//   Recorder recorder(options, [&file](const std::string &bytes) { file << bytes; });
//   recorder.record(event, effects);     // after each reduce
//
//   absl::StatusOr<ReplayReport> report = replay(file, makeReduce);
//
// The same options and events must produce the same effects; a replay that finds a
// difference reports the event. Published snapshots are compared by their position
// among the effects only, not by their content.
//
// A recording contains the reducer's input: digests of callers' keys, tickets, and
// the ticket secret of this run, which is useless once the run has ended.
#pragma once

#include <functional>
#include <istream>
#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"

namespace bluebellshift::shell {

class Recorder
{
public:
    using Write = std::function<void(const std::string &bytes)>;

    // Writes the options immediately.
    Recorder(const core::CoreOptions &options, Write write);

    // Must be called in the order of the events. Not thread-safe.
    void record(const core::Event &event, const core::Effects &effects);

private:
    const Write write_;
};

struct ReplayReport
{
    std::uint64_t events = 0;
    std::uint64_t effects = 0;
};

using Reduce = std::function<core::Effects(const core::Event &)>;
using MakeReduce = std::function<Reduce(const core::CoreOptions &)>;

// DataLoss: the recording is truncated or malformed; Internal: the effects of an
// event differ from the recorded ones; the message gives its number, counted from 1.
absl::StatusOr<ReplayReport> replay(std::istream &recording, const MakeReduce &makeReduce);

} // namespace bluebellshift::shell
