// Guards against responses that are held without counting against the budget, and against bytes
// written twice or out of order.
#include "bluebellshift/net/responsequeue.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::net;

namespace {

std::string textOf(const std::vector<boost::asio::const_buffer> &buffers)
{
    std::string text;
    for (const auto &buffer : buffers)
        text.append(static_cast<const char *>(buffer.data()), buffer.size());
    return text;
}

} // namespace

TEST_GROUP(ResponseQueue) {};

// Random pushes and partial writes, against a plain string.
TEST(ResponseQueue, FollowsAPlainString)
{
    std::mt19937 random(11);
    ByteBudget budget(1'000'000);
    {
        ResponseQueue queue(budget);
        std::string expected;
        char next = 'a';
        for (int step = 0; step < 20'000; ++step) {
            if (random() % 3 != 0 && expected.size() < 4000) {
                const std::string response(1 + random() % 50, next);
                next = next == 'z' ? 'a' : static_cast<char>(next + 1);
                expected += response;
                queue.push(std::string(response));
            } else {
                const std::string text = textOf(queue.buffers());
                CHECK(expected.compare(0, text.size(), text) == 0);
                CHECK_EQUAL(expected.empty(), text.empty());
                const std::size_t written = text.empty() ? 0 : 1 + random() % text.size();
                queue.consume(written);
                expected.erase(0, written);
            }
            // The first response counts whole until it is written.
            CHECK(queue.bytes() >= expected.size() && queue.bytes() < expected.size() + 50);
            CHECK_EQUAL(queue.bytes(), budget.used());
            CHECK_EQUAL(expected.empty(), queue.isEmpty());
        }
        queue.clear();
        CHECK_EQUAL(0U, budget.used());
        queue.push("abc");
    }
    CHECK_EQUAL(0U, budget.used());
}
