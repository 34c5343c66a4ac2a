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

// A conditional store that remembers every value an object ever had.
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

ChangeRequested asked(const std::string &value, Revision expected)
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
    std::deque<WriteObject> writes; // sent and not yet replied to
    std::vector<ChangeEnded> ended;
    std::vector<int> logged;
    std::size_t sent = 0;

    void take(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *write = std::get_if<WriteObject>(&effect)) {
                writes.push_back(*write);
                ++sent;
            } else if (const auto *end = std::get_if<ChangeEnded>(&effect)) {
                ended.push_back(*end);
            } else if (const auto *record = std::get_if<WriteLog>(&effect)) {
                logged.push_back(record->record.event.number);
            }
        }
    }
    void ask(const std::string &value, std::uint64_t expected = 0)
    {
        take(administration.onChangeRequested(asked(value, Revision(expected)), now, 5));
    }
    // Lets the store take the oldest write and hands on its reply, or an
    // outcome in its place.
    void reply(PlatformOutcome instead = PlatformOutcome::Done, bool takesEffect = true)
    {
        const WriteObject call = writes.front();
        writes.pop_front();
        PlatformReplied answer { call.call, instead, {} };
        if (takesEffect) {
            const PlatformReplied real = store.write(call);
            if (instead == PlatformOutcome::Done)
                answer = real;
        }
        take(administration.onPlatformReplied(answer, now, 5));
    }
    void wait(Duration duration)
    {
        now = now + duration;
        take(administration.onTimer(now, 5));
    }
    // Another operator writes over what is stored, having seen it.
    void overwrite(const std::string &change, bool keepsMarks)
    {
        const Object seen = store.read("keys/multan");
        json value = { { "digests", json::array() }, { "change", change } };
        if (keepsMarks)
            value["replaced"] = { json::parse(seen.value)["change"] };
        store.write({ CallId(), kind::keys, "multan", seen.version, value.dump() });
    }
};

TEST(Administration, AChangeIsThreeWritesAndIsAudited)
{
    ask(R"({"digests":[]})");
    reply();
    CHECK(store.audit()["outcome"] == "pending");
    CHECK(store.read("keys/multan").version == Revision());
    reply();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].outcome == PlatformOutcome::Done);
    CHECK(ended[0].object.version == store.read("keys/multan").version);
    reply();
    const json audit = store.audit();
    CHECK(audit["outcome"] == "accepted" && audit["by"] == "amina");
    CHECK(audit["kind"] == "keys" && audit["name"] == "multan");
    CHECK(audit["summary"] == "gave a key");
    CHECK(audit["version"] == ended[0].object.version.number());
    CHECK(audit["change"] == json::parse(store.read("keys/multan").value)["change"]);
    LONGS_EQUAL(3, sent);
    LONGS_EQUAL(0, administration.pendingCount());
    LONGS_EQUAL(log::changeAccepted.number, logged.at(0));
}

TEST(Administration, ALostRaceIsAConflictWithWhatIsStored)
{
    store.write({ CallId(), kind::keys, "multan", Revision(), R"({"digests":[]})" });
    ask(R"({"digests":["x"]})");
    reply();
    reply();
    CHECK(ended.at(0).outcome == PlatformOutcome::Conflict);
    STRCMP_EQUAL(R"({"digests":[]})", ended[0].object.value.c_str());
    reply();
    CHECK(store.audit()["outcome"] == "lost");
}

TEST(Administration, ALostReplyIsResolvedByTheSameWrite)
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
        ask(R"({"digests":[]})", expected);
        reply();
        reply(c.outcome, c.takesEffect);
        LONGS_EQUAL(0, ended.size());
        LONGS_EQUAL(0, writes.size());
        wait(Duration::seconds(1));
        reply();
        CHECK(ended.at(0).outcome == PlatformOutcome::Done);
        reply();
        expected = store.read("keys/multan").version.number();
    }
    LONGS_EQUAL(3, store.history["keys/multan"].size());
}

TEST(Administration, AnOverwriteAfterALostReplyIsToldByItsMarks)
{
    const struct
    {
        bool takesEffect; // of the lost write
        bool keepsMarks;  // of the operator who then overwrote
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
        ask(R"({"change":"first","digests":["x"]})", 101);
        reply();
        reply(PlatformOutcome::Unknown, c.takesEffect);
        overwrite("other", c.keepsMarks);
        wait(Duration::seconds(1));
        reply();
        CHECK(ended.at(0).outcome == c.outcome);
        reply();
        CHECK(store.audit()["outcome"] == c.audit);
    }
}

TEST(Administration, AnotherOperatorsEqualValueIsNotTakenForOnesOwn)
{
    // Both withdraw the last key; the first reply is lost before it took effect.
    ask(R"({"digests":[]})");
    reply();
    reply(PlatformOutcome::Unknown, false);
    store.write({ CallId(), kind::keys, "multan", Revision(), R"({"change":"o","digests":[]})" });
    wait(Duration::seconds(1));
    reply();
    CHECK(ended.at(0).outcome == PlatformOutcome::Unknown);
}

