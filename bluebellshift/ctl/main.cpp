// bluebellctl: the operators' command-line tool.
#include <arpa/inet.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include <fmt/format.h>
#include <popt.h>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/base/secrets.h"
#include "bluebellshift/ctl/commands.h"
#include "bluebellshift/ctl/curltransport.h"
#include "bluebellshift/shell/crypto.h"
#include "bluebellshift/shell/tomlreader.h"

using namespace bluebellshift;

namespace {

constexpr std::size_t callerKeyBytes = 32;
constexpr int maxPort = 65535;

constexpr char helpFooter[] = R"(
The operator's key is read from the file that --key-file or BLUEBELLCTL_KEY_FILE
names. --vm can be any VM; BLUEBELLCTL_VM sets its default.

Exit codes: 0 done, 2 usage, 3 refused or in conflict, 4 not found,
5 unreachable (nothing was done), 6 unknown outcome or not yet in force,
7 not authorised.
)";

struct ToolOptions
{
    std::string vm = "127.0.0.1:21001";
    std::string keyFile;
    std::string client;
    int waitSeconds = 15;
    int timeoutSeconds = 20;
    bool wantsHelp = false;
    ctl::Arguments arguments;
};

std::string consumeOptionText(char *text, const std::string &fallback)
{
    const std::string result = text == nullptr ? fallback : text;
    std::free(text);
    return result;
}

std::string environment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

// Prints the error and returns false if the options are invalid.
bool parseOptions(int argc, const char **argv, ToolOptions *options)
{
    char *vm = nullptr;
    char *keyFile = nullptr;
    char *client = nullptr;
    int wantsHelp = 0;
    const poptOption table[] = {
        { "vm", 0, POPT_ARG_STRING, &vm, 0, "The VM to ask", "ADDRESS:PORT" },
        { "key-file", 0, POPT_ARG_STRING, &keyFile, 0, "File with the operator's key", "FILE" },
        { "client", 0, POPT_ARG_STRING, &client, 0, "Look up as this caller", "ADDRESS" },
        { "wait", 0, POPT_ARG_INT, &options->waitSeconds, 0,
          "How long to wait until a change is in force", "SECONDS" },
        { "timeout", 0, POPT_ARG_INT, &options->timeoutSeconds, 0, "How long one call may take",
          "SECONDS" },
        { "help", 'h', POPT_ARG_NONE, &wantsHelp, 0, "Show help, also of one command", nullptr },
        POPT_TABLEEND,
    };
    poptContext context = poptGetContext("bluebellctl", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] COMMAND");
    const int result = poptGetNextOpt(context);
    const char **words = poptGetArgs(context);
    for (; words != nullptr && *words != nullptr; ++words)
        options->arguments.emplace_back(*words);
    if (result < -1)
        fmt::print(stderr, "bluebellctl: {}: {}\n", poptBadOption(context, POPT_BADOPTION_NOALIAS),
                   poptStrerror(result));
    if (wantsHelp != 0 && options->arguments.empty()) {
        poptPrintHelp(context, stdout, 0);
        fmt::print("\nCommands:\n{}{}", ctl::helpText({}), helpFooter);
    }
    poptFreeContext(context);
    options->wantsHelp = wantsHelp != 0;
    options->vm = consumeOptionText(vm, environment("BLUEBELLCTL_VM", options->vm));
    options->keyFile = consumeOptionText(keyFile, environment("BLUEBELLCTL_KEY_FILE", ""));
    options->client = consumeOptionText(client, "");
    return result >= -1;
}

bool parseEndpoint(const std::string &text, core::Endpoint *endpoint)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos)
        return false;
    endpoint->address = text.substr(0, colon);
    in_addr parsed {};
    char *end = nullptr;
    const long port = std::strtol(text.c_str() + colon + 1, &end, 10);
    if (inet_pton(AF_INET, endpoint->address.c_str(), &parsed) != 1 || *end != '\0' || port < 1
        || port > maxPort)
        return false;
    endpoint->port = static_cast<std::uint16_t>(port);
    return true;
}

// Returns an empty key for an empty path; the VM rejects it.
absl::StatusOr<std::string> readKey(const std::string &path)
{
    std::string key;
    if (path.empty())
        return key;
    const absl::Status status = shell::readTextFile(path, &key);
    if (!status.ok())
        return status;
    return key.substr(0, key.find_first_of("\r\n"));
}

int run(const ToolOptions &options)
{
    core::Endpoint endpoint;
    if (!parseEndpoint(options.vm, &endpoint)) {
        fmt::print(stderr, "bluebellctl: --vm \"{}\" is not ADDRESS:PORT with an IPv4 number\n",
                   options.vm);
        return ctl::exitUsage;
    }
    const absl::StatusOr<std::string> key = readKey(options.keyFile);
    if (!key.ok()) {
        fmt::print(stderr, "bluebellctl: {}\n", std::string(key.status().message()));
        return ctl::exitUsage;
    }
    const auto pause = [](core::Duration time) {
        usleep(static_cast<useconds_t>(time.toMicros()));
    };
    const ctl::SendHttp send =
        ctl::makeCurlTransport(endpoint, core::Duration::seconds(options.timeoutSeconds));
    const ctl::CommandContext context {
        ctl::AdminClient(send, *key, pause),
        [](const std::string &line) { fmt::print("{}\n", line); },
        [](const std::string &line) { fmt::print(stderr, "bluebellctl: {}\n", line); },
        [] { return shell::toHex(base::randomBytes(callerKeyBytes)); },
        base::systemClock().wallTime,
        pause,
        core::Duration::seconds(options.waitSeconds),
        options.client,
    };
    return ctl::runCommand(context, options.arguments);
}

} // namespace

int main(int argc, const char **argv)
{
    ToolOptions options;
    if (!parseOptions(argc, argv, &options))
        return ctl::exitUsage;
    if (!options.wantsHelp)
        return run(options);
    if (!options.arguments.empty())
        fmt::print("{}", ctl::helpText(options.arguments));
    return ctl::exitOk;
}
