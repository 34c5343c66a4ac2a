// bluebellshift-target: runs stand-ins for one or more targets.
#include <fmt/core.h>
#include <popt.h>

#include <cstdlib>

#include "bluebellshift/standin/stopsignal.h"
#include "bluebellshift/standin/targetserver.h"

using namespace bluebellshift;

namespace {

struct Settings
{
    char *address = nullptr;
    char *idPrefix = nullptr;
    char *region = nullptr;
    int port = 7100;
    int count = 1;
    int slots = 3;
    int connections = 400;
    int serviceMillis = 20;
};

// Prints an error and returns false if an option is invalid.
bool readCommandLine(int argc, const char **argv, Settings &settings)
{
    const poptOption table[] = {
        { "address", 0, POPT_ARG_STRING, &settings.address, 0, "IPv4 address to listen on",
          nullptr },
        { "port", 0, POPT_ARG_INT, &settings.port, 0, "port of the first target", nullptr },
        { "count", 0, POPT_ARG_INT, &settings.count, 0, "number of targets, on consecutive ports",
          nullptr },
        { "slots", 0, POPT_ARG_INT, &settings.slots, 0, "maximum concurrent requests of a target",
          nullptr },
        { "connections", 0, POPT_ARG_INT, &settings.connections, 0,
          "maximum connections of a target", nullptr },
        { "service-ms", 0, POPT_ARG_INT, &settings.serviceMillis, 0, "service time of a request",
          nullptr },
        { "id-prefix", 0, POPT_ARG_STRING, &settings.idPrefix, 0, "ids are PREFIX-0, PREFIX-1...",
          "PREFIX" },
        { "region", 0, POPT_ARG_STRING, &settings.region, 0, "region that the answers state",
          nullptr },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("bluebellshift-target", argc, argv, table, 0);
    const int code = poptGetNextOpt(context);
    if (code < -1)
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(code));
    poptFreeContext(context);
    return code == -1;
}

std::string textOr(const char *text, const char *fallback)
{
    return text == nullptr ? fallback : text;
}

standin::TargetServerOptions optionsOf(const Settings &settings)
{
    standin::TargetServerOptions options;
    options.first.address = textOr(settings.address, "127.0.0.1");
    options.first.port = static_cast<std::uint16_t>(settings.port);
    options.count = settings.count;
    options.idPrefix = textOr(settings.idPrefix, "target");
    options.region = core::RegionId(textOr(settings.region, ""));
    options.slots = settings.slots;
    options.connections = settings.connections;
    options.serviceTime = core::Duration::millis(settings.serviceMillis);
    return options;
}

} // namespace

int main(int argc, const char **argv)
{
    Settings settings;
    if (!readCommandLine(argc, argv, settings))
        return 2;
    standin::blockStopSignals();
    const standin::TargetServerOptions options = optionsOf(settings);
    standin::TargetServer server(options);
    const absl::Status started = server.start();
    if (!started.ok()) {
        fmt::print(stderr, "{}\n", std::string(started.message()));
        return 1;
    }
    fmt::print(stderr, "bluebellshift-target listens on {}:{} and {} ports after it\n",
               options.first.address, server.port(0), options.count - 1);
    standin::waitForStopSignal();
    std::free(settings.address);
    std::free(settings.idPrefix);
    std::free(settings.region);
    return 0;
}
