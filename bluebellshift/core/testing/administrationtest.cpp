#include "bluebellshift/core/administration.h"

#include <deque>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace bluebellshift::core;
using nlohmann::json;

namespace {

// A store with conditional writes that records every value of each object.
class Store
{
public:
    PlatformReplied write(const WriteObject &call)
    {
        const std::string key = call.kind + "/" + call.name;
        Object &object = objects_[key];
        object.kind = call.kind;
        object.name = call.name;
        PlatformReplied reply { call.call, PlatformOutcome::Conflict, object };
        if (object.version != call.expected)
            return reply;
        object.version = Revision(++revision_);
        object.value = call.value;
        history[key].push_back(call.value);
        reply.outcome = PlatformOutcome::Done;
        reply.object = object;
        return reply;
    }
    Object read(const std::string &key) { return objects_[key]; }
    json audit()
    {
        for (const auto &[key, object] : objects_) {
            if (object.kind == kind::audit)
                return json::parse(object.value);
        }
        return {};
    }
    std::map<std::string, std::vector<std::string>> history;

private:
    std::map<std::string, Object> objects_;
    std::uint64_t revision_ = 100;
};

template<typename T> const T *findEffect(const Effects &effects)
{
    for (const Effect &effect : effects) {
        if (const T *found = std::get_if<T>(&effect))
            return found;
    }
    return nullptr;
}

CoreOptions options(const char *vm)
{
    CoreOptions options;
    options.vm = VmId(vm);
    options.incarnation = Incarnation(7);
    return options;
}

ChangeRequested makeChange(const std::string &value, Revision expected)
{
    ChangeRequested change;
    change.request = RequestId(1);
    change.by = OperatorId("amina");
    change.kind = kind::keys;
    change.name = "multan";
    change.expected = expected;
    change.value = value;
    change.summary = "gave a key";
    change.at = WallTime::fromMicros(1'796'367'132'000'000);
    return change;
}

} // namespace

TEST_GROUP(Administration)
{
    Store store;
    std::uint64_t lastCall = 0;
    Administration administration { options("a-1"), [this] { return CallId(++lastCall); } };
    Instant now = Instant::fromMicros(1'000'000);
    std::deque<WriteObject> writes; // sent, not yet answered
    std::vector<ChangeEnded> ended;
    std::vector<int> loggedEvents;
    std::size_t writeCount = 0;

    void collect(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *write = std::get_if<WriteObject>(&effect)) {
                writes.push_back(*write);
                ++writeCount;
            } else if (const auto *end = std::get_if<ChangeEnded>(&effect)) {
                ended.push_back(*end);
            } else if (const auto *record = std::get_if<WriteLog>(&effect)) {
                loggedEvents.push_back(record->record.event.number);
            }
        }
    }
    void requestChange(const std::string &value, std::uint64_t expected = 0)
    {
        collect(administration.onChangeRequested(makeChange(value, Revision(expected)), now, 5));
    }
    // Applies the oldest write to the store if `takesEffect` and delivers the
    // store's reply, or `forcedOutcome` instead of it.
    void replyToOldestWrite(PlatformOutcome forcedOutcome = PlatformOutcome::Done,
                            bool takesEffect = true)
    {
        const WriteObject call = writes.front();
        writes.pop_front();
        PlatformReplied answer { call.call, forcedOutcome, {} };
        if (takesEffect) {
            const PlatformReplied stored = store.write(call);
            if (forcedOutcome == PlatformOutcome::Done)
                answer = stored;
        }
        collect(administration.onPlatformReplied(answer, now, 5));
    }
    void advance(Duration duration)
    {
        now = now + duration;
        collect(administration.onTimer(now, 5));
    }
    // Another operator reads the stored object and overwrites it.
    void overwrite(const std::string &change, bool keepsChangeIds)
    {
        const Object seen = store.read("keys/multan");
        json value = { { "digests", json::array() }, { "change", change } };
        if (keepsChangeIds)
            value["replaced"] = { json::parse(seen.value)["change"] };
        store.write({ CallId(), kind::keys, "multan", seen.version, value.dump() });
    }
};

TEST(Administration, ChangeTakesThreeWritesAndIsAudited)
{
    requestChange(R"({"digests":[]})");
    replyToOldestWrite();
    CHECK(store.audit()["outcome"] == "pending");
    CHECK(store.read("keys/multan").version == Revision());
    replyToOldestWrite();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].outcome == PlatformOutcome::Done);
    CHECK(ended[0].object.version == store.read("keys/multan").version);
    replyToOldestWrite();
    const json audit = store.audit();
    CHECK(audit["outcome"] == "accepted" && audit["by"] == "amina");
    CHECK(audit["kind"] == "keys" && audit["name"] == "multan");
    CHECK(audit["summary"] == "gave a key");
    CHECK(audit["version"] == ended[0].object.version.number());
    CHECK(audit["change"] == json::parse(store.read("keys/multan").value)["change"]);
    LONGS_EQUAL(3, writeCount);
    LONGS_EQUAL(0, administration.pendingCount());
    LONGS_EQUAL(log::changeAccepted.number, loggedEvents.at(0));
}

