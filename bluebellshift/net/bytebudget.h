// The bytes that messages in memory may take together: bodies and heads of callers' requests,
// copies on their way to a target, and responses of targets. Messages of another kind, such as
// the store's responses, have a budget of their own, so that callers can't use it up.
//
//   ByteBudget budget(40 * 1024 * 1024);
//   ByteHolding holding(budget);
//   if (!holding.resize(body.size()))
//       ... // refuse the request, or end the response
//
// A holding of more than smallHolding bytes may grow only while at least a quarter of the
// budget is free. A few large or endless bodies then never take the room of the many small
// messages. Not thread-safe.
#pragma once

#include <cstddef>

namespace bluebellshift::net {

class ByteBudget
{
public:
    static constexpr std::size_t smallHolding = 64 * 1024;
    static constexpr double largeHoldingsShare = 0.75; // of the budget

    // `largestShare` is the part of the budget that one message may take.
    explicit ByteBudget(std::size_t limit, double largestShare = 0.25)
        : limit_(limit)
        , largestHolding_(static_cast<std::size_t>(static_cast<double>(limit) * largestShare))
    {
    }
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }
    // The largest message that is accepted at all.
    std::size_t largestHolding() const { return largestHolding_; }

private:
    friend class ByteHolding;

    const std::size_t limit_;
    const std::size_t largestHolding_;
    std::size_t used_ = 0;
};

// The bytes of one message; released when it is destroyed.
class ByteHolding
{
public:
    explicit ByteHolding(ByteBudget &budget)
        : budget_(budget)
    {
    }
    ~ByteHolding() { budget_.used_ -= bytes_; }
    ByteHolding(const ByteHolding &) = delete;
    ByteHolding &operator=(const ByteHolding &) = delete;

    // Returns false and changes nothing if the budget has no room. Never fails to shrink.
    bool resize(std::size_t bytes);
    // For bytes that are in memory already: exceeds the budget if it must.
    void set(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

private:
    ByteBudget &budget_;
    std::size_t bytes_ = 0;
};

} // namespace bluebellshift::net
