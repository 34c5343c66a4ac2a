#include "bluebellshift/gatewayd/settings.h"

#include <cstdlib>

namespace bluebellshift::gatewayd {
namespace {

using core::Duration;

constexpr Duration maxDuration = Duration::seconds(3600);
constexpr double maxNumber = 1e9;
constexpr std::int64_t maxLogLinesPerSecond = 100'000;

// Descriptors reserved for listeners, files and connections to the store, targets and
// peers; the rest is available to callers' connections.
constexpr std::int64_t reservedDescriptors = 1200;
constexpr std::int64_t minConnections = 200;
constexpr std::int64_t otherDescriptors = 100; // of these: listeners, files, the store and peers
constexpr std::size_t serviceAddresses = 3;    // look-ups, readiness and metrics

constexpr std::int64_t maxCount = 100'000;
constexpr std::int64_t maxTrailerBytes = 1024 * 1024;
constexpr std::size_t bytesPerKilobyte = 1024;

constexpr double minMemoryMegabytes = 64;
constexpr double defaultMemoryMegabytes = 256;
constexpr double maxMemoryMegabytes = 1 << 20;
constexpr double bytesPerMegabyte = 1024 * 1024;

// Of the process's memory, for the store's responses. A configuration of 1,800 routes has about a
// megabyte.
constexpr double minControlMegabytes = 2;
constexpr double defaultControlShare = 1.0 / 16;
constexpr double maxControlShare = 0.25;

core::Endpoint endpoint(shell::TomlTable &table, const char *key)
{
    const std::string text = table.text(key);
    const auto colon = text.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (text.empty())
        return {}; // already reported
    if (colon == 0 || port < 1 || port > 65535) {
        table.fault(key, table.describe(key) + " is not ADDRESS:PORT");
        return {};
    }
    return { text.substr(0, colon), static_cast<std::uint16_t>(port) };
}

Duration seconds(shell::TomlTable &table, const char *key, Duration fallback)
{
    const double value = table.number(key, 0, maxDuration.toSeconds(), fallback.toSeconds());
    return Duration::micros(static_cast<std::int64_t>(value * 1e6));
}

void readVm(shell::TomlTable table, gateway::VmEntry *vm)
{
    vm->id = core::VmId(table.text("id"));
    vm->region = core::RegionId(table.text("region"));
    vm->failureDomain = core::FailureDomainId(table.text("failure_domain"));
}

void readListen(shell::TomlTable table, GatewaySettings *settings)
{
    settings->gateway.vm.callers = endpoint(table, "callers");
    settings->gateway.vm.peers = endpoint(table, "peers");
    settings->readyEndpoint = endpoint(table, "ready");
    settings->lookupEndpoint = endpoint(table, "lookups");
    settings->metricsEndpoint = endpoint(table, "metrics");
}

// Bounds on what callers make the process hold; docs/design/caller-budget.md.
void readCallerBounds(shell::TomlTable &limits, GatewaySettings *settings)
{
    const auto count = [&](const char *key, std::int64_t min, std::int64_t max, std::size_t value) {
        return static_cast<std::size_t>(
            limits.integer(key, min, max, static_cast<std::int64_t>(value)));
    };
    settings->maxServiceConnections =
        count("service_connections", 8, maxCount, settings->maxServiceConnections);
    settings->maxRequestsInProgress =
        count("requests_in_progress", 50, maxCount, settings->maxRequestsInProgress);
    settings->maxIdleTargetConnections =
        count("idle_target_connections", 8, maxCount, settings->maxIdleTargetConnections);
    settings->maxTrailerBytes = static_cast<std::uint32_t>(
        count("trailer_bytes", 1024, maxTrailerBytes, settings->maxTrailerBytes));
    settings->maxUnwrittenBytes = bytesPerKilobyte
        * count("unwritten_kb", 16, maxCount, settings->maxUnwrittenBytes / bytesPerKilobyte);
    const auto needed = static_cast<std::int64_t>(serviceAddresses * settings->maxServiceConnections
                                                  + settings->maxRequestsInProgress
                                                  + settings->maxIdleTargetConnections)
        + otherDescriptors;
    if (needed > reservedDescriptors)
        limits.fault("requests_in_progress",
                     "limits.requests_in_progress, idle_target_connections and three times "
                     "service_connections exceed "
                         + std::to_string(reservedDescriptors - otherDescriptors) + " descriptors");
}

void readBounds(shell::TomlTable table, gateway::FleetBounds *bounds)
{
    bounds->retryRatio = table.number("repeat_ratio", 0, 1, bounds->retryRatio);
    bounds->retryWindow = seconds(table, "repeat_window_seconds", bounds->retryWindow);
    bounds->retrySlack = table.number("repeat_slack", 0, maxNumber, bounds->retrySlack);
    bounds->quotaWindow = seconds(table, "quota_window_seconds", bounds->quotaWindow);
    bounds->quotaOverage = table.number("quota_overage", 0, maxNumber, bounds->quotaOverage);
    bounds->quotaSlack = table.number("quota_slack", 0, maxNumber, bounds->quotaSlack);
    bounds->coldRateFactor = table.number("cold_overage", 0, maxNumber, bounds->coldRateFactor);
    bounds->coldSlack = table.number("cold_slack", 0, maxNumber, bounds->coldSlack);
    bounds->maxLookupTtl = seconds(table, "lookup_ttl_most_seconds", bounds->maxLookupTtl);
}

} // namespace

absl::StatusOr<GatewaySettings> parseGatewaySettings(const std::string &file,
                                                     const std::string &text,
                                                     std::vector<shell::SettingsFault> *faults)
{
    std::vector<shell::SettingsFault> found;
    GatewaySettings settings;
    shell::TomlDocument document(file, text, &found);
    if (document.isParsed()) {
        shell::TomlTable root = document.root();
        readVm(root.table("vm"), &settings.gateway.vm);
        readListen(root.table("listen"), &settings);
        shell::TomlTable platform = root.table("platform");
        settings.storeEndpoint = endpoint(platform, "store");
        for (shell::TomlTable &domain : root.tables("failure_domain")) {
            const core::FailureDomainId id(domain.text("name"));
            settings.gateway.regionOf[id] = core::RegionId(domain.text("region"));
        }
        if (root.has("bounds"))
            readBounds(root.table("bounds"), &settings.gateway.bounds);
        if (root.has("limits")) {
            shell::TomlTable limits = root.table("limits");
            settings.stopGrace = seconds(limits, "stop_grace_seconds", settings.stopGrace);
            settings.logLinesPerSecond = static_cast<int>(limits.integer(
                "log_lines_per_second", 1, maxLogLinesPerSecond, settings.logLinesPerSecond));
            const std::int64_t descriptors =
                limits.integer("descriptors", reservedDescriptors + minConnections, 1 << 24, 4096);
            settings.maxConnections = static_cast<std::size_t>(descriptors - reservedDescriptors);
            readCallerBounds(limits, &settings);
            const double megabytes = limits.number("memory_mb", minMemoryMegabytes,
                                                   maxMemoryMegabytes, defaultMemoryMegabytes);
            settings.memoryBytes = static_cast<std::size_t>(megabytes * bytesPerMegabyte);
            const double control =
                limits.number("control_memory_mb", minControlMegabytes, megabytes * maxControlShare,
                              megabytes * defaultControlShare);
            settings.controlMemoryBytes = static_cast<std::size_t>(control * bytesPerMegabyte);
        }
        const auto &vm = settings.gateway.vm;
        if (settings.gateway.regionOf.count(vm.failureDomain) == 0)
            found.push_back({ file, 0,
                              "vm.failure_domain \"" + vm.failureDomain.text()
                                  + "\" is not among the failure_domain tables" });
        root.finish();
    }
    if (faults != nullptr)
        *faults = found;
    if (!found.empty())
        return shell::faultsToStatus(found);
    return settings;
}

absl::StatusOr<GatewaySettings> loadGatewaySettings(const std::string &path,
                                                    std::vector<shell::SettingsFault> *faults)
{
    std::string text;
    if (absl::Status status = shell::readTextFile(path, &text); !status.ok())
        return status;
    return parseGatewaySettings(path, text, faults);
}

} // namespace bluebellshift::gatewayd
