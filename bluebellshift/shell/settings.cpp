// Each table has its own reader. Contradictions between values are checked after
// all of them are read, and only against values that could be read.
#include "bluebellshift/shell/settings.h"

#include <arpa/inet.h>

#include <fmt/format.h>

namespace bluebellshift::shell {
namespace {

using core::Duration;

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t maxBytes = 1 << 30;
constexpr std::size_t maxIdLength = 64;

bool isIpv4(const std::string &address)
{
    in_addr parsed {};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1;
}

std::string readId(TomlTable *table, const char *key)
{
    const std::string id = table->text(key);
    const char *allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
    if (id.size() > maxIdLength || id.find_first_not_of(allowed) != std::string::npos)
        table->fault(key,
                     fmt::format("{} must be at most {} lower-case letters, digits and hyphens",
                                 table->describe(key), maxIdLength));
    return id;
}

core::Endpoint readEndpoint(TomlTable *table)
{
    core::Endpoint endpoint;
    endpoint.address = table->text("address");
    if (!endpoint.address.empty() && !isIpv4(endpoint.address))
        table->fault("address",
                     fmt::format("{} must be an IPv4 number", table->describe("address")));
    endpoint.port = static_cast<std::uint16_t>(table->integer("port", 1, maxPort));
    return endpoint;
}

// Either duration may be the default and thus have no line of its own.
void reportNotShorter(TomlTable *table, const char *shorter, Duration shorterValue,
                      const char *longer, Duration longerValue, const char *fraction = "")
{
    table->fault(table->has(shorter) ? shorter : longer,
                 fmt::format("{} of {} ms must be shorter than {}{} of {} ms", shorter,
                             shorterValue.toMillis(), fraction, longer, longerValue.toMillis()));
}

void readVm(TomlTable table, core::CoreOptions *options)
{
    options->vm = core::VmId(readId(&table, "id"));
    options->region = core::RegionId(readId(&table, "region"));
    options->failureDomain = core::FailureDomainId(readId(&table, "failure_domain"));
}

void readPlatform(TomlTable table, PlatformSettings *platform, Duration *watchWait)
{
    const Duration minimum = Duration::millis(10);
    const Duration maximum = Duration::seconds(60);
    platform->endpoint = readEndpoint(&table);
    platform->connectTimeout =
        table.duration("connect_timeout", minimum, maximum, platform->connectTimeout);
    platform->callTimeout = table.duration("call_timeout", minimum, maximum, platform->callTimeout);
    *watchWait = table.duration("watch_wait", minimum, maximum, *watchWait);
    if (platform->connectTimeout > platform->callTimeout)
        reportNotShorter(&table, "connect_timeout", platform->connectTimeout, "call_timeout",
                         platform->callTimeout);
}

// Reads the VMs to ask for the view while the platform is unreachable.
std::vector<core::Vm> readSeeds(TomlTable *peers, const core::VmId &self)
{
    std::vector<core::Vm> seeds;
    for (TomlTable &table : peers->tables("seed")) {
        core::Vm seed;
        seed.id = core::VmId(readId(&table, "id"));
        seed.peers = readEndpoint(&table);
        if (seed.id == self)
            table.fault("id", fmt::format("{} is this VM", table.describe("id")));
        for (const core::Vm &other : seeds) {
            if (other.id == seed.id || other.peers == seed.peers)
                table.fault("id",
                            fmt::format("{} is not unique, or has the endpoint of \"{}\"",
                                        table.describe("id"), other.id.text()));
        }
        seeds.push_back(std::move(seed));
    }
    return seeds;
}

std::size_t readBytes(TomlTable *table, const char *key, std::size_t fallback)
{
    return static_cast<std::size_t>(
        table->integer(key, 1, maxBytes, static_cast<std::int64_t>(fallback)));
}

void readLimits(TomlTable table, Settings *settings)
{
    LimitSettings &limits = settings->limits;
    limits.bodyBytes = readBytes(&table, "body_bytes", limits.bodyBytes);
    limits.headerCount = readBytes(&table, "header_count", limits.headerCount);
    limits.headerBytes = readBytes(&table, "header_bytes", limits.headerBytes);
    limits.answerBytes = readBytes(&table, "answer_bytes", limits.answerBytes);
    limits.recordBytes = readBytes(&table, "record_bytes", limits.recordBytes);
    limits.logLinesPerSecond = static_cast<int>(
        table.integer("log_lines_per_second", 1, 1'000'000, limits.logLinesPerSecond));
    if (limits.answerBytes > limits.recordBytes)
        table.fault("answer_bytes",
                    fmt::format("{} is more than {}, so the answer could not be kept",
                                table.describe("answer_bytes"), table.describe("record_bytes")));
    settings->core.maxAnswerBytes = limits.answerBytes;
    settings->core.maxRecordBytes = limits.recordBytes;
}

void readDurations(TomlTable table, core::CoreOptions *options)
{
    const auto read = [&table](const char *key, Duration minimum, Duration maximum,
                               Duration *value) {
        *value = table.duration(key, minimum, maximum, *value);
    };
    read("freshness_lease", Duration::millis(500), Duration::millis(3000),
         &options->freshnessLease);
    read("heartbeat_interval", Duration::millis(50), Duration::seconds(5),
         &options->heartbeatInterval);
    read("suspicion_timeout", Duration::millis(100), Duration::seconds(30),
         &options->suspicionTimeout);
    read("platform_retry_first", Duration::millis(10), Duration::seconds(10),
         &options->initialPlatformRetryDelay);
    read("platform_retry_most", Duration::millis(100), Duration::seconds(60),
         &options->maxPlatformRetryDelay);
    read("queue_wait_most", Duration::millis(1), Duration::seconds(10), &options->maxQueueWait);
    read("ticket_valid_for", Duration::seconds(1), Duration::seconds(3600),
         &options->ticketValidFor);
    read("shutdown_most", Duration::seconds(1), Duration::seconds(600), &options->maxShutdownTime);

    if (options->suspicionTimeout < options->heartbeatInterval * 2)
        reportNotShorter(&table, "heartbeat_interval", options->heartbeatInterval,
                         "suspicion_timeout", options->suspicionTimeout, "half of ");
    if (options->suspicionTimeout >= options->freshnessLease)
        reportNotShorter(&table, "suspicion_timeout", options->suspicionTimeout, "freshness_lease",
                         options->freshnessLease);
    if (options->ticketValidFor >= options->maxShutdownTime)
        reportNotShorter(&table, "ticket_valid_for", options->ticketValidFor, "shutdown_most",
                         options->maxShutdownTime);
    if (options->initialPlatformRetryDelay > options->maxPlatformRetryDelay)
        reportNotShorter(&table, "platform_retry_first", options->initialPlatformRetryDelay,
                         "platform_retry_most", options->maxPlatformRetryDelay);
}

// Checks for contradictions between tables.
void checkAcrossTables(TomlTable *root, const Settings &settings)
{
    if (settings.callers == settings.peers && settings.callers.port != 0)
        root->fault("peers",
                    fmt::format("[peers] has the address and port of [callers], {}:{}",
                                settings.peers.address, settings.peers.port));
    if (settings.core.watchWait >= settings.core.freshnessLease)
        root->fault("platform",
                    fmt::format("platform.watch_wait of {} ms must be shorter than "
                                "durations.freshness_lease of {} ms",
                                settings.core.watchWait.toMillis(),
                                settings.core.freshnessLease.toMillis()));
}

std::string resolveBesideFile(const std::string &file, const std::string &path)
{
    if (path.empty() || path.front() == '/')
        return path;
    const std::size_t slash = file.rfind('/');
    return slash == std::string::npos ? path : file.substr(0, slash + 1) + path;
}

} // namespace

absl::StatusOr<Settings> parseSettings(const std::string &file, const std::string &text,
                                       std::vector<SettingsFault> *faults)
{
    std::vector<SettingsFault> found;
    Settings settings;
    TomlDocument document(file, text, &found);
    if (document.isParsed()) {
        TomlTable root = document.root();
        readVm(root.table("vm"), &settings.core);
        TomlTable callers = root.table("callers");
        settings.callers = readEndpoint(&callers);
        TomlTable peers = root.table("peers");
        settings.peers = readEndpoint(&peers);
        settings.peerKeysFile = resolveBesideFile(file, peers.text("keys_file"));
        if (peers.has("seed"))
            settings.core.seeds = readSeeds(&peers, settings.core.vm);
        settings.operatorsFile = resolveBesideFile(file, root.table("operators").text("file"));
        readPlatform(root.table("platform"), &settings.platform, &settings.core.watchWait);
        if (root.has("limits"))
            readLimits(root.table("limits"), &settings);
        if (root.has("durations"))
            readDurations(root.table("durations"), &settings.core);
        checkAcrossTables(&root, settings);
        root.finish();
    }
    if (faults != nullptr)
        *faults = found;
    if (!found.empty())
        return faultsToStatus(found);
    return settings;
}

absl::StatusOr<Settings> loadSettings(const std::string &path, std::vector<SettingsFault> *faults)
{
    std::string text;
    const absl::Status status = readTextFile(path, &text);
    if (!status.ok())
        return status;
    return parseSettings(path, text, faults);
}

} // namespace bluebellshift::shell
