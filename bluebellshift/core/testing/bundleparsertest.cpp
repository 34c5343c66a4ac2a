#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/capacity.h"

using namespace bluebellshift::core;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const char validBundle[] = R"(version = "1"
time_zone = "Asia/Karachi"
store_region = "north"
[[region]]
name = "north"
failure_domains = ["north-a"]
capacity_per_second = 100
callers_percent = 60
[[region]]
name = "south"
failure_domains = ["south-a"]
capacity_per_second = 200
callers_percent = 40
[[link]]
from = "north"
to = "south"
megabits_per_second = 8
[[link]]
from = "south"
to = "north"
megabits_per_second = 8
[[team]]
name = "multan"
rate_per_second = 100
burst = 200
[[service]]
name = "rota"
traffic_percent = 100
answer_kilobytes = 4
cache_time_ms = 5000
timeout_ms = 10000
shift_cap_percent = 10
shift_window_seconds = 60
split_percent = { north = 40, south = 60 }
[[service.route]]
prefix = "/turns"
open = false
repeatable = true
[[client_block]]
cidr = "10.1.0.0/16"
region = "north"
)";

std::string withReplacement(const std::string &from, const std::string &to)
{
    std::string text = validBundle;
    const std::size_t at = text.find(from);
    CHECK_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

std::string faultMessages(const std::vector<BundleFault> &faults)
{
    std::string text;
    for (const BundleFault &fault : faults)
        text += std::to_string(fault.line) + ": " + fault.message + "\n";
    return text;
}

} // namespace

TEST_GROUP(BundleParser) {};

TEST(BundleParser, ReadsEveryField)
{
    const auto bundle = parseBundle(validBundle);
    CHECK_TEXT(bundle.ok(), bundle.status().ToString().c_str());
    STRCMP_EQUAL("1", bundle->version.c_str());
    LONGS_EQUAL(2, bundle->regions.size());
    DOUBLES_EQUAL(0.6, bundle->regions[0].callerFraction, 1e-9);
    DOUBLES_EQUAL(8e6, bundle->links[0].bitsPerSecond, 1e-9);
    const Service &service = bundle->services[0];
    CHECK(service.cacheTime == Duration::seconds(5));
    CHECK(service.shiftWindow == Duration::seconds(60));
    DOUBLES_EQUAL(0.1, service.shiftCapFraction, 1e-9);
    DOUBLES_EQUAL(4096, service.answerBytes, 1e-9);
    DOUBLES_EQUAL(0.6, fractionOf(service.split, RegionId("south")), 1e-9);
    LONGS_EQUAL(0x0a010000, bundle->clientBlocks[0].address);
    LONGS_EQUAL(16, bundle->clientBlocks[0].prefixLength);
}

TEST(BundleParser, FaultNamesLineKeyAndValue)
{
    const struct
    {
        const char *from;
        const char *to;
        const char *message; // expected substring
    } cases[] = {
        { "cache_time_ms = 5000", "cache_time_s = 5",
          "30: service \"rota\": unknown key "
          "\"cache_time_s\"; the unit is part of the "
          "key: \"cache_time_ms\"" },
        { "cache_time_ms = 5000", "cache_time_ms = \"5s\"",
          "\"cache_time_ms\" = \"5s\" must be "
          "an integer" },
        { "cache_time_ms = 5000", "", "key \"cache_time_ms\" is missing" },
        { "cache_time_ms = 5000", "cache_time_ms = -1", "\"cache_time_ms\" = -1 is not within" },
        { "burst = 200", "burst = 200\ncolour = 3", "team \"multan\": unknown key \"colour\"" },
        { "rate_per_second = 100", "rate_per_second = nan", "\"rate_per_second\" = nan" },
        { "rate_per_second = 100", "rate_per_second = 0", "= 0 is not above 0" },
        { "north = 40, south = 60", "north = 40, south = 50", "sums to 90 percent, not 100" },
        { "north = 40, south = 60", "north = 40, west = 60", "region \"west\" does not exist" },
        { "shift_cap_percent = 10", "shift_cap_percent = 0", "\"shift_cap_percent\" = 0" },
        { "shift_cap_percent = 10", "shift_cap_percent = 101", "\"shift_cap_percent\" = 101" },
        { "10.1.0.0/16", "10.1.0.1/16", "has bits set after its prefix" },
        { "10.1.0.0/16", "10.1.0/16", "must be an IPv4 block" },
        { "10.1.0.0/16", "10.1.0.0/33", "must be an IPv4 block" },
        { "10.1.0.0/16", "10.256.0.0/16", "has a part above 255" },
        { "callers_percent = 40", "callers_percent = 30", "sums to 90, not 100" },
        { "traffic_percent = 100", "traffic_percent = 99", "sums to 99, not 100" },
        { "open = false\nrepeatable = true", "open = true\nrepeatable = false", "contradicts" },
        { "prefix = \"/turns\"", "prefix = \"turns\"", "must start with '/'" },
        { "to = \"south\"", "to = \"north\"", "joins a region to itself" },
        { "name = \"south\"", "name = \"north\"", "region \"north\": is listed twice" },
        { "store_region = \"north\"", "store_region = \"west\"", "region \"west\" does not exist" },
        { "Asia/Karachi", "PKT", "is no IANA name" },
        { "[[client_block]]", "[client_block]", "must be an array of tables" },
        { "version = \"1\"", "version = 1", "\"version\" = 1 must be a string" },
        { "version = \"1\"", "version = \"a/b\"", "must be 1 to 64 of" },
        { "version = \"1\"", "version = ", "not TOML" },
    };
    for (const auto &c : cases) {
        const std::string found = faultMessages(checkBundle(withReplacement(c.from, c.to)));
        CHECK_TEXT(found.find(c.message) != std::string::npos,
                   (std::string(c.to) + " gave: " + found).c_str());
        CHECK(!parseBundle(withReplacement(c.from, c.to)).ok());
    }
}

TEST(BundleParser, RejectsUnsustainableLimitsAndShowsTheArithmetic)
{
    const std::string tooSmall = faultMessages(
        checkBundle(withReplacement("capacity_per_second = 100", "capacity_per_second = 40")));
    STRCMP_CONTAINS("region \"north\": all teams at their rates ask for rota 40.0 = 40.0 requests "
                    "a second; 36.0 can be sustained (90% of \"capacity_per_second\" = 40)",
                    tooSmall.c_str());
    const std::string tooNarrow = faultMessages(
        checkBundle(withReplacement("megabits_per_second = 8", "megabits_per_second = 0.5")));
    // From north to south: 40 requests a second served in north, 40% of them for
    // callers in south, 4096 bytes each; 60 requests in south, 60% from north, 1024 each.
    STRCMP_CONTAINS("answers 524288 + requests 294912 = 819200 bits a second; 450000 can be "
                    "sustained",
                    tooNarrow.c_str());
}

TEST(BundleParser, SampleBundlesAreValid)
{
    for (const char *path :
         { "deploy/association/bundle-1.toml", "deploy/association/bundle-2.toml",
           "deploy/kolednik/bundle-1.toml", "deploy/kolednik/bundle-2.toml" }) {
        const auto bundle = parseBundle(readFile(path));
        CHECK_TEXT(bundle.ok(), (path + bundle.status().ToString()).c_str());
        LONGS_EQUAL(8, bundle->teams.size());
        LONGS_EQUAL(3, bundle->regions.size());
        LONGS_EQUAL(2, bundle->services.size());
    }
}
