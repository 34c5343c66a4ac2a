// popt collects the values. An option that may be given several times yields a list of
// strings, which the parsers of specs.h convert.
#include "bluebellshift/load/commandline.h"

#include <popt.h>

#include <memory>

#include "bluebellshift/load/specs.h"

namespace bluebellshift::load {

using core::Duration;

namespace {

// The values that popt stores. Its strings are never freed.
struct RawOptions
{
    char **teams = nullptr;
    char **services = nullptr;
    char **changes = nullptr;
    char **vms = nullptr;
    char **standInEndpoints = nullptr;
    char *output = nullptr;
    int usesLookup = 0;
    int isDirect = 0;
    int isComparing = 0;
    int seconds = 10;
    int requests = 0;
    int seed = 1;
    int threads = 2;
    int attempts = 3;
    int timeoutMillis = 10'000;
    int bodyBytes = 64;
    double nonIdempotentFraction = 0;
    std::vector<std::string> arguments;
};

// Returns an error message, or "" if the options are valid.
std::string readOptions(int argc, const char **argv, RawOptions &raw)
{
    const poptOption table[] = {
        { "vm", 'v', POPT_ARG_ARGV, &raw.vms, 0, "a VM; may be given several times",
          "ADDRESS:PORT" },
        { "look-up", 'l', POPT_ARG_NONE, &raw.usesLookup, 0,
          "look up which VMs to use, instead of using all VMs equally", nullptr },
        { "direct", 'd', POPT_ARG_NONE, &raw.isDirect, 0,
          "the VMs are targets: no keys and no tickets", nullptr },
        { "service", 's', POPT_ARG_ARGV, &raw.services, 0, "a service",
          "name=,weight=,path=,once=" },
        { "team", 't', POPT_ARG_ARGV, &raw.teams, 0, "a team; limit and burst are its allowed rate",
          "name=,key=,rate=,limit=,burst=,client=,vm=" },
        { "change", 0, POPT_ARG_ARGV, &raw.changes, 0, "changes a team's load at an instant",
          "team=,at_ms=,factor=,vm=" },
        { "once", 0, POPT_ARG_DOUBLE, &raw.nonIdempotentFraction, 0,
          "fraction of requests that may not be repeated", nullptr },
        { "seconds", 0, POPT_ARG_INT, &raw.seconds, 0, "length of the schedule", nullptr },
        { "requests", 0, POPT_ARG_INT, &raw.requests, 0,
          "end the schedule after this many requests", nullptr },
        { "seed", 0, POPT_ARG_INT, &raw.seed, 0, "the same seed gives the same schedule", nullptr },
        { "threads", 0, POPT_ARG_INT, &raw.threads, 0, "number of sending threads", nullptr },
        { "attempts", 0, POPT_ARG_INT, &raw.attempts, 0, "maximum number of attempts per request",
          nullptr },
        { "timeout-ms", 0, POPT_ARG_INT, &raw.timeoutMillis, 0, "for each attempt", nullptr },
        { "body-bytes", 0, POPT_ARG_INT, &raw.bodyBytes, 0,
          "body of a request that may not be repeated", nullptr },
        { "runs-from", 0, POPT_ARG_ARGV, &raw.standInEndpoints, 0,
          "check against the counts of this process's stand-ins", "ADDRESS:PORT" },
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

// Parses each string of a null-terminated list of popt. The list may be null.
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

absl::Status checkRanges(const RawOptions &raw)
{
    const struct
    {
        const char *name;
        double value;
        double min;
        double max;
    } ranges[] = {
        { "seconds", static_cast<double>(raw.seconds), 1, 86'400 },
        { "requests", static_cast<double>(raw.requests), 0, 1e8 },
        { "threads", static_cast<double>(raw.threads), 1, 64 },
        { "attempts", static_cast<double>(raw.attempts), 1, 1000 },
        { "timeout-ms", static_cast<double>(raw.timeoutMillis), 1, 600'000 },
        { "body-bytes", static_cast<double>(raw.bodyBytes), 0, 1e6 },
        { "once", raw.nonIdempotentFraction, 0, 1 },
    };
    for (const auto &range : ranges) {
        if (range.value < range.min || range.value > range.max)
            return absl::InvalidArgumentError(std::string("--") + range.name + " is out of range");
    }
    return absl::OkStatus();
}

absl::Status checkRequired(const CommandLine &line)
{
    if (line.callers.directory.vms.empty())
        return absl::InvalidArgumentError("no --vm is given");
    if (line.schedule.teams.empty())
        return absl::InvalidArgumentError("no --team is given");
    if (line.schedule.services.empty())
        return absl::InvalidArgumentError("no --service is given");
    return absl::OkStatus();
}

void copyOptions(const RawOptions &raw, CommandLine &line)
{
    line.schedule.nonIdempotentFraction = raw.nonIdempotentFraction;
    line.schedule.duration = Duration::seconds(raw.seconds);
    line.schedule.seed = static_cast<std::uint64_t>(raw.seed);
    if (raw.requests > 0)
        line.schedule.maxRequests = static_cast<std::size_t>(raw.requests);
    line.callers.isDirect = raw.isDirect != 0;
    line.callers.directory.usesLookup = raw.usesLookup != 0;
    line.callers.maxAttempts = raw.attempts;
    line.callers.attemptTimeout = Duration::millis(raw.timeoutMillis);
    line.callers.bodyBytes = static_cast<std::size_t>(raw.bodyBytes);
    line.callers.threads = static_cast<unsigned>(raw.threads);
    if (raw.output != nullptr)
        line.output = raw.output;
}

} // namespace

absl::StatusOr<CommandLine> parseCommandLine(int argc, const char **argv)
{
    RawOptions raw;
    const std::string error = readOptions(argc, argv, raw);
    if (!error.empty())
        return absl::InvalidArgumentError(error);
    CommandLine line;
    if (raw.isComparing != 0) {
        if (raw.arguments.size() != 2)
            return absl::InvalidArgumentError("--compare takes two files");
        line.comparedFiles = raw.arguments;
        return line;
    }
    if (!raw.arguments.empty())
        return absl::InvalidArgumentError("argument \"" + raw.arguments[0] + "\" is unknown");
    absl::Status status = checkRanges(raw);
    if (status.ok())
        status = readEach(raw.vms, &parseEndpoint, line.callers.directory.vms);
    if (status.ok())
        status = readEach(raw.standInEndpoints, &parseEndpoint, line.standInEndpoints);
    if (status.ok())
        status = readEach(raw.teams, &parseTeam, line.schedule.teams);
    if (status.ok())
        status = readEach(raw.services, &parseService, line.schedule.services);
    if (status.ok())
        status = readEach(raw.changes, &parseChange, line.schedule.changes);
    if (status.ok())
        status = checkRequired(line);
    if (!status.ok())
        return status;
    copyOptions(raw, line);
    return line;
}

} // namespace bluebellshift::load
