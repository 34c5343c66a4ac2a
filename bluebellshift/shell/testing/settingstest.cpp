#include "bluebellshift/shell/settings.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace bluebellshift::core;
using namespace bluebellshift::shell;

namespace {

const char validText[] = R"([vm]
id = "punjab-a-1"
region = "punjab"
failure_domain = "punjab-a"
[callers]
address = "127.0.0.1"
port = 21001
[peers]
address = "127.0.0.1"
port = 22001
keys_file = "peer-keys.toml"
[platform]
address = "127.0.0.1"
port = 20080
call_timeout = "1500ms"
[operators]
file = "/etc/operators.toml"
[limits]
body_bytes = 1000
[durations]
freshness_lease = "2s"
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, ReadsAWholeFile)
{
    const auto settings = parseSettings("deploy/vm.toml", validText);
    CHECK_TEXT(settings.ok(), settings.status().ToString().c_str());
    STRCMP_EQUAL("punjab-a-1", settings->core.vm.text().c_str());
    LONGS_EQUAL(22001, settings->peers.port);
    STRCMP_EQUAL("deploy/peer-keys.toml", settings->peerKeysFile.c_str());
    STRCMP_EQUAL("/etc/operators.toml", settings->operatorsFile.c_str());
    CHECK(settings->core.freshnessLease == Duration::seconds(2));
    LONGS_EQUAL(1000, settings->limits.bodyBytes);
}

TEST(Settings, EachFaultNamesLineKeyAndValue)
{
    const struct
    {
        const char *from;
        const char *to;
        int line;
        const char *message;
    } cases[] = {
        { "id = \"punjab-a-1\"", "id = \"\"", 2, "vm.id \"\" must not be empty" },
        { "id = \"punjab-a-1\"", "id = 5", 2, "vm.id 5 must be a text" },
        { "id = \"punjab-a-1\"", "id = \"A b\"", 2, "vm.id \"A b\" must be at most 64" },
        { "id = \"punjab-a-1\"", "", 1, "vm.id is missing" },
        { "port = 21001", "port = 70000", 7, "callers.port 70000 must be from 1 to 65535" },
        { "port = 21001", "port = \"x\"", 7, "callers.port \"x\" must be a whole number" },
        { "address = \"127.0.0.1\"", "address = \"host\"", 6, "must be an IPv4 number" },
        { "port = 22001", "port = 21001", 8, "[peers] has the address and port of [callers]" },
        { "call_timeout = \"1500ms\"", "call_timeout = 1500", 15,
          "platform.call_timeout 1500 must be a text with its unit" },
        { "call_timeout = \"1500ms\"", "call_timeout = \"15 m\"", 15, "\"15 m\" must be a text" },
        { "call_timeout = \"1500ms\"", "call_timeout = \"1h\"", 15, "must be from 10ms to 60s" },
        { "call_timeout = \"1500ms\"", "call_timeout = \"100ms\"", 15, "must be shorter than" },
        { "call_timeout = \"1500ms\"", "watch_wait = \"4s\"", 12, "must be shorter than" },
        { "call_timeout = \"1500ms\"", "call_timout = \"1s\"", 15,
          "unknown key platform.call_timout \"1s\"" },
        { "body_bytes = 1000", "body_bytes = \"1MB\"", 19, "limits.body_bytes \"1MB\"" },
        { "body_bytes = 1000", "answer_bytes = 100000000", 19, "could not be kept" },
        { "freshness_lease = \"2s\"", "freshness_lease = \"1s\"", 21, "must be shorter than" },
        { "freshness_lease = \"2s\"", "heartbeat_interval = \"1s\"", 21, "must be shorter than" },
        { "[platform]",
          "seed = [{ id = \"punjab-a-1\", address = \"127.0.0.1\", port = 1 }]\n[platform]", 12,
          "seed.id \"punjab-a-1\" is this VM" },
        { "freshness_lease = \"2s\"", "ticket_valid_for = \"60s\"", 21, "must be shorter than" },
        { "[durations]", "[duration]", 20, "unknown key duration" },
        { "[operators]", "[operator]", 0, "table [operators] is missing" },
        { "[vm]", "[vm", 1, "not TOML" },
    };
    for (const auto &c : cases) {
        std::vector<SettingsFault> faults;
        const auto settings = parseSettings("f", replaced(validText, c.from, c.to), &faults);
        CHECK_TEXT(!settings.ok(), c.to);
        bool isFound = false;
        for (const SettingsFault &fault : faults)
            isFound |= fault.message.find(c.message) != std::string::npos
                && (c.line == 0 || fault.line == c.line);
        CHECK_TEXT(isFound, fmt::format("{} gave {}", c.to, settings.status().ToString()).c_str());
    }
}

TEST(Settings, ReportsEveryFaultAtOnce)
{
    std::vector<SettingsFault> faults;
    std::string text = replaced(validText, "id = \"punjab-a-1\"", "id = 5\nidd = 6");
    text = replaced(text, "port = 22001", "port = 0");
    const auto settings = parseSettings("f", text, &faults);
    CHECK(!settings.ok());
    LONGS_EQUAL(3, faults.size());
    STRCMP_CONTAINS("f:2: vm.id 5", std::string(settings.status().message()).c_str());
}

TEST(Settings, MissingFileIsNamed)
{
    const auto settings = loadSettings("no/such.toml");
    CHECK(settings.status().code() == absl::StatusCode::kNotFound);
    STRCMP_CONTAINS("no/such.toml", std::string(settings.status().message()).c_str());
}

TEST(Settings, SamplesOfBothDeploymentsAreValid)
{
    for (const char *deployment : { "association", "kolednik" }) {
        std::vector<std::string> domains;
        for (int i = 1; i <= 12; ++i) {
            const std::string path = fmt::format("deploy/{}/vm-{:02}.toml", deployment, i);
            const auto settings = loadSettings(path);
            CHECK_TEXT(settings.ok(), settings.status().ToString().c_str());
            LONGS_EQUAL(11, settings->core.seeds.size());
            const std::string &domain = settings->core.failureDomain.text();
            if (domains.empty() || domains.back() != domain)
                domains.push_back(domain);
        }
        LONGS_EQUAL(6, domains.size());
    }
}
