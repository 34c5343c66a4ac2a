// Checks the contract of platform::PlatformClient for each implementation, with
// each fault of the platform.
#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <thread>

#include "bluebellshift/platform/httpplatformclient.h"
#include "bluebellshift/standin/fakeplatform.h"
#include "bluebellshift/standin/platformserver.h"

using namespace bluebellshift;
using namespace bluebellshift::core;
using namespace bluebellshift::platform;
using namespace bluebellshift::standin;

namespace {

const Duration noWait;
const Duration longWait = Duration::seconds(20);

PlatformServiceOptions fewTombstones()
{
    PlatformServiceOptions options;
    options.maxTombstones = 2;
    return options;
}

// A client under test and the platform that it calls.
class Subject
{
public:
    virtual ~Subject() = default;
    virtual const char *name() const = 0;
    virtual PlatformClient &client() = 0;
    virtual void makeUnreachable() = 0;
    PlatformService service { fewTombstones() };
};

class FakeSubject : public Subject
{
public:
    const char *name() const override { return "FakePlatform"; }
    PlatformClient &client() override { return fake_; }
    void makeUnreachable() override { fake_.setReachable(false); }

private:
    FakePlatform fake_ { service };
};

class HttpSubject : public Subject
{
public:
    HttpSubject()
    {
        CHECK(server_.start().ok());
        HttpPlatformOptions options;
        options.callTimeout = Duration::seconds(10);
        client_ =
            std::make_unique<HttpPlatformClient>(Endpoint { "127.0.0.1", server_.port() }, options);
    }
    const char *name() const override { return "HttpPlatformClient"; }
    PlatformClient &client() override { return *client_; }
    void makeUnreachable() override { server_.stop(); }

private:
    PlatformServer server_ { service, { "127.0.0.1", 0 } };
    std::unique_ptr<HttpPlatformClient> client_;
};

// Runs a test case once for each implementation.
void forEachSubject(const std::function<void(Subject &)> &run)
{
    FakeSubject fake;
    run(fake);
    HttpSubject http;
    run(http);
}

void checkOutcome(PlatformOutcome expected, PlatformOutcome actual, const std::string &text)
{
    LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(actual), text.c_str());
}

Revision mustWrite(PlatformClient &client, const char *name, Revision expected, const char *value)
{
    const WriteResult result = client.write("keys", name, expected, value);
    checkOutcome(PlatformOutcome::Done, result.outcome, name);
    return result.object.version;
}

} // namespace

TEST_GROUP(PlatformContract) {};

TEST(PlatformContract, AConditionalWriteTakesEffectOnlyOnItsVersion)
{
    const struct
    {
        const char *text;
        bool exists;
        int expectedOffset; // of the expected version from the stored one
        PlatformOutcome outcome;
    } cases[] = {
        { "create", false, 0, PlatformOutcome::Done },
        { "create with a version", false, 5, PlatformOutcome::Conflict },
        { "update", true, 0, PlatformOutcome::Done },
        { "update of an older version", true, -1, PlatformOutcome::Conflict },
        { "update of a newer version", true, 1, PlatformOutcome::Conflict },
    };
    forEachSubject([&](Subject &subject) {
        int index = 0;
        for (const auto &c : cases) {
            const std::string text = std::string(subject.name()) + ": " + c.text;
            const std::string name = "team " + std::to_string(index++);
            PlatformClient &client = subject.client();
            const Revision stored =
                c.exists ? mustWrite(client, name.c_str(), Revision(), "old") : Revision();
            const Revision expected(stored.number() + c.expectedOffset);
            const WriteResult result = client.write("keys", name, expected, "new");
            checkOutcome(c.outcome, result.outcome, text);
            const bool isDone = c.outcome == PlatformOutcome::Done;
            const char *value = isDone ? "new" : (c.exists ? "old" : "");
            STRCMP_EQUAL_TEXT(value, result.object.value.c_str(), text.c_str());
            CHECK_TEXT(isDone == (result.object.version > stored), text.c_str());
            STRCMP_EQUAL_TEXT(value, client.read("keys", name).object.value.c_str(), text.c_str());
        }
    });
}

TEST(PlatformContract, ADeletionTakesEffectOnlyOnItsVersion)
{
    forEachSubject([](Subject &subject) {
        PlatformClient &client = subject.client();
        const Revision version = mustWrite(client, "a", Revision(), "x");
        const Revision wrong(version.number() + 1);
        checkOutcome(PlatformOutcome::Conflict, client.remove("keys", "a", wrong).outcome, "wrong");
        const WriteResult removed = client.remove("keys", "a", version);
        checkOutcome(PlatformOutcome::Done, removed.outcome, subject.name());
        CHECK(removed.object.deleted);
        checkOutcome(PlatformOutcome::Missing, client.read("keys", "a").outcome, subject.name());
        const WriteResult again = client.remove("keys", "a", removed.object.version);
        checkOutcome(PlatformOutcome::Conflict, again.outcome, subject.name());
        CHECK(again.object.version == Revision());
        mustWrite(client, "a", Revision(), "y");
    });
}

