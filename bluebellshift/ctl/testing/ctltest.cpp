// Runs the commands against the real administration API, without sockets.
#include "bluebellshift/ctl/commands.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/daemon/adminapi.h"

using namespace bluebellshift;
using namespace bluebellshift::core;
using nlohmann::json;

namespace {

std::string bundleToml(const char *version, int kpkPercent)
{
    return fmt::format(R"(version = "{}"
time_zone = "Asia/Karachi"
store_region = "punjab"
[[region]]
name = "punjab"
failure_domains = ["punjab-a", "punjab-b"]
capacity_per_second = 2400
callers_percent = 50
[[region]]
name = "kpk"
failure_domains = ["kpk-a", "kpk-b"]
capacity_per_second = 2400
callers_percent = 50
[[link]]
from = "punjab"
to = "kpk"
megabits_per_second = 4000
[[link]]
from = "kpk"
to = "punjab"
megabits_per_second = 4000
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
split_percent = {{ punjab = {}, kpk = {} }}
[[service.route]]
prefix = "/turns"
open = false
repeatable = true
)",
                       version, 100 - kpkPercent, kpkPercent);
}

std::string operatorEntry(const char *id, const char *role)
{
    return fmt::format("[[operator]]\nid = \"{}\"\nroles = [\"{}\"]\nkey_sha256 = \"{}\"\n", id,
                       role, base::sha256Hex(std::string("key of ") + id));
}

// The fault that the platform injects into its next write.
enum class Fault { None, ConcurrentWrite, LostReply, Unreachable };

} // namespace

