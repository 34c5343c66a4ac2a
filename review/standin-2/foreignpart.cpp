// Another writer writes a part of an instance's entry, once. The instance writes its own entry
// again with its next heartbeat. Until then the entry names no instance to use.
//
// `service`: the entry lacks fields, and names another service. ROUTE: no service runs requests
// that
//            no configuration sends to it.
// `status`:  the entry's status is of another type, after the instance has reported that it drains.
//            DRAIN: no request reaches the instance later than drain_s after the acknowledgement.
#include <cstdio>
#include <string>

#include <fmt/format.h>

#include "review/standin-2/stage.h"

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds drainTime { 2500 }; // drain_s
constexpr int perSecond = 60;
constexpr int minServed = 200;

struct Outcome
{
    int before = 0; // requests that the instance ran before the disruption
    int broken = 0; // those that break the rule
    std::string rule;
};

// The fields `version`, `sequence` and `warmup_left_s` are missing.
Json partialEntry(const Instance &instance)
{
    Json entry = instance.entry();
    entry["info"]["service"] = "rota";
    entry["info"].erase("version");
    entry.erase("status");
    return entry;
}

Outcome runService(Stage &stage, Instance &fund)
{
    stage.runFor(seconds(6)); // longer than contact_s
    const auto before = static_cast<int>(fund.runs().size());
    if (stage.hasTrouble()) {
        // Two calls, as a call replaces the spec or the status.
        stage.store().put("servers", fund.place().id, partialEntry(fund), fund.status());
        stage.store().put("servers", fund.place().id, partialEntry(fund), { { "state", "ready" } });
        stage.record("another writer: the entry of " + fund.place().id
                     + " lacks fields and names service rota");
    }
    stage.runFor(seconds(5));
    Outcome outcome { before, 0, "ROUTE: runs of /swap/ at service fund" };
    for (const Instance::Run &run : fund.runs())
        outcome.broken += run.path.rfind("/swap/", 0) == 0 ? 1 : 0;
    return outcome;
}

Outcome runStatus(Stage &stage, Instance &leaving)
{
    stage.runFor(seconds(6)); // longer than contact_s
    const auto before = static_cast<int>(leaving.runs().size());
    leaving.drain();
    stage.runFor(seconds(3));
    if (stage.hasTrouble()) {
        stage.store().put("servers", leaving.place().id, leaving.entry(), "ok");
        stage.record("another writer: the status of " + leaving.place().id + " is a string");
    }
    stage.runFor(seconds(3));
    leaving.removeEntry();
    leaving.end();
    stage.runFor(seconds(2));
    Outcome outcome { before, 0, "DRAIN: requests that reached it later than drain_s" };
    for (const Instance::Run &run : leaving.runs())
        outcome.broken += run.arrivedAt - *leaving.drainsSince() > drainTime ? 1 : 0;
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return exitNotRun;
    const bool isService = std::string(argv[4]) == "service";
    Stage stage(argv);
    Instance &rota = stage.addInstance({ "i-rota-1", "rota", "near-1" });
    stage.addInstance({ "i-rota-2", "rota", "near-1" });
    Instance &fund = stage.addInstance({ "i-fund-1", "fund", "near-1" });
    stage.addInstance({ "i-fund-2", "fund", "near-1" });
    if (!stage.startGateway())
        return exitNotRun;
    stage.offerLoad({ "/swap/", "/pay/" }, perSecond, seconds(13));
    const Outcome outcome = isService ? runService(stage, fund) : runStatus(stage, rota);
    stage.runFor(seconds(3));

    const std::string result =
        fmt::format("requests {}, answered 200 {}, 502 {}, 503 {}, 504 {}; ran at the instance "
                    "before {}; {}: {}",
                    stage.sent().size(), stage.answeredWith(200), stage.answeredWith(502),
                    stage.answeredWith(503), stage.answeredWith(504), outcome.before, outcome.rule,
                    outcome.broken);
    stage.record(result);
    std::printf("%s\n", result.c_str());
    if (outcome.before == 0 || stage.answeredWith(200) < minServed)
        return exitNotRun;
    return outcome.broken > 0 ? exitBroken : exitHeld;
}
