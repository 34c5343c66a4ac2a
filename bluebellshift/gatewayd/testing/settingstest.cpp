// Tests parsing of the gateway's settings, faults by line and key, and the template.
#include "bluebellshift/gatewayd/settings.h"

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gatewayd;
using core::Duration;

namespace {

const char validText[] = R"([vm]
id = "front-1"
region = "near"
failure_domain = "near-1"
[listen]
callers = "10.1.0.7:8668"
ready = "10.1.0.7:8666"
lookups = "10.1.0.7:8665"
peers = "10.1.0.7:7220"
metrics = "10.1.0.7:7235"
[platform]
store = "10.200.1.7:8669"
[bounds]
repeat_slack = 214
quota_window_seconds = 5
[limits]
stop_grace_seconds = 6
descriptors = 4100
[[failure_domain]]
name = "near-1"
region = "near"
[[failure_domain]]
name = "far-1"
region = "far"
)";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = validText;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_GROUP(GatewaySettings) {};

TEST(GatewaySettings, ParsesACompleteFile)
{
    const auto settings = parseGatewaySettings("gateway.toml", validText);
    CHECK_TEXT(settings.ok(), settings.status().ToString().c_str());
    STRCMP_EQUAL("front-1", settings->gateway.vm.id.text().c_str());
    LONGS_EQUAL(8668, settings->gateway.vm.callers.port);
    LONGS_EQUAL(7220, settings->gateway.vm.peers.port);
    STRCMP_EQUAL("10.200.1.7", settings->storeEndpoint.address.c_str());
    CHECK(settings->gateway.bounds.quotaWindow == Duration::seconds(5));
    DOUBLES_EQUAL(214, settings->gateway.bounds.retrySlack, 0);
    CHECK(settings->stopGrace == Duration::seconds(6));
    LONGS_EQUAL(2900, settings->maxConnections);
    LONGS_EQUAL(2, settings->gateway.regionOf.size());
    STRCMP_EQUAL("far",
                 settings->gateway.regionOf.at(core::FailureDomainId("far-1")).text().c_str());
}

TEST(GatewaySettings, EachFaultNamesLineAndKey)
{
    const struct
    {
        const char *from;
        const char *to;
        const char *fault;
    } cases[] = {
        { "id = \"front-1\"", "id = \"\"", "gateway.toml:2: vm.id" },
        { "id = \"front-1\"\n", "", "vm.id" },
        { "\"10.1.0.7:8666\"", "\"10.1.0.7\"", "gateway.toml:7: listen.ready" },
        { ":8665\"", ":99999\"", "gateway.toml:8: listen.lookups" },
        { "store = ", "shop = ", "platform.store" },
        { "quota_window_seconds = 5", "quota_window_seconds = -1", "gateway.toml:15: " },
        { "quota_window_seconds = 5", "quota_window = 5", "quota_window" },
        { "descriptors = 4100", "descriptors = 300", "limits.descriptors" },
        { "name = \"near-1\"", "name = \"near-9\"", "vm.failure_domain \"near-1\"" },
        { "descriptors = 4100", "trailer_bytes = 100", "limits.trailer_bytes" },
        { "descriptors = 4100", "unwritten_kb = 0", "limits.unwritten_kb" },
        { "descriptors = 4100", "service_connections = 1", "limits.service_connections" },
        { "descriptors = 4100", "idle_target_connections = -1", "limits.idle_target_connections" },
        { "descriptors = 4100", "requests_in_progress = 5", "limits.requests_in_progress" },
        { "descriptors = 4100", "requests_in_progress = 900", "exceed 1100 descriptors" },
        { "descriptors = 4100", "control_memory_mb = 1", "limits.control_memory_mb" },
        { "descriptors = 4100", "control_memory_mb = 100", "limits.control_memory_mb" },
        { "[vm]", "[vm", "gateway.toml:" },
    };
    for (const auto &testCase : cases) {
        const auto settings =
            parseGatewaySettings("gateway.toml", replaced(testCase.from, testCase.to));
        CHECK_TEXT(!settings.ok(), testCase.to);
        const std::string message(settings.status().message());
        CHECK_TEXT(message.find(testCase.fault) != std::string::npos, message.c_str());
    }
}

TEST(GatewaySettings, ReportsAllFaultsInOnePass)
{
    std::string text = replaced("id = \"front-1\"", "id = \"\"");
    text.replace(text.find(":8666"), 5, ":no");
    text += "[unknown]\nkey = 1\n";
    std::vector<shell::SettingsFault> faults;
    CHECK(!parseGatewaySettings("gateway.toml", text, &faults).ok());
    LONGS_EQUAL(3, faults.size());
}

// Guards against a key in the deployment template that the gateway rejects as unknown.
TEST(GatewaySettings, AcceptsAllKeysOfTheTemplate)
{
    std::ifstream file("deploy/gateway.toml.in");
    CHECK(file.good());
    std::stringstream filled;
    for (std::string line; std::getline(file, line);) {
        const std::size_t braces = line.find("{{");
        if (line.rfind("{{", 0) == 0)
            continue; // the start or end of a section
        const bool isText = braces != std::string::npos && line[braces - 1] == '"';
        const bool isAddress = line.find("listen.") != std::string::npos
            || line.find("address") != std::string::npos
            || line.find("{{ip}}") != std::string::npos;
        if (braces == std::string::npos)
            filled << line << '\n';
        else if (isAddress)
            filled << line.substr(0, braces) << "10.0.0.1:80\"\n";
        else
            filled << line.substr(0, braces) << (isText ? "near-1\"" : "4096") << '\n';
    }
    std::string text = filled.str();
    // Ratios and durations whose upper limit is below 4096.
    for (const char *key :
         { "repeat_ratio = ", "quota_overage = ", "stop_grace_seconds = ",
           "lookup_ttl_most_seconds = ", "repeat_window_seconds = ", "quota_window_seconds = " }) {
        const std::size_t at = text.find(key);
        CHECK_TEXT(at != std::string::npos, key);
        text.replace(at + std::string(key).size(), 4, "1");
    }
    const auto settings = parseGatewaySettings("gateway.toml", text);
    CHECK_TEXT(settings.ok(), (settings.status().ToString() + "\n" + text).c_str());
}