TEST(Administration, LostRaceReportsConflictWithStoredObject)
{
    store.write({ CallId(), kind::keys, "multan", Revision(), R"({"digests":[]})" });
    requestChange(R"({"digests":["x"]})");
    replyToOldestWrite();
    replyToOldestWrite();
    CHECK(ended.at(0).outcome == PlatformOutcome::Conflict);
    STRCMP_EQUAL(R"({"digests":[]})", ended[0].object.value.c_str());
    replyToOldestWrite();
    CHECK(store.audit()["outcome"] == "lost");
}

TEST(Administration, LostReplyIsResolvedByRepeatingTheWrite)
{
    const struct
    {
        bool takesEffect;
        PlatformOutcome outcome;
    } cases[] = { { true, PlatformOutcome::Unknown },
                  { false, PlatformOutcome::Unknown },
                  { false, PlatformOutcome::Unreachable } };
    std::uint64_t expected = 0;
    for (const auto &c : cases) {
        ended.clear();
        requestChange(R"({"digests":[]})", expected);
        replyToOldestWrite();
        replyToOldestWrite(c.outcome, c.takesEffect);
        LONGS_EQUAL(0, ended.size());
        LONGS_EQUAL(0, writes.size());
        advance(Duration::seconds(1));
        replyToOldestWrite();
        CHECK(ended.at(0).outcome == PlatformOutcome::Done);
        replyToOldestWrite();
        expected = store.read("keys/multan").version.number();
    }
    LONGS_EQUAL(3, store.history["keys/multan"].size());
}

TEST(Administration, ChangeIdsRevealAnOverwriteAfterALostReply)
{
    const struct
    {
        bool takesEffect;    // of the lost write
        bool keepsChangeIds; // of the operator who then overwrote
        PlatformOutcome outcome;
        const char *audit;
    } cases[] = { { true, true, PlatformOutcome::Done, "accepted" },
                  { true, false, PlatformOutcome::Unknown, "unresolved" },
                  { false, true, PlatformOutcome::Conflict, "lost" },
                  { false, false, PlatformOutcome::Unknown, "unresolved" } };
    for (const auto &c : cases) {
        store = Store();
        ended.clear();
        store.write({ CallId(), kind::keys, "multan", Revision(), R"({"change":"first"})" });
        requestChange(R"({"change":"first","digests":["x"]})", 101);
        replyToOldestWrite();
        replyToOldestWrite(PlatformOutcome::Unknown, c.takesEffect);
        overwrite("other", c.keepsChangeIds);
        advance(Duration::seconds(1));
        replyToOldestWrite();
        CHECK(ended.at(0).outcome == c.outcome);
        replyToOldestWrite();
        CHECK(store.audit()["outcome"] == c.audit);
    }
}

TEST(Administration, EqualValueOfAnotherOperatorIsNotCountedAsOwnWrite)
{
    // Both operators withdraw the last key; the first write is lost before it takes effect.
    requestChange(R"({"digests":[]})");
    replyToOldestWrite();
    replyToOldestWrite(PlatformOutcome::Unknown, false);
    store.write({ CallId(), kind::keys, "multan", Revision(), R"({"change":"o","digests":[]})" });
    advance(Duration::seconds(1));
    replyToOldestWrite();
    CHECK(ended.at(0).outcome == PlatformOutcome::Unknown);
}

TEST(Administration, NothingIsWrittenWithoutAuditWhilePlatformIsDown)
{
    requestChange(R"({"digests":[]})");
    for (int i = 0; i < 100 && ended.empty(); ++i) {
        if (writes.empty())
            advance(Duration::seconds(1));
        else
            replyToOldestWrite(PlatformOutcome::Unreachable, false);
    }
    CHECK(ended.at(0).outcome == PlatformOutcome::Unreachable);
    LONGS_EQUAL(0, store.history.size());
    LONGS_EQUAL(0, administration.pendingCount());
    CHECK(writeCount <= 8);
}

TEST(Administration, UnresolvedChangeEndsUnknownAfterTimeout)
{
    requestChange(R"({"digests":[]})");
    replyToOldestWrite();
    for (int i = 0; i < 100 && ended.empty(); ++i) {
        if (writes.empty())
            advance(Duration::seconds(1));
        else
            replyToOldestWrite(PlatformOutcome::Unknown, i == 0);
    }
    CHECK(ended.at(0).outcome == PlatformOutcome::Unknown);
    LONGS_EQUAL(log::changeUnresolved.number, loggedEvents.at(0));
    replyToOldestWrite();
    CHECK(store.audit()["outcome"] == "unresolved");
}