TEST_GROUP(Ctl)
{
    std::map<std::pair<std::string, std::string>, Object> objects;
    std::uint64_t revision = 10;
    std::uint64_t slowRevision = 10;    // of peer b-1, which catches up at the next pause
    std::uint64_t isolatedRevision = 0; // of the cut-off peer c-1; 0: no such peer
    Fault fault = Fault::None;
    int writes = 0;
    bool isConnected = true;
    Duration totalPause; // that the tool has waited
    std::vector<std::string> lines;
    std::vector<std::string> errors;
    std::unique_ptr<daemon::AdminApi> face;

    void setup() override
    {
        const std::string text = operatorEntry("amina", "key-manager")
            + operatorEntry("bilal", "author") + operatorEntry("danish", "approver")
            + operatorEntry("farah", "roller");
        daemon::AdminApi::Hooks hooks;
        hooks.serve = [this](const daemon::AdminApi::MakeEvent &makeEvent) {
            return std::visit([this](const auto &event) { return serve(event); },
                              makeEvent(RequestId(1)));
        };
        hooks.wallTime = [] { return WallTime::fromMicros(1'796'367'132'000'000); };
        hooks.log = [](const LogRecord &) {};
        face = std::make_unique<daemon::AdminApi>(*shell::parseOperators("f", text), hooks);
    }

    daemon::RequestOutcome serve(const ObjectsRequested &asked)
    {
        ObjectsReturned reply;
        for (const auto &[key, object] : objects) {
            if (key.first == asked.kind && (asked.name.empty() || key.second == asked.name))
                reply.objects.push_back(object);
        }
        return reply;
    }

    daemon::RequestOutcome serve(const StatusRequested &)
    {
        StatusReturned reply;
        reply.vm = VmId("a-1");
        reply.viewRevision = Revision(revision);
        reply.isFresh = reply.isReady = true;
        reply.peers.push_back({ VmId("b-1"), Revision(slowRevision), true, true, false, {} });
        if (isolatedRevision > 0)
            reply.peers.push_back({ VmId("c-1"), Revision(isolatedRevision), false, false, false,
                                    Duration::seconds(9) });
        return reply;
    }

    template<typename Event> daemon::RequestOutcome serve(const Event &)
    {
        return RefuseCaller {};
    }

    daemon::RequestOutcome serve(const ChangeRequested &asked)
    {
        ++writes;
        Object &stored = objects[{ asked.kind, asked.name }];
        const Fault currentFault = std::exchange(fault, Fault::None);
        if (currentFault == Fault::Unreachable)
            return ChangeEnded { asked.request, PlatformOutcome::Unreachable, {} };
        if (currentFault == Fault::ConcurrentWrite) {
            stored = { asked.kind, asked.name, Revision(++revision), R"({"digests":[]})", false };
            return ChangeEnded { asked.request, PlatformOutcome::Conflict, stored };
        }
        stored = { asked.kind, asked.name, Revision(++revision), asked.value, false };
        const auto outcome =
            currentFault == Fault::LostReply ? PlatformOutcome::Unknown : PlatformOutcome::Done;
        return ChangeEnded { asked.request, outcome, stored };
    }

    int run(const char *who, const ctl::Arguments &arguments)
    {
        const ctl::SendHttp send =
            [this](const ctl::HttpCall &call) -> absl::StatusOr<ctl::HttpReply> {
            if (!isConnected)
                return absl::UnavailableError("not connected");
            http::HttpRequest request;
            request.method = call.method;
            const std::size_t question = call.path.find('?');
            request.path = call.path.substr(0, question);
            if (question != std::string::npos)
                request.query = call.path.substr(question + 1);
            request.headers = { { "Authorization", call.authorization } };
            request.body = call.body;
            const http::HttpResponse response = face->handle(request);
            return ctl::HttpReply { response.status, response.body };
        };
        const auto pause = [this](Duration time) {
            totalPause = totalPause + time;
            slowRevision = std::max(slowRevision, revision);
        };
        lines.clear();
        errors.clear();
        const ctl::CommandContext context {
            ctl::AdminClient(send, std::string("key of ") + who, pause),
            [this](const std::string &line) { lines.push_back(line); },
            [this](const std::string &line) { errors.push_back(line); },
            [] { return std::string("a new key"); },
            [] { return WallTime::fromMicros(1'796'367'132'000'000); },
            pause,
            Duration::seconds(10),
            "",
        };
        return ctl::runCommand(context, arguments);
    }

    bool isPrinted(const std::string &text)
    {
        for (const std::string &line : lines) {
            if (line.find(text) != std::string::npos)
                return true;
        }
        return false;
    }

    std::string stored(const char *kind, const char *name)
    {
        return objects[{ kind, name }].value;
    }
};

TEST(Ctl, KeyIsIssuedListedAndRevoked)
{
    LONGS_EQUAL(ctl::exitOk, run("amina", { "keys", "give", "multan" }));
    const std::string digest = base::sha256Hex("a new key");
    CHECK(isPrinted("a new key") && isPrinted(digest));
    CHECK(isPrinted("b-1") && isPrinted("in force"));
    CHECK(stored("keys", "multan").find("a new key") == std::string::npos);
    CHECK(json::parse(stored("keys", "multan"))["digests"][0]["by"] == "amina");
    LONGS_EQUAL(ctl::exitOk, run("amina", { "keys", "list", "multan" }));
    CHECK(isPrinted(digest + " given by amina"));
    LONGS_EQUAL(ctl::exitNotFound, run("amina", { "keys", "withdraw", "multan", "00000000" }));
    LONGS_EQUAL(ctl::exitUsage, run("amina", { "keys", "withdraw", "multan", "12" }));
    isolatedRevision = 3;
    const std::string prefix = digest.substr(0, 10);
    const Duration before = totalPause;
    LONGS_EQUAL(ctl::exitOk, run("amina", { "keys", "withdraw", "multan", prefix }));
    // A cut-off VM may accept the key until its lease has expired.
    CHECK(totalPause - before >= Duration::seconds(3));
    CHECK(isPrinted("a-1") && isPrinted("in force after") && isPrinted("cut off"));
    CHECK(json::parse(stored("keys", "multan"))["digests"].empty());
}

TEST(Ctl, FailuresMapToExitCodes)
{
    LONGS_EQUAL(ctl::exitNotAllowed, run("farah", { "keys", "give", "multan" }));
    LONGS_EQUAL(ctl::exitNotAllowed, run("nobody", { "vm", "status" }));
    LONGS_EQUAL(ctl::exitNotFound, run("amina", { "keys", "list", "multan" }));
    LONGS_EQUAL(ctl::exitNotFound, run("farah", { "target", "drain", "rota", "t-1" }));
    LONGS_EQUAL(ctl::exitUsage, run("amina", { "keys", "give" }));
    LONGS_EQUAL(ctl::exitUsage, run("amina", { "keys" }));
    LONGS_EQUAL(ctl::exitUsage, run("amina", {}));
    LONGS_EQUAL(ctl::exitRefused, run("farah", { "settings", "check", "/dev/null" }));
    fault = Fault::Unreachable;
    LONGS_EQUAL(ctl::exitUnreachable, run("amina", { "keys", "give", "multan" }));
    isConnected = false;
    LONGS_EQUAL(ctl::exitUnreachable, run("amina", { "vm", "status" }));
}

TEST(Ctl, ConflictingWriteIsRetriedFromTheStoredVersion)
{
    fault = Fault::ConcurrentWrite;
    LONGS_EQUAL(ctl::exitOk, run("amina", { "keys", "give", "multan" }));
    LONGS_EQUAL(2, writes);
}

TEST(Ctl, UnknownOutcomeIsReportedAndNotRetried)
{
    fault = Fault::LostReply;
    LONGS_EQUAL(ctl::exitUnknown, run("amina", { "keys", "give", "multan" }));
    LONGS_EQUAL(1, writes);
    CHECK(!isPrinted("a new key"));
    STRCMP_CONTAINS(base::sha256Hex("a new key").c_str(), errors.back().c_str());
}

TEST(Ctl, BundleIsCheckedStoredSignedOffAndRolledOut)
{
    const std::string path = fmt::format("build/ctltest-{}.toml", getpid());
    const auto store = [&](const char *version, int kpkPercent) {
        std::ofstream(path) << bundleToml(version, kpkPercent);
        return run("bilal", { "bundle", "store", path });
    };
    std::ofstream(path) << "version = 1\n";
    LONGS_EQUAL(ctl::exitRefused, run("bilal", { "bundle", "check", path }));
    LONGS_EQUAL(ctl::exitRefused, run("bilal", { "bundle", "store", path }));
    LONGS_EQUAL(ctl::exitOk, store("1", 0));
    LONGS_EQUAL(ctl::exitOk, run("bilal", { "bundle", "check", path }));
    LONGS_EQUAL(ctl::exitRefused, store("1", 50));
    LONGS_EQUAL(ctl::exitRefused, run("farah", { "bundle", "roll-out", "1" }));
    LONGS_EQUAL(ctl::exitNotAllowed, run("bilal", { "bundle", "sign-off", "1" }));
    LONGS_EQUAL(ctl::exitOk, run("danish", { "bundle", "sign-off", "1" }));
    LONGS_EQUAL(ctl::exitNotAllowed, run("danish", { "bundle", "roll-out", "1" }));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "roll-out", "1" }));
    LONGS_EQUAL(ctl::exitOk, store("2", 40));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "diff", path }));
    CHECK(isPrinted("~ service rota to punjab: 100% -> 60%"));
    CHECK(isPrinted("~ service rota to kpk: 0% -> 40%"));
    LONGS_EQUAL(ctl::exitOk, run("danish", { "bundle", "sign-off", "2" }));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "roll-out", "2" }));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "status" }));
    CHECK(isPrinted("bundle 2 in force, moving") && isPrinted("step 0 of"));
    LONGS_EQUAL(ctl::exitRefused, run("farah", { "bundle", "resume" }));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "pause", "late shop" }));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "status" }));
    CHECK(isPrinted("paused: late shop"));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "resume" }));
    LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "history" }));
    CHECK(isPrinted("author bilal        signed off by danish"));
    std::remove(path.c_str());
}

