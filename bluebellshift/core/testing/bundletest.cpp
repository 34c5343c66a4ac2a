#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/bundle.h"

using namespace bluebellshift::core;

TEST_GROUP(Bundle) {};

TEST(Bundle, LongestPrefixDecidesTheRoute)
{
    Service service;
    service.routes = { { "/", true, true },
                       { "/turns", false, true },
                       { "/turns/swap", false, false } };
    const struct
    {
        const char *path;
        const char *prefix;
    } cases[] = {
        { "/", "/" },
        { "/about", "/" },
        { "/turns", "/turns" },
        { "/turns/3", "/turns" },
        { "/turnstile", "/" },
        { "/turns/swap", "/turns/swap" },
        { "/turns/swap/9", "/turns/swap" },
    };
    for (const auto &c : cases) {
        const Route *route = findRoute(service, c.path);
        CHECK_TEXT(route != nullptr, c.path);
        STRCMP_EQUAL_TEXT(c.prefix, route->prefix.c_str(), c.path);
    }
}

TEST(Bundle, NoPrefixMeansNoRoute)
{
    Service service;
    service.routes = { { "/turns", false, true } };
    CHECK(findRoute(service, "/fund") == nullptr);
}
