// An instance leaves without a word: its entry is removed, and it serves on for a while. The store
// cuts off watches that wait, as it may.
//
// DRAIN: no request reaches the instance later than drain_s after the removal was acknowledged.
#include <cstdio>

#include <fmt/format.h>

#include "review/standin-2/stage.h"

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds drainTime { 2500 }; // drain_s
constexpr milliseconds servesFor { 8000 }; // after the removal: drain_s and many seconds
constexpr int restarts = 4;                // of front ends of the store, one after the other
constexpr milliseconds restartInterval { 2000 };
constexpr int perSecond = 40;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Stage stage(argv);
    Instance &leaving = stage.addInstance({ "i-leaves", "rota", "near-1" });
    stage.addInstance({ "i-stays-1", "rota", "near-1" });
    stage.addInstance({ "i-stays-2", "rota", "near-1" });
    if (!stage.startGateway())
        return exitNotRun;
    stage.offerLoad({ "/swap/" }, perSecond, seconds(20));
    stage.runFor(seconds(6)); // longer than contact_s
    if (stage.hasTrouble())
        stage.watchCutter().cut();
    stage.runFor(milliseconds(500));
    const std::size_t before = leaving.runs().size();
    leaving.removeEntry();
    stage.runFor(restartInterval - milliseconds(500));
    for (int i = 1; i < restarts; ++i) {
        if (stage.hasTrouble())
            stage.watchCutter().cut();
        stage.runFor(restartInterval);
    }
    stage.runFor(milliseconds(500));
    leaving.end();
    stage.runFor(seconds(6));

    int late = 0;
    double latest = 0;
    for (const Instance::Run &run : leaving.runs()) {
        const auto after = run.arrivedAt - *leaving.leavingAt();
        if (after <= drainTime)
            continue;
        ++late;
        latest = std::chrono::duration<double>(after).count();
    }
    const std::string result = fmt::format(
        "requests {}, answered 200 {}, watches cut {}; ran at i-leaves before its removal {}; "
        "reached it later than drain_s after the removal {}, the last one {:.1f} s after it; "
        "502 {}, 503 {}, 504 {}",
        stage.sent().size(), stage.answeredWith(200), stage.watchCutter().cuts(), before, late,
        latest, stage.answeredWith(502), stage.answeredWith(503), stage.answeredWith(504));
    stage.record(result);
    std::printf("%s\n", result.c_str());
    if (before == 0 || stage.answeredWith(200) < 200)
        return exitNotRun;
    return late > 0 ? exitBroken : exitHeld;
}