TEST(Ctl, OperatorCannotAdvanceRolloutSteps)
{
    const std::string path = fmt::format("build/ctltest-{}.toml", getpid());
    for (const auto &[version, percent] : { std::pair("1", 0), std::pair("2", 40) }) {
        std::ofstream(path) << bundleToml(version, percent);
        run("bilal", { "bundle", "store", path });
        run("danish", { "bundle", "sign-off", version });
        LONGS_EQUAL(ctl::exitOk, run("farah", { "bundle", "roll-out", version }));
    }
    std::remove(path.c_str());
    json rollout = json::parse(stored("rollout", "current"));
    rollout["services"]["rota"]["step"] = rollout["services"]["rota"]["steps"];
    http::HttpRequest request;
    request.method = "PUT";
    request.path = "/admin/v1/objects/rollout/current";
    request.query = fmt::format("expected={}", revision);
    request.headers = { { "Authorization", "Bearer key of farah" } };
    request.body = rollout.dump();
    LONGS_EQUAL(412, face->handle(request).status);
    request.query = "expected=x";
    LONGS_EQUAL(400, face->handle(request).status);
    request.query = "expected=1";
    LONGS_EQUAL(409, face->handle(request).status);
}

TEST(Ctl, ConflictReplyDoesNotRevealKeyDigests)
{
    run("amina", { "keys", "give", "multan" });
    http::HttpRequest request;
    request.method = "PUT";
    request.path = "/admin/v1/objects/keys/multan";
    request.query = "expected=99999";
    request.headers = { { "Authorization", "Bearer key of farah" } };
    const http::HttpResponse response = face->handle(request);
    LONGS_EQUAL(403, response.status);
    CHECK(response.body.find(base::sha256Hex("a new key")) == std::string::npos);
}

TEST(Ctl, TargetIsDrainedAndUndrained)
{
    objects[{ "targets", "rota" }] = { "targets", "rota", Revision(5),
                                       R"([{"id":"t-1","region":"punjab","failure_domain":"p-a",
        "address":"127.0.0.1","port":9,"slots":3,"connections":400}])",
                                       false };
    LONGS_EQUAL(ctl::exitOk, run("farah", { "target", "drain", "rota", "t-1" }));
    CHECK(json::parse(stored("targets", "rota"))[0]["leaving"] == true);
    LONGS_EQUAL(ctl::exitOk, run("farah", { "target", "undrain", "rota", "t-1" }));
    CHECK(json::parse(stored("targets", "rota"))[0]["leaving"] == false);
    LONGS_EQUAL(ctl::exitNotFound, run("farah", { "target", "drain", "rota", "t-2" }));
    LONGS_EQUAL(ctl::exitNotAllowed, run("amina", { "target", "drain", "rota", "t-1" }));
}

TEST(Ctl, SettingsCheckIncludesReferencedFiles)
{
    LONGS_EQUAL(ctl::exitOk, run("", { "settings", "check", "deploy/association/vm-01.toml" }));
    LONGS_EQUAL(ctl::exitNotFound, run("", { "settings", "check", "no/such.toml" }));
    STRCMP_CONTAINS("keys give TEAM", ctl::helpText({ "keys" }).c_str());
    STRCMP_CONTAINS("bluebellctl keys give TEAM", ctl::helpText({ "keys", "give" }).c_str());
}