TEST(PlatformContract, NamesAndValuesAreStoredUnchanged)
{
    const std::string names[] = {
        "plain", "with space", "a/b/c", "100%", "a?b=c&d#e", "Małopolska"
    };
    const std::string values[] = { "", "{\"a\": [1, 2]}", "ąę\n\t\"\\", "&=+%41",
                                   std::string(maxValueBytes, 'x') };
    forEachSubject([&](Subject &subject) {
        for (const std::string &name : names) {
            Revision version;
            for (const std::string &value : values) {
                const WriteResult result = subject.client().write("bundle", name, version, value);
                checkOutcome(PlatformOutcome::Done, result.outcome, name);
                version = result.object.version;
                const Object stored = subject.client().read("bundle", name).object;
                CHECK_TEXT(stored.value == value, name.c_str());
                STRCMP_EQUAL(name.c_str(), stored.name.c_str());
                CHECK(stored.version == version);
            }
        }
    });
}

TEST(PlatformContract, AWatchReturnsChangedObjects)
{
    forEachSubject([](Subject &subject) {
        PlatformClient &client = subject.client();
        const Revision a = mustWrite(client, "a", Revision(), "1");
        const Revision b = mustWrite(client, "b", Revision(), "1");
        mustWrite(client, "a", a, "2");
        const Revision last = client.remove("keys", "b", b).object.version;

        const WatchResult changes = client.watch(b, longWait);
        checkOutcome(PlatformOutcome::Done, changes.outcome, subject.name());
        CHECK(changes.revision == last);
        CHECK_FALSE(changes.isComplete);
        LONGS_EQUAL(2, changes.objects.size());
        STRCMP_EQUAL("2", changes.objects[0].value.c_str());
        CHECK(changes.objects[1].deleted);
        CHECK(changes.objects[1].version == last);

        const WatchResult none = client.watch(last, Duration::millis(5));
        checkOutcome(PlatformOutcome::Done, none.outcome, subject.name());
        CHECK(none.objects.empty());
        CHECK(none.revision == last);
        CHECK(none.waited >= Duration::millis(5));
    });
}

TEST(PlatformContract, AWatchReturnsAllObjectsWhenItsRevisionIsTooOld)
{
    forEachSubject([](Subject &subject) {
        PlatformClient &client = subject.client();
        const Revision first = mustWrite(client, "kept", Revision(), "1");
        for (int i = 0; i < 4; ++i) {
            const Revision version = mustWrite(client, "gone", Revision(), "1");
            mustWrite(client, ("other" + std::to_string(i)).c_str(), Revision(), "1");
            client.remove("keys", "gone", version);
            client.remove("keys", "other" + std::to_string(i), Revision(version.number() + 1));
        }
        for (const WatchResult &all :
             { client.watch(first, longWait), client.watch(Revision(), longWait), client.list() }) {
            checkOutcome(PlatformOutcome::Done, all.outcome, subject.name());
            CHECK_TEXT(all.isComplete, subject.name());
            LONGS_EQUAL(1, all.objects.size());
            STRCMP_EQUAL("kept", all.objects[0].name.c_str());
        }
    });
}

TEST(PlatformContract, AHeldWatchReturnsOnAChange)
{
    forEachSubject([](Subject &subject) {
        const Revision before = mustWrite(subject.client(), "a", Revision(), "1");
        std::thread writer(
            [&] { subject.service.write("keys", "b", Revision(), "from elsewhere"); });
        const WatchResult changes = subject.client().watch(before, longWait);
        writer.join();
        checkOutcome(PlatformOutcome::Done, changes.outcome, subject.name());
        LONGS_EQUAL(1, changes.objects.size());
        STRCMP_EQUAL("from elsewhere", changes.objects[0].value.c_str());
    });
}

TEST(PlatformContract, EachFaultYieldsItsOutcome)
{
    const auto down = [](PlatformFaults &faults) { faults.isDown = true; };
    const auto lost = [](PlatformFaults &faults) { faults.repliesToLose = 1; };
    const auto cut = [](PlatformFaults &faults) { faults.areWatchesCut = true; };
    const auto slow = [](PlatformFaults &faults) { faults.callDelay = Duration::millis(20); };
    const auto stale = [](PlatformFaults &faults) { faults.isReplicaStale = true; };
    const PlatformOutcome done = PlatformOutcome::Done;
    const PlatformOutcome unknown = PlatformOutcome::Unknown;
    const struct
    {
        const char *text;
        std::function<void(PlatformFaults &)> set;
        PlatformOutcome write;
        bool tookEffect;
        PlatformOutcome read;
        const char *readValue;
        PlatformOutcome list;
        PlatformOutcome watch;
    } cases[] = {
        { "down", down, unknown, false, unknown, "", unknown, unknown },
        { "lost reply", lost, unknown, true, done, "new", done, done },
        { "watches cut", cut, done, true, done, "new", done, unknown },
        { "slow", slow, done, true, done, "new", done, done },
        { "stale replica", stale, done, true, done, "old", done, done },
    };
    forEachSubject([&](Subject &subject) {
        for (const auto &c : cases) {
            const std::string text = std::string(subject.name()) + ": " + c.text;
            PlatformClient &client = subject.client();
            const Revision version = mustWrite(client, c.text, Revision(), "old");
            PlatformFaults faults;
            c.set(faults);
            subject.service.setFaults(faults);
            checkOutcome(c.write, client.write("keys", c.text, version, "new").outcome, text);
            const ReadResult read = client.read("keys", c.text);
            checkOutcome(c.read, read.outcome, text);
            STRCMP_EQUAL_TEXT(c.readValue, read.object.value.c_str(), text.c_str());
            checkOutcome(c.list, client.list().outcome, text);
            const WatchResult watch = client.watch(version, noWait);
            checkOutcome(c.watch, watch.outcome, text);
            const bool hasChange = watch.outcome == done && c.tookEffect;
            LONGS_EQUAL_TEXT(hasChange ? 1 : 0, watch.objects.size(), text.c_str());
            subject.service.setFaults(PlatformFaults());
            const std::string stored = client.read("keys", c.text).object.value;
            STRCMP_EQUAL_TEXT(c.tookEffect ? "new" : "old", stored.c_str(), text.c_str());
        }
    });
}

