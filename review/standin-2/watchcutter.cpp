#include "review/standin-2/watchcutter.h"

#include <array>
#include <memory>

#include <boost/asio/write.hpp>

namespace review {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr char loopback[] = "127.0.0.1";

} // namespace

struct WatchCutter::Link
{
    explicit Link(tcp::socket connected)
        : gateway(std::move(connected))
        , store(gateway.get_executor())
    {
    }

    void close()
    {
        error_code ignored; // both sockets are discarded
        gateway.close(ignored);
        store.close(ignored);
    }

    tcp::socket gateway;
    tcp::socket store;
    bool hasWatch = false; // one that waits
    std::array<char, 16384> up {};
    std::array<char, 16384> down {};
};

WatchCutter::WatchCutter(asio::io_context &loop, std::uint16_t storePort,
                         std::function<void(const std::string &)> record)
    : loop_(loop)
    , storePort_(storePort)
    , record_(std::move(record))
    , acceptor_(loop, tcp::endpoint(asio::ip::make_address(loopback), 0))
{
    accept();
}

void WatchCutter::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        auto link = std::make_shared<Link>(std::move(socket));
        error_code failed;
        link->store.connect({ asio::ip::make_address(loopback), storePort_ }, failed);
        if (!failed) {
            link->gateway.set_option(tcp::no_delay(true), failed);
            link->store.set_option(tcp::no_delay(true), failed);
            links_.push_back(link);
            fromGateway(link);
            fromStore(link);
        }
        accept();
    });
}

void WatchCutter::fromGateway(const std::shared_ptr<Link> &link)
{
    link->gateway.async_read_some(asio::buffer(link->up),
                                  [this, link](error_code error, std::size_t size) {
                                      if (error) {
                                          link->close();
                                          return;
                                      }
                                      const std::string bytes(link->up.data(), size);
                                      error_code failed;
                                      asio::write(link->store, asio::buffer(bytes), failed);
                                      link->hasWatch = bytes.find("watch=") != std::string::npos;
                                      fromGateway(link);
                                  });
}

void WatchCutter::cut()
{
    int count = 0;
    for (const std::weak_ptr<Link> &known : links_) {
        const auto link = known.lock();
        if (!link || !link->hasWatch)
            continue;
        link->close();
        ++count;
    }
    cuts_ += count;
    record_("store: cuts off " + std::to_string(count) + " watches that wait");
}

void WatchCutter::fromStore(const std::shared_ptr<Link> &link)
{
    link->store.async_read_some(
        asio::buffer(link->down), [this, link](error_code error, std::size_t size) {
            if (error) {
                link->close();
                return;
            }
            error_code failed;
            link->hasWatch = false;
            asio::write(link->gateway, asio::buffer(link->down, size), failed);
            fromStore(link);
        });
}

} // namespace review
