#include "bluebellshift/gatewayd/testing/storeproxy.h"

#include <algorithm>
#include <string_view>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace bluebellshift::gatewayd::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds heldCheckInterval { 10 };
constexpr std::size_t pieceBytes = 40;
constexpr std::chrono::milliseconds pieceInterval { 60 };

tcp::endpoint anyPort()
{
    return { boost::asio::ip::make_address("127.0.0.1"), 0 };
}

void reset(tcp::socket &socket)
{
    error_code ignored; // a socket that is closed already needs no reset
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

// One end of a connection, with the bytes that it sent and that are on their way.
struct StoreProxy::Link
{
    struct End
    {
        explicit End(tcp::socket connected)
            : socket(std::move(connected))
            , timer(socket.get_executor())
        {
        }
        tcp::socket socket;
        boost::asio::steady_timer timer;
        char buffer[16384];
        std::size_t size = 0;
    };
    Link(tcp::socket accepted, tcp::socket toStore)
        : gateway(std::move(accepted))
        , store(std::move(toStore))
    {
    }
    End &from(Direction direction) { return direction == Direction::ToStore ? gateway : store; }
    End &to(Direction direction) { return direction == Direction::ToStore ? store : gateway; }
    void close()
    {
        error_code ignored; // one end may be closed already
        gateway.socket.close(ignored);
        store.socket.close(ignored);
        gateway.timer.cancel();
        store.timer.cancel();
    }

    End gateway;
    End store;
    bool isDead = false; // open, but nothing passes any more
};

const char *toText(LinkFault fault)
{
    switch (fault) {
    case LinkFault::None:
        return "none";
    case LinkFault::SilentToStore:
        return "silent to the store";
    case LinkFault::SilentToGateway:
        return "silent to the gateway";
    case LinkFault::Silent:
        return "silent";
    case LinkFault::Refused:
        return "refused";
    case LinkFault::Pieces:
        return "pieces";
    }
    return "unknown";
}

StoreProxy::StoreProxy(boost::asio::io_context &loop, core::Endpoint store)
    : loop_(loop)
    , store_(std::move(store))
    , acceptor_(loop, anyPort())
    , state_(std::make_shared<State>())
{
    state_->startedAt = std::chrono::steady_clock::now();
    accept();
}

StoreProxy::~StoreProxy()
{
    for (const auto &open : state_->links) {
        if (const LinkPointer link = open.lock())
            link->close();
    }
}

core::Endpoint StoreProxy::endpoint() const
{
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

void StoreProxy::setFault(LinkFault fault)
{
    state_->fault = fault;
    if (fault == LinkFault::Refused)
        cut();
}

void StoreProxy::cut()
{
    for (const auto &open : std::exchange(state_->links, {})) {
        const LinkPointer link = open.lock();
        if (!link)
            continue;
        reset(link->gateway.socket);
        link->close();
    }
}

void StoreProxy::halfOpen()
{
    for (const auto &open : state_->links) {
        if (const LinkPointer link = open.lock())
            link->isDead = true;
    }
}

void StoreProxy::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        if (state_->fault == LinkFault::Refused) {
            reset(socket);
            accept();
            return;
        }
        const auto link = std::make_shared<Link>(std::move(socket), tcp::socket(loop_));
        auto &links = state_->links;
        links.erase(std::remove_if(links.begin(), links.end(),
                                   [](const auto &open) { return open.expired(); }),
                    links.end());
        links.push_back(link);
        const tcp::endpoint store(boost::asio::ip::make_address(store_.address), store_.port);
        link->store.socket.async_connect(store, [state = state_, link](error_code failed) {
            if (failed) {
                link->close();
                return;
            }
            read(state, link, Direction::ToStore);
            read(state, link, Direction::ToGateway);
        });
        accept();
    });
}

void StoreProxy::read(const StatePointer &state, const LinkPointer &link, Direction direction)
{
    Link::End &from = link->from(direction);
    from.socket.async_read_some(boost::asio::buffer(from.buffer),
                                [state, link, direction](error_code error, std::size_t size) {
                                    if (error) {
                                        if (!link->isDead)
                                            link->close();
                                        return;
                                    }
                                    Link::End &end = link->from(direction);
                                    end.size = size;
                                    if (direction == Direction::ToStore)
                                        countCalls(*state, end.buffer, size);
                                    if (state->delay.count() == 0) {
                                        forward(state, link, direction);
                                        return;
                                    }
                                    end.timer.expires_after(state->delay);
                                    end.timer.async_wait(
                                        [state, link, direction](error_code cancelled) {
                                            if (!cancelled)
                                                forward(state, link, direction);
                                        });
                                });
}

void StoreProxy::forward(const StatePointer &state, const LinkPointer &link, Direction direction)
{
    if (link->isDead) {
        read(state, link, direction);
        return;
    }
    if (!isHeld(*state, direction)) {
        write(state, link, direction, 0);
        return;
    }
    Link::End &from = link->from(direction);
    from.timer.expires_after(heldCheckInterval);
    from.timer.async_wait([state, link, direction](error_code cancelled) {
        if (!cancelled)
            forward(state, link, direction);
    });
}

void StoreProxy::write(const StatePointer &state, const LinkPointer &link, Direction direction,
                       std::size_t begin)
{
    Link::End &from = link->from(direction);
    const bool isInPieces =
        state->fault == LinkFault::Pieces && direction == Direction::ToGateway && !link->isDead;
    const std::size_t left = from.size - begin;
    const std::size_t count = isInPieces ? std::min(left, pieceBytes) : left;
    boost::asio::async_write(
        link->to(direction).socket, boost::asio::buffer(from.buffer + begin, count),
        [state, link, direction, begin](error_code error, std::size_t written) {
            if (error) {
                link->close();
                return;
            }
            Link::End &end = link->from(direction);
            if (begin + written == end.size) {
                read(state, link, direction);
                return;
            }
            end.timer.expires_after(pieceInterval);
            end.timer.async_wait([state, link, direction, next = begin + written](error_code e) {
                if (!e)
                    write(state, link, direction, next);
            });
        });
}

bool StoreProxy::isHeld(const State &state, Direction direction)
{
    return state.fault == LinkFault::Silent
        || state.fault
        == (direction == Direction::ToStore ? LinkFault::SilentToStore
                                            : LinkFault::SilentToGateway);
}

// Counts the ends of request lines; one that is split over two reads is missed.
void StoreProxy::countCalls(State &state, const char *bytes, std::size_t size)
{
    const std::string_view text(bytes, size);
    const auto second =
        static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                     std::chrono::steady_clock::now() - state.startedAt)
                                     .count());
    if (state.calls.size() <= second)
        state.calls.resize(second + 1);
    constexpr std::string_view lineEnd = " HTTP/1.1\r\n";
    for (auto at = text.find(lineEnd); at != std::string_view::npos;
         at = text.find(lineEnd, at + lineEnd.size()))
        ++state.calls[second];
}

} // namespace bluebellshift::gatewayd::testing
