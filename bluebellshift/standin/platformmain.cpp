// bluebellshift-platform: runs the stand-in for the platform's object API.
#include <fmt/core.h>
#include <popt.h>

#include <cstdlib>

#include "bluebellshift/standin/deployment.h"
#include "bluebellshift/standin/platformserver.h"
#include "bluebellshift/standin/stopsignal.h"

using namespace bluebellshift;

namespace {

struct Settings
{
    char *address = nullptr;
    char *deployment = nullptr;
    int port = 7000;
    int vmListLagMillis = 0;
    int maxWatchWaitMillis = 30'000;
};

// Prints an error and returns false if an option is invalid.
bool readCommandLine(int argc, const char **argv, Settings &settings)
{
    const poptOption table[] = {
        { "address", 0, POPT_ARG_STRING, &settings.address, 0, "IPv4 address to listen on",
          nullptr },
        { "port", 0, POPT_ARG_INT, &settings.port, 0, "port to listen on", nullptr },
        { "list-lag-ms", 0, POPT_ARG_INT, &settings.vmListLagMillis, 0,
          "delay from PUT /standin/vms to the object vms/list", nullptr },
        { "watch-max-ms", 0, POPT_ARG_INT, &settings.maxWatchWaitMillis, 0,
          "maximum time that a watch is held", nullptr },
        { "deployment", 0, POPT_ARG_STRING, &settings.deployment, 0,
          "folder of a sample deployment to load at the start", "FOLDER" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("bluebellshift-platform", argc, argv, table, 0);
    const int code = poptGetNextOpt(context);
    if (code < -1)
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(code));
    poptFreeContext(context);
    return code == -1;
}

} // namespace

int main(int argc, const char **argv)
{
    Settings settings;
    if (!readCommandLine(argc, argv, settings))
        return 2;
    standin::blockStopSignals();
    standin::PlatformServiceOptions options;
    options.vmListLag = core::Duration::millis(settings.vmListLagMillis);
    options.maxWatchWait = core::Duration::millis(settings.maxWatchWaitMillis);
    standin::PlatformService service(options);
    if (settings.deployment != nullptr) {
        const absl::Status loaded = standin::loadDeployment(settings.deployment, service);
        if (!loaded.ok()) {
            fmt::print(stderr, "{}\n", std::string(loaded.message()));
            return 1;
        }
    }
    const std::string address = settings.address == nullptr ? "127.0.0.1" : settings.address;
    standin::PlatformServer server(service, { address, static_cast<std::uint16_t>(settings.port) });
    const absl::Status started = server.start();
    if (!started.ok()) {
        fmt::print(stderr, "{}\n", std::string(started.message()));
        return 1;
    }
    fmt::print(stderr, "bluebellshift-platform listens on {}:{}\n", address, server.port());
    standin::waitForStopSignal();
    std::free(settings.address);
    std::free(settings.deployment);
    return 0;
}