TEST(PlatformContract, NothingTakesEffectWhenThePlatformIsUnreachable)
{
    forEachSubject([](Subject &subject) {
        subject.makeUnreachable();
        PlatformClient &client = subject.client();
        const PlatformOutcome outcomes[] = {
            client.read("keys", "a").outcome,
            client.write("keys", "a", Revision(), "1").outcome,
            client.remove("keys", "a", Revision(1)).outcome,
            client.watch(Revision(), noWait).outcome,
            client.list().outcome,
        };
        for (const PlatformOutcome outcome : outcomes)
            checkOutcome(PlatformOutcome::Unreachable, outcome, subject.name());
        LONGS_EQUAL(0, subject.service.counts().writes);
    });
}

TEST(PlatformContract, AValueThatIsTooLargeIsNotSent)
{
    forEachSubject([](Subject &subject) {
        const std::string value(maxValueBytes + 1, 'x');
        const WriteResult result = subject.client().write("keys", "a", Revision(), value);
        checkOutcome(PlatformOutcome::Unreachable, result.outcome, subject.name());
        LONGS_EQUAL(0, subject.service.counts().writes);
    });
}

TEST(PlatformContract, AWriteMayTakeEffectAfterItsClientTimedOut)
{
    PlatformService service(fewTombstones());
    PlatformServer server(service, { "127.0.0.1", 0 });
    CHECK(server.start().ok());
    HttpPlatformOptions options;
    options.callTimeout = Duration::millis(20);
    HttpPlatformClient client({ "127.0.0.1", server.port() }, options);
    PlatformFaults faults;
    faults.callDelay = Duration::millis(150);
    service.setFaults(faults);
    checkOutcome(PlatformOutcome::Unknown, client.write("keys", "a", Revision(), "late").outcome,
                 "slow");
    service.setFaults(PlatformFaults());
    const std::optional<WatchReply> reply = service.watch(Revision(), longWait);
    CHECK(reply.has_value());
    LONGS_EQUAL(1, reply->changes.objects.size());
    STRCMP_EQUAL("late", reply->changes.objects[0].value.c_str());
}

TEST(PlatformContract, TheVmListIsPublishedAfterItsLag)
{
    PlatformServiceOptions options;
    options.vmListLag = Duration::millis(30);
    PlatformService service(options);
    FakePlatform client(service);
    service.publishVms("[1]");
    checkOutcome(PlatformOutcome::Missing, client.read(kind::vms, "list").outcome,
                 "within the lag");
    const WatchResult changes = client.watch(Revision(), longWait);
    LONGS_EQUAL(1, changes.objects.size());
    STRCMP_EQUAL("[1]", changes.objects[0].value.c_str());

    PlatformFaults faults;
    faults.isVmListStale = true;
    service.setFaults(faults);
    service.publishVms("[1, 2]");
    const WatchResult held = client.watch(changes.revision, Duration::millis(60));
    CHECK_TEXT(held.objects.empty(), "the list was withheld");
    service.setFaults(PlatformFaults());
    const WatchResult later = client.watch(changes.revision, longWait);
    LONGS_EQUAL(1, later.objects.size());
    STRCMP_EQUAL("[1, 2]", later.objects[0].value.c_str());
}

TEST(PlatformContract, CallsAreCountedByKind)
{
    forEachSubject([](Subject &subject) {
        PlatformClient &client = subject.client();
        const Revision version = mustWrite(client, "a", Revision(), "1");
        client.write("keys", "a", Revision(), "2");
        client.read("keys", "a");
        client.list();
        client.watch(Revision(), noWait);
        client.remove("keys", "a", version);
        const PlatformCounts counts = subject.service.counts();
        LONGS_EQUAL(3, counts.writes);
        LONGS_EQUAL(1, counts.conflicts);
        LONGS_EQUAL(1, counts.reads);
        LONGS_EQUAL(1, counts.lists);
        LONGS_EQUAL(1, counts.watches);
    });
}
