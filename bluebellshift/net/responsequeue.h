// The responses of one connection that are being written, in order. Their bytes count against a
// budget until they are written.
//
//   ResponseQueue queue(budget);
//   queue.push(std::move(bytes));
//   socket.async_write_some(queue.buffers(), ...); // then queue.consume(size)
#pragma once

#include <deque>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>

#include "bluebellshift/net/bytebudget.h"

namespace bluebellshift::net {

class ResponseQueue
{
public:
    static constexpr std::size_t maxBuffers = 16; // per write call

    explicit ResponseQueue(ByteBudget &budget)
        : holding_(budget)
    {
    }

    void push(std::string &&bytes);
    // The next bytes to write; valid until the next call of consume().
    std::vector<boost::asio::const_buffer> buffers() const;
    // Removes bytes that are written; returns whether a response is written completely.
    bool consume(std::size_t bytes);
    void clear();

    bool isEmpty() const { return responses_.empty(); }
    std::size_t bytes() const { return holding_.bytes(); }

private:
    std::deque<std::string> responses_;
    std::size_t writtenOfFirst_ = 0;
    ByteHolding holding_;
};

} // namespace bluebellshift::net