TEST(Administration, WithThePlatformDownNothingIsWrittenWithoutAnAudit)
{
    ask(R"({"digests":[]})");
    for (int i = 0; i < 100 && ended.empty(); ++i) {
        if (writes.empty())
            wait(Duration::seconds(1));
        else
            reply(PlatformOutcome::Unreachable, false);
    }
    CHECK(ended.at(0).outcome == PlatformOutcome::Unreachable);
    LONGS_EQUAL(0, store.history.size());
    LONGS_EQUAL(0, administration.pendingCount());
    CHECK(sent <= 8);
}

TEST(Administration, WhatCannotBeResolvedInTimeIsUnknown)
{
    ask(R"({"digests":[]})");
    reply();
    for (int i = 0; i < 100 && ended.empty(); ++i) {
        if (writes.empty())
            wait(Duration::seconds(1));
        else
            reply(PlatformOutcome::Unknown, i == 0);
    }
    CHECK(ended.at(0).outcome == PlatformOutcome::Unknown);
    LONGS_EQUAL(log::changeUnresolved.number, logged.at(0));
    reply();
    CHECK(store.audit()["outcome"] == "unresolved");
}

TEST(Administration, AnAuditThatCannotBeFinishedIsLogged)
{
    ask(R"({"digests":[]})");
    reply();
    reply();
    for (int i = 0; i < 200 && administration.pendingCount() > 0; ++i) {
        if (writes.empty())
            wait(Duration::seconds(5));
        else
            reply(PlatformOutcome::Unreachable, false);
    }
    LONGS_EQUAL(0, administration.pendingCount());
    LONGS_EQUAL(log::auditUnfinished.number, logged.back());
    CHECK(store.audit()["outcome"] == "pending");
    CHECK(sent <= 25);
}

TEST(Administration, PendingChangesAreLimited)
{
    for (std::size_t i = 0; i <= maxPendingChanges; ++i)
        ask("{}");
    LONGS_EQUAL(maxPendingChanges, writes.size());
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].outcome == PlatformOutcome::Unreachable);
}

TEST(Administration, ValuesOfOtherKindsAreWrittenAsTheyAre)
{
    ChangeRequested change = asked("[1, 2]", Revision());
    change.kind = kind::targets;
    take(administration.onChangeRequested(change, now, 5));
    reply();
    STRCMP_EQUAL("[1, 2]", writes.front().value.c_str());
}

// Two VMs' operators change one object over a store that loses, delays and
// refuses; what each was told is held against the object's whole history.
TEST(Administration, RandomFaultsNeverMakeItLie)
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
        std::vector<Pending> underWay;
        std::vector<WriteObject> late;             // told Unknown, not yet taken
        std::map<std::uint64_t, ChangeEnded> ends; // by request
        std::map<std::uint64_t, std::set<std::string>> values;
        const auto takeFrom = [&](std::size_t vm, const Effects &effects) {
            for (const Effect &effect : effects) {
                if (const auto *write = std::get_if<WriteObject>(&effect))
                    underWay.push_back({ vm, *write });
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
                ChangeRequested change = asked(value.dump(), seen.version);
                change.request = RequestId(step + 1);
                takeFrom(vm, vms[vm]->onChangeRequested(change, clock, random()));
            }
            if (!late.empty() && random() % 4 == 0) {
                shared.write(late.back());
                late.pop_back();
            }
            if (!underWay.empty() && random() % 3 != 0) {
                const std::size_t index = random() % underWay.size();
                const Pending pending = underWay[index];
                underWay.erase(underWay.begin() + static_cast<std::ptrdiff_t>(index));
                PlatformReplied answer { pending.call.call, PlatformOutcome::Unknown, {} };
                switch (random() % 6) {
                case 0:
                    answer.outcome = PlatformOutcome::Unreachable;
                    break;
                case 1:
                    late.push_back(pending.call);
                    break;
                case 2:
                    shared.write(pending.call);
                    break;
                default:
                    answer = shared.write(pending.call);
                }
                takeFrom(pending.vm, vms[pending.vm]->onPlatformReplied(answer, clock, random()));
            }
            clock = clock + Duration::millis(static_cast<std::int64_t>(random() % 400));
            for (std::size_t i = 0; i < vms.size(); ++i)
                takeFrom(i, vms[i]->onTimer(clock, random()));
        }
        for (const WriteObject &call : late)
            shared.write(call);
        for (const auto &[request, end] : ends) {
            bool tookEffect = false;
            for (const std::string &value : shared.history["keys/multan"])
                tookEffect |= json::parse(value)["digests"] == json::array({ request - 1 });
            if (end.outcome == PlatformOutcome::Unknown)
                continue;
            const bool saysDone = end.outcome == PlatformOutcome::Done;
            CHECK_TEXT(saysDone == tookEffect,
                       fmt::format("seed {} request {}", seed, request).c_str());
        }
    }
}
