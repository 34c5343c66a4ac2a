// A TCP proxy in front of the store that ends the connections of all watches that wait, in order
// and without a response, as the restart of a front end does.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace review {

class WatchCutter
{
public:
    WatchCutter(boost::asio::io_context &loop, std::uint16_t storePort,
                std::function<void(const std::string &)> record);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    // Ends the watches that wait now. New ones, and all other calls, are served.
    void cut();
    int cuts() const { return cuts_; }

private:
    struct Link;

    void accept();
    void fromGateway(const std::shared_ptr<Link> &link);
    void fromStore(const std::shared_ptr<Link> &link);

    boost::asio::io_context &loop_;
    const std::uint16_t storePort_;
    const std::function<void(const std::string &)> record_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Link>> links_;
    int cuts_ = 0;
};

} // namespace review
