#include "bluebellshift/net/responsequeue.h"

#include <algorithm>

namespace bluebellshift::net {

void ResponseQueue::push(std::string &&bytes)
{
    holding_.set(holding_.bytes() + bytes.size());
    responses_.push_back(std::move(bytes));
}

std::vector<boost::asio::const_buffer> ResponseQueue::buffers() const
{
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(std::min(responses_.size(), maxBuffers));
    for (const std::string &response : responses_) {
        if (buffers.size() == maxBuffers)
            break;
        buffers.push_back(boost::asio::buffer(response));
    }
    if (!buffers.empty())
        buffers.front() += writtenOfFirst_;
    return buffers;
}

bool ResponseQueue::consume(std::size_t bytes)
{
    bool isAnyComplete = false;
    writtenOfFirst_ += bytes;
    while (!responses_.empty() && writtenOfFirst_ >= responses_.front().size()) {
        const std::size_t size = responses_.front().size();
        writtenOfFirst_ -= size;
        holding_.set(holding_.bytes() - size);
        responses_.pop_front();
        isAnyComplete = true;
    }
    return isAnyComplete;
}

void ResponseQueue::clear()
{
    responses_.clear();
    writtenOfFirst_ = 0;
    holding_.set(0);
}

} // namespace bluebellshift::net
