// bluebellload: offers requests on a fixed schedule and measures how the system
// serves them. Exits with 1 when an answer was wrong, a key was seen, or what
// callers were told does not agree with what the targets counted.
#include <fmt/core.h>

#include <csignal>
#include <fstream>

#include "bluebellshift/load/commandline.h"
#include "bluebellshift/load/report.h"
#include "bluebellshift/load/runsource.h"

using namespace bluebellshift::load;
using Json = nlohmann::json;

namespace {

constexpr int exitBroken = 1;
constexpr int exitUsage = 2;

int compareFiles(const std::vector<std::string> &files)
{
    Json results[2];
    for (std::size_t i = 0; i < 2; ++i) {
        std::ifstream in(files[i]);
        results[i] = Json::parse(in, nullptr, false);
        if (!results[i].is_object()) {
            fmt::print(stderr, "file \"{}\" holds no result\n", files[i]);
            return exitUsage;
        }
    }
    fmt::print("{}", compare(results[0], results[1]));
    return 0;
}

// Adds the check to `result`. Returns false when it found something.
bool checkTargets(const CommandLine &line, const std::vector<Arrival> &arrivals,
                  const std::vector<Outcome> &outcomes, Json &result)
{
    const absl::StatusOr<RunCounts> counts = fetchRuns(line.runsFrom);
    if (!counts.ok()) {
        fmt::print(stderr, "{}\n", std::string(counts.status().message()));
        return false;
    }
    const RunCheck check = checkRuns(line.schedule.seed, arrivals, outcomes, *counts);
    result["runs"] = jsonOf(check);
    fmt::print("{}", tableOf(check));
    return check.isClean();
}

int runLoad(const CommandLine &line)
{
    const std::vector<Arrival> arrivals = makeSchedule(line.schedule);
    const std::vector<Outcome> outcomes = runCallers(line.callers, line.schedule, arrivals);
    const Summary summary = summarize(line.schedule, arrivals, outcomes);
    Json result = jsonOf(summary);
    fmt::print("{}", tableOf(summary));
    bool isClean = summary.all.wrong == 0 && summary.all.keysSeen == 0;
    if (!line.runsFrom.empty())
        isClean = checkTargets(line, arrivals, outcomes, result) && isClean;
    if (!line.output.empty())
        std::ofstream(line.output) << result.dump(1, ' ') << "\n";
    return isClean ? 0 : exitBroken;
}

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const absl::StatusOr<CommandLine> line = parseCommandLine(argc, argv);
    if (!line.ok()) {
        fmt::print(stderr, "{}\n", std::string(line.status().message()));
        return exitUsage;
    }
    return line->compared.empty() ? runLoad(*line) : compareFiles(line->compared);
}