TEST(Administration, UnfinishedAuditIsLogged)
{
    requestChange(R"({"digests":[]})");
    replyToOldestWrite();
    replyToOldestWrite();
    for (int i = 0; i < 200 && administration.pendingCount() > 0; ++i) {
        if (writes.empty())
            advance(Duration::seconds(5));
        else
            replyToOldestWrite(PlatformOutcome::Unreachable, false);
    }
    LONGS_EQUAL(0, administration.pendingCount());
    LONGS_EQUAL(log::auditUnfinished.number, loggedEvents.back());
    CHECK(store.audit()["outcome"] == "pending");
    CHECK(writeCount <= 25);
}

TEST(Administration, PendingChangesAreLimited)
{
    for (std::size_t i = 0; i <= maxPendingChanges; ++i)
        requestChange("{}");
    LONGS_EQUAL(maxPendingChanges, writes.size());
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].outcome == PlatformOutcome::Unreachable);
}

TEST(Administration, ValuesOfOtherKindsAreWrittenUnchanged)
{
    ChangeRequested change = makeChange("[1, 2]", Revision());
    change.kind = kind::targets;
    collect(administration.onChangeRequested(change, now, 5));
    replyToOldestWrite();
    STRCMP_EQUAL("[1, 2]", writes.front().value.c_str());
}

// Operators of two VMs change one object in a store that loses, delays and
// rejects writes. Each reported outcome is compared with the object's history.
TEST(Administration, ReportedOutcomesAreTrueUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        std::mt19937_64 random(seed);
        Store shared;
        std::uint64_t calls = 0;
        std::vector<std::unique_ptr<Administration>> vms;
        for (const char *vm : { "a-1", "b-1" })
            vms.push_back(std::make_unique<Administration>(options(vm),
                                                           [&calls] { return CallId(++calls); }));
        struct Pending
        {
            std::size_t vm;
            WriteObject call;
        };
        std::vector<Pending> inFlight;
        std::vector<WriteObject> delayedWrites;    // reported Unknown, not yet applied
        std::map<std::uint64_t, ChangeEnded> ends; // by request
        std::map<std::uint64_t, std::set<std::string>> values;
        const auto collectFrom = [&](std::size_t vm, const Effects &effects) {
            for (const Effect &effect : effects) {
                if (const auto *write = std::get_if<WriteObject>(&effect))
                    inFlight.push_back({ vm, *write });
                if (const auto *end = std::get_if<ChangeEnded>(&effect)) {
                    CHECK(ends.count(end->request.number()) == 0);
                    ends[end->request.number()] = *end;
                }
            }
        };
        Instant clock = Instant::fromMicros(1);
        for (std::uint64_t step = 0; step < 160; ++step) {
            const std::size_t vm = random() % 2;
            if (step < 60 && step % 10 == 0) {
                const Object seen = shared.read("keys/multan");
                json value = seen.value.empty() ? json::object() : json::parse(seen.value);
                value["digests"] = { step };
                ChangeRequested change = makeChange(value.dump(), seen.version);
                change.request = RequestId(step + 1);
                collectFrom(vm, vms[vm]->onChangeRequested(change, clock, random()));
            }
            if (!delayedWrites.empty() && random() % 4 == 0) {
                shared.write(delayedWrites.back());
                delayedWrites.pop_back();
            }
            if (!inFlight.empty() && random() % 3 != 0) {
                const std::size_t index = random() % inFlight.size();
                const Pending pending = inFlight[index];
                inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
                PlatformReplied answer { pending.call.call, PlatformOutcome::Unknown, {} };
                switch (random() % 6) {
                case 0:
                    answer.outcome = PlatformOutcome::Unreachable;
                    break;
                case 1:
                    delayedWrites.push_back(pending.call);
                    break;
                case 2:
                    shared.write(pending.call);
                    break;
                default:
                    answer = shared.write(pending.call);
                }
                collectFrom(pending.vm,
                            vms[pending.vm]->onPlatformReplied(answer, clock, random()));
            }
            clock = clock + Duration::millis(static_cast<std::int64_t>(random() % 400));
            for (std::size_t i = 0; i < vms.size(); ++i)
                collectFrom(i, vms[i]->onTimer(clock, random()));
        }
        for (const WriteObject &call : delayedWrites)
            shared.write(call);
        for (const auto &[request, end] : ends) {
            bool tookEffect = false;
            for (const std::string &value : shared.history["keys/multan"])
                tookEffect |= json::parse(value)["digests"] == json::array({ request - 1 });
            if (end.outcome == PlatformOutcome::Unknown)
                continue;
            const bool reportedDone = end.outcome == PlatformOutcome::Done;
            CHECK_TEXT(reportedDone == tookEffect,
                       fmt::format("seed {} request {}", seed, request).c_str());
        }
    }
}
