#include "bluebellshift/shell/operators.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/rollout.h"

using namespace bluebellshift::core;
using namespace bluebellshift::shell;
using absl::StatusCode;
using bluebellshift::base::sha256Hex;
using nlohmann::json;

namespace {

// Returns a complete bundle with one region.
std::string bundleToml(const char *version, bool authorMaySignOff = true)
{
    return fmt::format(R"(version = "{}"
time_zone = "Asia/Karachi"
store_region = "punjab"
author_may_sign_off = {}
[[region]]
name = "punjab"
failure_domains = ["punjab-a", "punjab-b"]
capacity_per_second = 2400
callers_percent = 100
[[team]]
name = "multan"
rate_per_second = 400
burst = 800
[[service]]
name = "rota"
traffic_percent = 100
answer_kilobytes = 16
cache_time_ms = 5000
timeout_ms = 10000
shift_cap_percent = 10
shift_window_seconds = 60
split_percent = {{ punjab = 100 }}
[[service.route]]
prefix = "/turns"
open = false
repeatable = true
)",
                       version, authorMaySignOff);
}

std::string bundleValue(const std::string &toml, const char *author, json signedOffBy)
{
    return json { { "toml", toml }, { "author", author }, { "signed_off_by", signedOffBy } }.dump();
}

std::string keysValue()
{
    return R"({"digests":[{"digest":")" + std::string(64, 'a') + R"("}]})";
}

Operator makeOperator(const char *id, std::vector<Role> roles)
{
    return { OperatorId(id), std::move(roles) };
}

std::string entry(const char *id, const char *roles, const std::string &digest)
{
    return fmt::format("[[operator]]\nid = \"{}\"\nroles = {}\nkey_sha256 = \"{}\"\n", id, roles,
                       digest);
}

} // namespace

TEST_GROUP(Operators) {};

