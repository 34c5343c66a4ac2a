#include "bluebellshift/shell/recorder.h"

#include <deque>
#include <random>
#include <sstream>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/reducer.h"
#include "bluebellshift/core/rollout.h"

using namespace bluebellshift::core;
using namespace bluebellshift::shell;
using nlohmann::json;

namespace {

const char bundleToml[] = R"(version = "1"
time_zone = "Asia/Karachi"
store_region = "punjab"
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
split_percent = { punjab = 100 }
[[service.route]]
prefix = "/turns"
open = false
repeatable = true
)";

const std::string digest(64, 'a');

CoreOptions options()
{
    CoreOptions options;
    options.vm = VmId("punjab-a-1");
    options.incarnation = Incarnation(77);
    options.region = RegionId("punjab");
    options.failureDomain = FailureDomainId("punjab-a");
    options.ticketSecret = std::string("\0secret\xff", 8);
    Vm seed;
    seed.id = VmId("punjab-b-1");
    seed.peers = { "127.0.0.1", 9 };
    options.seeds = { seed };
    return options;
}

std::shared_ptr<Reducer> makeReducer(const CoreOptions &options)
{
    return std::make_shared<Reducer>(options, View::Hooks { parseBundle, decodeRollout });
}

Reduce reduceBy(std::shared_ptr<Reducer> reducer)
{
    return [reducer](const Event &event) { return reducer->reduce(event); };
}

std::vector<Object> viewObjects()
{
    const auto bundle = parseBundle(bundleToml);
    const json stored = { { "toml", bundleToml }, { "author", "a" }, { "signed_off_by", { "b" } } };
    return {
        { kind::bundle, "1", Revision(1), stored.dump(), false },
        { kind::rollout, rolloutName, Revision(2),
          encodeRollout(firstRollout(*bundle, "b", WallTime())), false },
        { kind::keys, "multan", Revision(3),
          json { { "digests", { { { "digest", digest } } } } }.dump(), false },
        { kind::targets, "rota", Revision(4),
          R"([{"id":"t-1","region":"punjab","failure_domain":"punjab-a","address":"127.0.0.1",
              "port":9,"slots":3,"connections":400}])",
          false },
        { kind::vms, "list", Revision(5),
          R"([{"id":"punjab-a-1","region":"punjab","failure_domain":"punjab-a",
              "callers":{"address":"127.0.0.1","port":1},
              "peers":{"address":"127.0.0.1","port":2}}])",
          false },
    };
}

// Drives a reducer as a correct shell would, with random requests, and records it.
class Driver
{
public:
    Driver(std::ostream &out, int events)
        : recorder_(options(), [&out](const std::string &bytes) { out << bytes; })
        , reduce_(reduceBy(makeReducer(options())))
    {
        pending_.push_back(TimerFired {});
        for (int i = 0; i < events; ++i)
            step();
    }
    int answered = 0;

private:
    void step()
    {
        Event event;
        now_ = now_ + Duration::millis(static_cast<std::int64_t>(random_() % 20));
        event.now = now_;
        event.wallTime = WallTime::fromMicros(1'796'367'132'000'000 + now_.toMicros());
        event.random = random_();
        if (!pending_.empty() && random_() % 3 != 0) {
            event.body = pending_.front();
            pending_.pop_front();
        } else {
            event.body = randomBody();
        }
        const Effects effects = reduce_(event);
        recorder_.record(event, effects);
        for (const Effect &effect : effects)
            std::visit([this](const auto &kind) { answer(kind); }, effect);
    }
    EventBody randomBody()
    {
        if (random_() % 2 == 0)
            return TimerFired {};
        RequestArrived request;
        request.request = RequestId(++lastRequest_);
        request.service = ServiceId("rota");
        request.method = "GET";
        request.path = "/turns/3";
        request.hasKey = random_() % 8 != 0;
        request.keyDigest = KeyDigest(digest);
        return request;
    }
    template<typename Kind> void answer(const Kind &) { }
    void answer(const AnswerCaller &) { ++answered; }
    void answer(const WatchObjects &watch)
    {
        PlatformChanged changed { watch.after, Revision(5), now_, watch.after == Revision(), {} };
        if (changed.isComplete)
            changed.objects = viewObjects();
        else
            changed.revision = std::max(watch.after, Revision(revision_));
        pending_.push_back(changed);
    }
    void answer(const WriteObject &write)
    {
        const Object object { write.kind, write.name, Revision(++revision_), write.value, false };
        pending_.push_back(PlatformReplied { write.call, PlatformOutcome::Done, object });
        pending_.push_back(PlatformChanged {
            Revision(revision_ - 1), Revision(revision_), now_, false, { object } });
    }
    void answer(const ForwardRequest &forward)
    {
        AttemptEnded ended;
        ended.request = forward.request;
        ended.attempt = forward.attempt;
        ended.outcome = AttemptOutcome::Answered;
        ended.answer = std::make_shared<Answer>(Answer { 200, { { "A", "b" } }, "body" });
        pending_.push_back(ended);
    }

    std::mt19937_64 random_ { 20261204 };
    Recorder recorder_;
    Reduce reduce_;
    std::deque<EventBody> pending_;
    Instant now_ = Instant::fromMicros(5'000'000);
    std::uint64_t lastRequest_ = 0;
    std::uint64_t revision_ = 5;
};

Reduce replayer(const CoreOptions &options)
{
    return reduceBy(makeReducer(options));
}

} // namespace

