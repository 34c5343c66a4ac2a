// bluebellload: sends requests on a fixed schedule (open loop) and measures how the
// system serves them. Exits with 1 if an answer was wrong, a target received a caller's
// key, or the outcomes reported to callers contradict the counts of the targets.
#include <fmt/core.h>

#include <chrono>
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

// Adds the check to `result`. Returns false if it found a violation.
bool checkTargets(const CommandLine &line, const RunCounts &before,
                  const std::vector<Arrival> &arrivals, const std::vector<Outcome> &outcomes,
                  Json &result)
{
    const absl::StatusOr<RunCounts> after = fetchRunCounts(line.standInEndpoints);
    if (!after.ok()) {
        fmt::print(stderr, "{}\n", std::string(after.status().message()));
        return false;
    }
    const RunCounts counts = countsSince(before, *after);
    const RunCheck check = checkRuns(line.callers.run, arrivals, outcomes, counts);
    result["runs"] = jsonOf(check);
    fmt::print("{}", tableOf(check));
    return check.isClean();
}

int runLoad(const CommandLine &line)
{
    const absl::StatusOr<RunCounts> before = fetchRunCounts(line.standInEndpoints);
    if (!before.ok()) {
        fmt::print(stderr, "{}\n", std::string(before.status().message()));
        return exitUsage;
    }
    const std::vector<Arrival> arrivals = makeSchedule(line.schedule);
    const std::vector<Outcome> outcomes = runCallers(line.callers, line.schedule, arrivals);
    const Summary summary = summarize(line.schedule, arrivals, outcomes);
    Json result = jsonOf(summary);
    fmt::print("{}", tableOf(summary));
    bool isClean = summary.all.wrong == 0 && summary.all.leakedKeys == 0;
    if (!line.standInEndpoints.empty())
        isClean = checkTargets(line, *before, arrivals, outcomes, result) && isClean;
    if (!line.output.empty())
        std::ofstream(line.output) << result.dump(1, ' ') << "\n";
    return isClean ? 0 : exitBroken;
}

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    absl::StatusOr<CommandLine> line = parseCommandLine(argc, argv);
    if (!line.ok()) {
        fmt::print(stderr, "{}\n", std::string(line.status().message()));
        return exitUsage;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    line->callers.run = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    return line->comparedFiles.empty() ? runLoad(*line) : compareFiles(line->comparedFiles);
}
