// Records what a reducer was told and what it answered, and replays it.
//
//   Recorder recorder(options, [&file](const std::string &bytes) { file << bytes; });
//   recorder.record(event, effects);     // after each reduce
//
//   absl::StatusOr<ReplayReport> report = replay(file, makeReduce);
//
// The same options and events must give the same effects; a replay that finds a
// difference names the event. Of published snapshots only their place in the
// order is compared.
//
// A recording holds what the reducer saw: digests of callers' keys, tickets, and
// the ticket secret of this run, which is worth nothing once the run has ended.
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

    // Writes the options at once.
    Recorder(const core::CoreOptions &options, Write write);

    // Not thread-safe: called in the order of the events.
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

// DataLoss: the recording is cut or not understood; Internal: an event gave
// other effects than recorded, named by its number from 1.
absl::StatusOr<ReplayReport> replay(std::istream &recording, const MakeReduce &makeReduce);

} // namespace bluebellshift::shell
