// bluebellshiftd: the daemon that runs on every VM.
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/core.h>
#include <popt.h>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/base/secrets.h"
#include "bluebellshift/daemon/node.h"
#include "bluebellshift/shell/logger.h"
#include "bluebellshift/shell/peerkeys.h"
#include "bluebellshift/shell/recorder.h"
#include "bluebellshift/shell/settings.h"

using namespace bluebellshift;

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitListen = 4;
constexpr int exitRequestsCut = 5;
constexpr std::size_t ticketSecretBytes = 32;

constexpr char exitCodes[] = "Exit codes: 0 done, 2 usage, 3 faulty settings, 4 can't listen,\n"
                             "5 requests were cut at shutdown.\n";

struct Arguments
{
    std::string settingsFile;
    std::string recordFile; // empty: no recording
    bool checkOnly = false;
};

// Returns the exit code if the process should end now, or -1.
int parseArguments(int argc, const char **argv, Arguments *arguments)
{
    char *settingsFile = nullptr;
    char *recordFile = nullptr;
    int checkOnly = 0;
    int wantsHelp = 0;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &settingsFile, 0, "Settings in TOML", "FILE" },
        { "check", 'c', POPT_ARG_NONE, &checkOnly, 0, "Check the settings and exit", nullptr },
        { "record", 0, POPT_ARG_STRING, &recordFile, 0,
          "Record events and effects, for bluebellctl recording check", "FILE" },
        { "help", 'h', POPT_ARG_NONE, &wantsHelp, 0, "Show this help", nullptr },
        POPT_TABLEEND,
    };
    poptContext context = poptGetContext("bluebellshiftd", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    int code = -1;
    if (wantsHelp != 0) {
        poptPrintHelp(context, stdout, 0);
        fmt::print("\n{}", exitCodes);
        code = exitOk;
    } else if (parsed < -1) {
        fmt::print(stderr, "bluebellshiftd: option \"{}\": {}\n", poptBadOption(context, 0),
                   poptStrerror(parsed));
        code = exitUsage;
    } else if (settingsFile == nullptr || poptPeekArg(context) != nullptr) {
        fmt::print(stderr, "bluebellshiftd: give exactly --settings FILE (see --help)\n");
        code = exitUsage;
    }
    if (settingsFile != nullptr)
        arguments->settingsFile = settingsFile;
    arguments->checkOnly = checkOnly != 0;
    if (recordFile != nullptr)
        arguments->recordFile = recordFile;
    free(settingsFile);
    free(recordFile);
    poptFreeContext(context);
    return code;
}

// Handles SIGTERM and SIGINT (shut down gracefully; at once on a second signal)
// and SIGHUP (reload the peers' keys) on the calling thread. SIGUSR2 makes it
// return.
void handleSignals(const sigset_t &signals, const shell::Settings &settings, daemon::Node &node)
{
    for (;;) {
        int signal = 0;
        if (sigwait(&signals, &signal) != 0)
            return;
        if (signal == SIGUSR2)
            return;
        if (signal != SIGHUP) {
            node.shutDown();
            continue;
        }
        auto keys = shell::loadPeerKeys(settings.peerKeysFile);
        if (keys.ok())
            node.setPeerKeys(*std::move(keys));
        else
            fmt::print(stderr, "bluebellshiftd: {}\n", std::string(keys.status().message()));
    }
}

absl::StatusOr<daemon::NodeCredentials> loadCredentials(const shell::Settings &settings)
{
    absl::StatusOr<std::vector<shell::PeerKey>> keys = shell::loadPeerKeys(settings.peerKeysFile);
    if (!keys.ok())
        return keys.status();
    absl::StatusOr<shell::Operators> operators = shell::loadOperators(settings.operatorsFile);
    if (!operators.ok())
        return operators.status();
    return daemon::NodeCredentials { *std::move(keys), *std::move(operators) };
}

// Returns an empty function if `path` is empty. The recording contains secrets,
// so its file is readable by its owner only.
daemon::Node::Observe makeObserver(const std::string &path, const core::CoreOptions &options)
{
    if (path.empty())
        return {};
    umask(S_IRWXG | S_IRWXO);
    auto file = std::make_shared<std::ofstream>(path, std::ios::binary);
    auto recorder = std::make_shared<shell::Recorder>(
        options, [file](const std::string &bytes) { *file << bytes << std::flush; });
    return [recorder](const core::Event &event, const core::Effects &effects) {
        recorder->record(event, effects);
    };
}

int runNode(shell::Settings settings, daemon::NodeCredentials credentials,
            const std::string &recordFile)
{
    const base::Clock clock = base::systemClock();
    settings.core.incarnation = core::Incarnation(clock.random() >> 1 | 1);
    settings.core.ticketSecret = base::randomBytes(ticketSecretBytes);
    shell::LoggerOptions logOptions;
    logOptions.linesPerSecond = settings.limits.logLinesPerSecond;
    shell::Logger logger(logOptions, shell::writeToStandardError, clock.wallTime);

    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : { SIGTERM, SIGINT, SIGHUP, SIGUSR2 })
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    daemon::Node node(settings, std::move(credentials), clock, logger,
                      makeObserver(recordFile, settings.core));
    if (absl::Status status = node.start(); !status.ok()) {
        fmt::print(stderr, "bluebellshiftd: {}\n", std::string(status.message()));
        return exitListen;
    }
    std::thread signalThread([&] { handleSignals(signals, settings, node); });
    const int requestsCut = node.waitForExit();
    pthread_kill(signalThread.native_handle(), SIGUSR2);
    signalThread.join();
    logger.write({ core::log::daemonStopped, { { "requests_cut", std::to_string(requestsCut) } } });
    logger.flushDropped();
    return requestsCut == 0 ? exitOk : exitRequestsCut;
}

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Arguments arguments;
    if (const int code = parseArguments(argc, argv, &arguments); code >= 0)
        return code;
    absl::StatusOr<shell::Settings> settings = shell::loadSettings(arguments.settingsFile);
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return exitSettings;
    }
    absl::StatusOr<daemon::NodeCredentials> credentials = loadCredentials(*settings);
    if (!credentials.ok()) {
        fmt::print(stderr, "{}\n", std::string(credentials.status().message()));
        return exitSettings;
    }
    if (arguments.checkOnly) {
        fmt::print("{}: no faults\n", arguments.settingsFile);
        return exitOk;
    }
    return runNode(*std::move(settings), *std::move(credentials), arguments.recordFile);
}
