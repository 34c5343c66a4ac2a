// A TCP proxy between one gateway and the store, with faults of the path between them.
//
//   StoreProxy proxy(loop, store.endpoint());
//   GatewayProcess gateway(loop, proxy.endpoint());
//   proxy.setFault(LinkFault::SilentToGateway); // until the next setFault()
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bluebellshift/core/roster.h"

namespace bluebellshift::gatewayd::testing {

enum class LinkFault {
    None,
    SilentToStore,   // bytes from the gateway wait until the fault ends
    SilentToGateway, // bytes from the store wait until the fault ends
    Silent,          // both
    Refused,         // connections are reset, also new ones
    Pieces,          // bytes from the store arrive a few at a time
};

const char *toText(LinkFault fault);

class StoreProxy
{
public:
    StoreProxy(boost::asio::io_context &loop, core::Endpoint store);
    ~StoreProxy();
    StoreProxy(const StoreProxy &) = delete;
    StoreProxy &operator=(const StoreProxy &) = delete;

    core::Endpoint endpoint() const;

    void setFault(LinkFault fault);
    LinkFault fault() const { return state_->fault; }
    // Delay of all bytes in each direction.
    void setDelay(std::chrono::milliseconds delay) { state_->delay = delay; }
    // Resets the open connections.
    void cut();
    // Leaves the open connections open and passes nothing more over them.
    void halfOpen();

    // Requests that the gateway has sent, in each second since the proxy was made.
    const std::vector<int> &callsBySecond() const { return state_->calls; }

private:
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;
    // Outlives the proxy while operations are pending.
    struct State
    {
        LinkFault fault = LinkFault::None;
        std::chrono::milliseconds delay { 0 };
        std::chrono::steady_clock::time_point startedAt;
        std::vector<int> calls;
        std::vector<std::weak_ptr<Link>> links;
    };
    using StatePointer = std::shared_ptr<State>;
    enum class Direction { ToStore, ToGateway };

    void accept();
    static void read(const StatePointer &state, const LinkPointer &link, Direction direction);
    static void forward(const StatePointer &state, const LinkPointer &link, Direction direction);
    static void write(const StatePointer &state, const LinkPointer &link, Direction direction,
                      std::size_t begin);
    static bool isHeld(const State &state, Direction direction);
    static void countCalls(State &state, const char *bytes, std::size_t size);

    boost::asio::io_context &loop_;
    const core::Endpoint store_;
    boost::asio::ip::tcp::acceptor acceptor_;
    StatePointer state_;
};

} // namespace bluebellshift::gatewayd::testing
