// popt collects the values; options that may be given several times come as a
// list of texts, which specs.h reads.
#include "bluebellshift/load/commandline.h"

#include <popt.h>

#include <memory>

#include "bluebellshift/load/specs.h"

namespace bluebellshift::load {

using core::Duration;

namespace {

// What popt writes to. Its strings live as long as the process.
struct Raw
{
    char **teams = nullptr;
    char **services = nullptr;
    char **changes = nullptr;
    char **vms = nullptr;
    char **runsFrom = nullptr;
    char *output = nullptr;
    int isLookingUp = 0;
    int isDirect = 0;
    int isComparing = 0;
    int seconds = 10;
    int requests = 0;
    int seed = 1;
    int threads = 2;
    int attempts = 3;
    int timeoutMillis = 10'000;
    int bodyBytes = 64;
    double onceFraction = 0;
    std::vector<std::string> arguments;
};

// Returns what is wrong, or "".
std::string readRaw(int argc, const char **argv, Raw &raw)
{
    const poptOption table[] = {
        { "vm", 'v', POPT_ARG_ARGV, &raw.vms, 0, "a VM; may be given several times",
          "ADDRESS:PORT" },
        { "look-up", 'l', POPT_ARG_NONE, &raw.isLookingUp, 0,
          "ask the VMs which VMs to use, instead of using all alike", nullptr },
        { "direct", 'd', POPT_ARG_NONE, &raw.isDirect, 0,
          "the VMs are targets: no keys and no tickets", nullptr },
        { "service", 's', POPT_ARG_ARGV, &raw.services, 0, "a service",
          "name=,weight=,path=,once=" },
        { "team", 't', POPT_ARG_ARGV, &raw.teams, 0, "a team; limit and burst are what it may use",
          "name=,key=,rate=,limit=,burst=,client=,vm=" },
        { "change", 0, POPT_ARG_ARGV, &raw.changes, 0, "a team's load from an instant on",
          "team=,at_ms=,factor=,vm=" },
        { "once", 0, POPT_ARG_DOUBLE, &raw.onceFraction, 0,
          "fraction of requests that may not be repeated", nullptr },
        { "seconds", 0, POPT_ARG_INT, &raw.seconds, 0, "length of the schedule", nullptr },
        { "requests", 0, POPT_ARG_INT, &raw.requests, 0, "end the schedule after so many",
          nullptr },
        { "seed", 0, POPT_ARG_INT, &raw.seed, 0, "the same seed gives the same schedule", nullptr },
        { "threads", 0, POPT_ARG_INT, &raw.threads, 0, "threads that send", nullptr },
        { "attempts", 0, POPT_ARG_INT, &raw.attempts, 0, "attempts for each request", nullptr },
        { "timeout-ms", 0, POPT_ARG_INT, &raw.timeoutMillis, 0, "for each attempt", nullptr },
        { "body-bytes", 0, POPT_ARG_INT, &raw.bodyBytes, 0,
          "body of a request that may not be repeated", nullptr },
        { "runs-from", 0, POPT_ARG_ARGV, &raw.runsFrom, 0,
          "check what the stand-ins of this process counted", "ADDRESS:PORT" },
        { "output", 'o', POPT_ARG_STRING, &raw.output, 0, "write the result as JSON", "FILE" },
        { "compare", 0, POPT_ARG_NONE, &raw.isComparing, 0,
          "print the ratios of two results: --compare A.json B.json", nullptr },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("bluebellload", argc, argv, table, 0);
    const int code = poptGetNextOpt(context);
    std::string error;
    if (code < -1)
        error = std::string(poptBadOption(context, 0)) + ": " + poptStrerror(code);
    while (const char *argument = poptGetArg(context))
        raw.arguments.emplace_back(argument);
    poptFreeContext(context);
    return error;
}

// Reads each text of a list that popt collected, which may be null.
template<typename Value>
absl::Status readEach(char **texts, absl::StatusOr<Value> (*parse)(const std::string &),
                      std::vector<Value> &values)
{
    for (; texts != nullptr && *texts != nullptr; ++texts) {
        absl::StatusOr<Value> value = parse(*texts);
        if (!value.ok())
            return value.status();
        values.push_back(*std::move(value));
    }
    return absl::OkStatus();
}

absl::Status checkNumbers(const Raw &raw)
{
    const struct
    {
        const char *name;
        double value;
        double least;
        double most;
    } numbers[] = {
        { "seconds", static_cast<double>(raw.seconds), 1, 86'400 },
        { "requests", static_cast<double>(raw.requests), 0, 1e8 },
        { "threads", static_cast<double>(raw.threads), 1, 64 },
        { "attempts", static_cast<double>(raw.attempts), 1, 1000 },
        { "timeout-ms", static_cast<double>(raw.timeoutMillis), 1, 600'000 },
        { "body-bytes", static_cast<double>(raw.bodyBytes), 0, 1e6 },
        { "once", raw.onceFraction, 0, 1 },
    };
    for (const auto &number : numbers) {
        if (number.value < number.least || number.value > number.most)
            return absl::InvalidArgumentError(std::string("--") + number.name
                                              + " is out of its range");
    }
    return absl::OkStatus();
}

absl::Status checkWhole(const CommandLine &line)
{
    if (line.callers.directory.vms.empty())
        return absl::InvalidArgumentError("no --vm is given");
    if (line.schedule.teams.empty())
        return absl::InvalidArgumentError("no --team is given");
    if (line.schedule.services.empty())
        return absl::InvalidArgumentError("no --service is given");
    return absl::OkStatus();
}

void copyNumbers(const Raw &raw, CommandLine &line)
{
    line.schedule.onceFraction = raw.onceFraction;
    line.schedule.duration = Duration::seconds(raw.seconds);
    line.schedule.seed = static_cast<std::uint64_t>(raw.seed);
    if (raw.requests > 0)
        line.schedule.requestsMost = static_cast<std::size_t>(raw.requests);
    line.callers.isDirect = raw.isDirect != 0;
    line.callers.directory.isLookingUp = raw.isLookingUp != 0;
    line.callers.attemptsMost = raw.attempts;
    line.callers.attemptTimeout = Duration::millis(raw.timeoutMillis);
    line.callers.bodyBytes = static_cast<std::size_t>(raw.bodyBytes);
    line.callers.threads = static_cast<unsigned>(raw.threads);
    if (raw.output != nullptr)
        line.output = raw.output;
}

} // namespace

absl::StatusOr<CommandLine> parseCommandLine(int argc, const char **argv)
{
    Raw raw;
    const std::string error = readRaw(argc, argv, raw);
    if (!error.empty())
        return absl::InvalidArgumentError(error);
    CommandLine line;
    if (raw.isComparing != 0) {
        if (raw.arguments.size() != 2)
            return absl::InvalidArgumentError("--compare takes two files");
        line.compared = raw.arguments;
        return line;
    }
    if (!raw.arguments.empty())
        return absl::InvalidArgumentError("argument \"" + raw.arguments[0] + "\" is unknown");
    absl::Status status = checkNumbers(raw);
    if (status.ok())
        status = readEach(raw.vms, &parseEndpoint, line.callers.directory.vms);
    if (status.ok())
        status = readEach(raw.runsFrom, &parseEndpoint, line.runsFrom);
    if (status.ok())
        status = readEach(raw.teams, &parseTeam, line.schedule.teams);
    if (status.ok())
        status = readEach(raw.services, &parseService, line.schedule.services);
    if (status.ok())
        status = readEach(raw.changes, &parseChange, line.schedule.changes);
    if (status.ok())
        status = checkWhole(line);
    if (!status.ok())
        return status;
    copyNumbers(raw, line);
    return line;
}

} // namespace bluebellshift::load