TEST_GROUP(Recorder) {};

TEST(Recorder, TheSameEventsGiveTheSameEffects)
{
    std::stringstream recording;
    const Driver driver(recording, 3000);
    CHECK(driver.answered > 100);
    const auto report = replay(recording, replayer);
    CHECK_TEXT(report.ok(), report.status().ToString().c_str());
    LONGS_EQUAL(3000, report->events);
    CHECK(report->effects > 3000);
}

TEST(Recorder, ADifferenceNamesItsEvent)
{
    std::stringstream recording;
    const Driver driver(recording, 500);
    const auto report = replay(recording, [](CoreOptions changed) {
        changed.maxQueueLength = 1;
        changed.heartbeatInterval = Duration::millis(100);
        return replayer(changed);
    });
    CHECK(absl::IsInternal(report.status()));
    STRCMP_CONTAINS("event ", report.status().ToString().c_str());
}

TEST(Recorder, ATruncatedOrDamagedRecordingIsDataLoss)
{
    std::stringstream whole;
    const Driver driver(whole, 50);
    const std::string bytes = whole.str();
    std::stringstream cut(bytes.substr(0, bytes.size() - 3));
    CHECK(absl::IsDataLoss(replay(cut, replayer).status()));
    std::stringstream empty("");
    CHECK(absl::IsDataLoss(replay(empty, replayer).status()));
    std::stringstream garbage(std::string(100, '\x7f'));
    CHECK(absl::IsDataLoss(replay(garbage, replayer).status()));
}

TEST(Recorder, EveryKindOfEventRoundTrips)
{
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::Cut;
    ended.answerBegun = false; // differs from the default
    ended.reportedBusySlots = 0;
    RequestArrived request;
    request.clientAddress = 0xffffffff;
    request.contentDigest = UINT64_MAX;
    const EventBody bodies[] = {
        TimerFired {},
        PlatformChanged { Revision(2), Revision(3), Instant::fromMicros(-4), true, viewObjects() },
        PlatformFailed { Instant::never() },
        PlatformReplied { CallId(4), PlatformOutcome::Unreachable, {} },
        PeerMessageReceived { VmId("x"), Incarnation(4), Heartbeat {} },
        PeerLost { VmId("x") },
        request,
        TicketRequested {},
        CallerGone {},
        ended,
        ProbeEnded {},
        ChangeRequested {},
        ShutdownRequested {},
    };
    for (const EventBody &body : bodies) {
        std::stringstream recording;
        Recorder recorder(options(), [&](const std::string &bytes) { recording << bytes; });
        Event event;
        event.body = body;
        recorder.record(event, {});
        std::stringstream again;
        Recorder second(options(), [&](const std::string &bytes) { again << bytes; });
        const auto report = replay(recording, [&](const CoreOptions &) {
            return [&](const Event &read) {
                second.record(read, {});
                return Effects();
            };
        });
        CHECK_TEXT(report.ok(), fmt::format("kind {}", body.index()).c_str());
        CHECK_TEXT(recording.str() == again.str(), fmt::format("kind {}", body.index()).c_str());
    }
}
