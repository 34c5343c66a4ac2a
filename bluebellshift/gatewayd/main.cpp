// bluebellshift-gateway: the gateway process of one VM, a reverse proxy between callers
// and targets on the users' platform.

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <popt.h>
#include <sys/stat.h>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/gatewayd/gateway.h"
#include "bluebellshift/gatewayd/settings.h"
#include "bluebellshift/shell/crypto.h"

using namespace bluebellshift;

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitListen = 4;

constexpr std::size_t peerSecretBytes = 32;
constexpr std::chrono::seconds settingsCheckInterval { 2 }; // the file may change without a SIGHUP

constexpr char exitCodes[] = "Exit codes: 0 done, 2 usage, 3 faulty settings, 4 can't listen.\n";

struct Arguments
{
    std::string settingsFile;
    bool checkOnly = false;
};

// Returns the exit code if the process should exit, else -1.
int parseArguments(int argc, const char **argv, Arguments *arguments)
{
    char *settingsFile = nullptr;
    int checkOnly = 0;
    int wantsHelp = 0;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &settingsFile, 0, "Settings in TOML", "FILE" },
        { "check", 'c', POPT_ARG_NONE, &checkOnly, 0, "Check the settings and exit", nullptr },
        { "help", 'h', POPT_ARG_NONE, &wantsHelp, 0, "Show this help", nullptr },
        POPT_TABLEEND,
    };
    poptContext context = poptGetContext("bluebellshift-gateway", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    int code = -1;
    if (wantsHelp != 0) {
        poptPrintHelp(context, stdout, 0);
        fmt::print("\n{}", exitCodes);
        code = exitOk;
    } else if (parsed < -1) {
        fmt::print(stderr, "bluebellshift-gateway: option \"{}\": {}\n", poptBadOption(context, 0),
                   poptStrerror(parsed));
        code = exitUsage;
    } else if (settingsFile == nullptr || poptPeekArg(context) != nullptr) {
        fmt::print(stderr, "bluebellshift-gateway: give exactly --settings FILE (see --help)\n");
        code = exitUsage;
    }
    if (settingsFile != nullptr)
        arguments->settingsFile = settingsFile;
    arguments->checkOnly = checkOnly != 0;
    free(settingsFile);
    poptFreeContext(context);
    return code;
}

// Holds back the signals that the process handles (SIG_BLOCK), or lets them through again
// (SIG_UNBLOCK).
void changeSignalMask(int how)
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&handled, signal);
    pthread_sigmask(how, &handled, nullptr);
}

std::int64_t modificationTime(const std::string &path)
{
    struct stat status = {};
    if (stat(path.c_str(), &status) != 0)
        return 0;
    return static_cast<std::int64_t>(status.st_mtim.tv_sec) * 1'000'000'000
        + status.st_mtim.tv_nsec;
}

// Reloads the settings file on SIGHUP or when its modification time changes.
class SettingsWatch
{
public:
    // `changedAt` is the file's modification time before the settings in use were read.
    SettingsWatch(boost::asio::io_context &loop, std::string path, std::int64_t changedAt,
                  gatewayd::Gateway &gateway)
        : path_(std::move(path))
        , gateway_(gateway)
        , timer_(loop)
        , changedAt_(changedAt)
    {
        scheduleCheck();
    }

    void reload()
    {
        changedAt_ = modificationTime(path_);
        const auto settings = gatewayd::loadGatewaySettings(path_);
        if (settings.ok())
            gateway_.applySettings(*settings);
        else
            gateway_.writeLog({ core::log::settingsFaulty,
                                { { "problem", std::string(settings.status().message()) } } });
    }

private:
    void scheduleCheck()
    {
        timer_.expires_after(settingsCheckInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            if (modificationTime(path_) != changedAt_)
                reload();
            scheduleCheck();
        });
    }

    const std::string path_;
    gatewayd::Gateway &gateway_;
    boost::asio::steady_timer timer_;
    std::int64_t changedAt_;
};

void serveSignals(boost::asio::signal_set &signals, gatewayd::Gateway &gateway,
                  SettingsWatch &settings)
{
    signals.async_wait([&](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            settings.reload();
        else
            gateway.stop();
        serveSignals(signals, gateway, settings);
    });
}

int run(gatewayd::GatewaySettings settings, const std::string &path, std::int64_t changedAt)
{
    const base::Clock clock = base::systemClock();
    settings.gateway.vm.incarnation = core::Incarnation(clock.random() >> 1 | 1);
    settings.gateway.peerKeyCandidate = shell::toHex(base::randomBytes(peerSecretBytes));
    boost::asio::io_context loop(1);
    gatewayd::Gateway gateway(loop, settings, clock);
    if (absl::Status status = gateway.start(); !status.ok()) {
        fmt::print(stderr, "bluebellshift-gateway: {}\n", std::string(status.message()));
        return exitListen;
    }
    SettingsWatch watch(loop, path, changedAt, gateway);
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    serveSignals(signals, gateway, watch);
    changeSignalMask(SIG_UNBLOCK);
    loop.run();
    return exitOk;
}

} // namespace

int main(int argc, const char **argv)
{
    // Until the handlers are installed, SIGHUP would end the process, and SIGTERM would cut off
    // the callers that have connected.
    changeSignalMask(SIG_BLOCK);
    std::signal(SIGPIPE, SIG_IGN);
    Arguments arguments;
    if (const int code = parseArguments(argc, argv, &arguments); code >= 0)
        return code;
    const std::int64_t changedAt = modificationTime(arguments.settingsFile);
    const auto settings = gatewayd::loadGatewaySettings(arguments.settingsFile);
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return exitSettings;
    }
    if (arguments.checkOnly) {
        fmt::print("{}: no faults\n", arguments.settingsFile);
        return exitOk;
    }
    return run(*settings, arguments.settingsFile, changedAt);
}
