// Options of the sockets that the client connects.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace bluebellshift::net {

// Sends small writes at once, and detects a peer that lost power within about three seconds,
// also while a response is awaited: such a peer sends no acknowledgements.
void setClientSocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace bluebellshift::net