TEST(Operators, AKeyIdentifiesItsOperator)
{
    const auto operators = parseOperators("f",
                                          entry("amina", "[\"key-manager\"]", sha256Hex("k"))
                                              + entry("bilal", "[\"viewer\"]", sha256Hex("l")));
    CHECK_TEXT(operators.ok(), operators.status().ToString().c_str());
    const auto amina = operators->authenticate("Bearer k");
    CHECK(amina.ok() && amina->id == OperatorId("amina") && amina->has(Role::KeyManager));
    CHECK(operators->authenticate("Bearer l")->id == OperatorId("bilal"));
    const std::string cases[] = { "",
                                  "Bearer",
                                  "Bearer ",
                                  "Bearer K",
                                  "Bearer k ",
                                  "bearer k",
                                  "Basic k",
                                  "k",
                                  "Bearer " + sha256Hex("k"),
                                  "Bearer " + std::string(100'000, 'k') };
    for (const std::string &header : cases)
        CHECK(absl::IsUnauthenticated(operators->authenticate(header).status()));
}

TEST(Operators, TheFileIsReadStrictly)
{
    const struct
    {
        std::string text;
        const char *message;
    } cases[] = {
        { entry("a", "[\"chief\"]", sha256Hex("k")), "f:3: operator.roles holds \"chief\"" },
        { entry("a", "[]", sha256Hex("k")), "f:3: operator.roles (a list) must be a list" },
        { entry("a", "[\"viewer\"]", "12"), "f:4: operator.key_sha256 of operator \"a\" must be" },
        { entry("a", "[\"viewer\"]", sha256Hex("k")) + entry("a", "[\"viewer\"]", sha256Hex("l")),
          "f:6: operator.id \"a\" is not unique" },
        { entry("a", "[\"viewer\"]", sha256Hex("k")) + entry("b", "[\"viewer\"]", sha256Hex("k")),
          "operators \"a\" and \"b\" have the same key" },
    };
    for (const auto &c : cases)
        STRCMP_CONTAINS(c.message,
                        std::string(parseOperators("f", c.text).status().message()).c_str());
    CHECK(loadOperators("deploy/association/operators.toml").ok());
    CHECK(loadOperators("deploy/kolednik/operators.toml").ok());
}

TEST(Operators, RolesAndRulesDecideWhoChangesWhat)
{
    const std::string toml = bundleToml("7");
    const std::string fresh = bundleValue(toml, "bilal", json::array());
    const std::string signedOff = bundleValue(toml, "bilal", { "danish" });
    const std::string strict = bundleValue(bundleToml("7", false), "bilal", json::array());
    const std::string rollout = R"({"bundle":"7"})";
    const Operator keyManager = makeOperator("amina", { Role::KeyManager });
    const Operator author = makeOperator("bilal", { Role::Author });
    const Operator both = makeOperator("bilal", { Role::Author, Role::Approver });
    const Operator approver = makeOperator("danish", { Role::Approver });
    const Operator roller = makeOperator("farah", { Role::Roller });
    const struct
    {
        const Operator *actor;
        const char *kind;
        const char *name;
        std::string stored;
        std::string value;
        StatusCode code;
    } cases[] = {
        { &keyManager, "keys", "multan", "", keysValue(), StatusCode::kOk },
        { &keyManager, "keys", "", "", keysValue(), StatusCode::kInvalidArgument },
        { &keyManager, "keys", "multan", "", "{}", StatusCode::kInvalidArgument },
        { &author, "keys", "multan", "", keysValue(), StatusCode::kPermissionDenied },
        { &roller, "targets", "rota", "", "[]", StatusCode::kOk },
        { &roller, "targets", "rota", "", "[{}]", StatusCode::kInvalidArgument },
        { &keyManager, "targets", "rota", "", "[]", StatusCode::kPermissionDenied },
        { &author, "bundle", "7", "", fresh, StatusCode::kOk },
        { &approver, "bundle", "7", "", fresh, StatusCode::kPermissionDenied },
        { &author, "bundle", "8", "", fresh, StatusCode::kInvalidArgument },
        { &author, "bundle", "7", "", "[]", StatusCode::kInvalidArgument },
        { &author, "bundle", "7", "", signedOff, StatusCode::kPermissionDenied },
        { &author, "bundle", "7", "", bundleValue(toml, "x", json::array()),
          StatusCode::kPermissionDenied },
        { &author, "bundle", "7", "", bundleValue("x = 1", "bilal", json::array()),
          StatusCode::kInvalidArgument },
        { &approver, "bundle", "7", fresh, signedOff, StatusCode::kOk },
        { &author, "bundle", "7", fresh, signedOff, StatusCode::kPermissionDenied },
        { &approver, "bundle", "7", fresh, fresh, StatusCode::kFailedPrecondition },
        { &approver, "bundle", "7", fresh, bundleValue(toml, "bilal", { "other" }),
          StatusCode::kFailedPrecondition },
        { &approver, "bundle", "7", fresh,
          bundleValue(bundleToml("7", false), "bilal", { "danish" }),
          StatusCode::kFailedPrecondition },
        { &both, "bundle", "7", fresh, bundleValue(toml, "bilal", { "bilal" }), StatusCode::kOk },
        { &both, "bundle", "7", strict, bundleValue(bundleToml("7", false), "bilal", { "bilal" }),
          StatusCode::kPermissionDenied },
        { &approver, "rollout", "current", "", rollout, StatusCode::kPermissionDenied },
        { &roller, "rollout", "other", "", rollout, StatusCode::kInvalidArgument },
        { &roller, "rollout", "current", "", rollout, StatusCode::kInvalidArgument },
        { &keyManager, "vms", "list", "", "[]", StatusCode::kPermissionDenied },
        { &roller, "ledger", "members", "", "{}", StatusCode::kPermissionDenied },
        { &roller, "audit", "x", "", "{}", StatusCode::kPermissionDenied },
    };
    for (const auto &c : cases) {
        ProposedChange change { c.kind, c.name, std::nullopt, c.value };
        if (!c.stored.empty())
            change.stored = Object { c.kind, c.name, Revision(3), c.stored, false };
        const absl::Status status =
            checkChange(*c.actor, change, [](auto &, auto &) { return std::nullopt; });
        CHECK_TEXT(
            status.code() == c.code,
            fmt::format("{} {} {}: {}", c.actor->id.text(), c.kind, c.value, status.ToString())
                .c_str());
    }
}

TEST(Operators, OnlyASignedOffBundleIsRolledOut)
{
    const Operator roller = makeOperator("farah", { Role::Roller });
    const auto bundle = parseBundle(bundleToml("7"));
    CHECK_TEXT(bundle.ok(), bundle.status().ToString().c_str());
    const ProposedChange change { "rollout", "current", std::nullopt,
                                  encodeRollout(firstRollout(*bundle, "farah", WallTime())) };
    const struct
    {
        std::optional<std::string> stored;
        StatusCode code;
    } cases[] = {
        { std::nullopt, StatusCode::kFailedPrecondition },
        { bundleValue(bundleToml("7"), "bilal", json::array()), StatusCode::kFailedPrecondition },
        { bundleValue(bundleToml("7"), "bilal", { "danish" }), StatusCode::kOk },
    };
    for (const auto &c : cases) {
        const absl::Status status =
            checkChange(roller, change, [&](const std::string &kind, const std::string &name) {
                STRCMP_EQUAL("bundle", kind.c_str());
                STRCMP_EQUAL("7", name.c_str());
                return c.stored
                    ? std::optional<Object>({ kind, name, Revision(2), *c.stored, false })
                    : std::nullopt;
            });
        CHECK_TEXT(status.code() == c.code, status.ToString().c_str());
    }
    STRCMP_EQUAL("bundle \"7\", before \"\"", summarizeChange(change).c_str());
}

TEST(Operators, KeyDigestsAreReadByKeyManagersOnly)
{
    CHECK(checkRead(makeOperator("a", { Role::KeyManager }), "keys").ok());
    CHECK(absl::IsPermissionDenied(checkRead(makeOperator("a", { Role::Viewer }), "keys")));
    CHECK(checkRead(makeOperator("a", { Role::Viewer }), "audit").ok());
    const ProposedChange change { "keys", "multan", std::nullopt, keysValue() };
    STRCMP_EQUAL("1 keys, before 0", summarizeChange(change).c_str());
}
