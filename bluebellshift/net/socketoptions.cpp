#include "bluebellshift/net/socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bluebellshift::net {
namespace {

constexpr int tcpKeepAliveIdleSeconds = 1;
constexpr int tcpKeepAliveIntervalSeconds = 1;
constexpr int tcpKeepAliveProbes = 2;
constexpr int tcpUserTimeoutMillis = 3000;

} // namespace

void setClientSocketOptions(boost::asio::ip::tcp::socket &socket)
{
    namespace asio = boost::asio;
    // The socket works without the options, but detects a dead peer later.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    const auto set = [handle](int option, int value) {
        setsockopt(handle, IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_KEEPIDLE, tcpKeepAliveIdleSeconds);
    set(TCP_KEEPINTVL, tcpKeepAliveIntervalSeconds);
    set(TCP_KEEPCNT, tcpKeepAliveProbes);
    set(TCP_USER_TIMEOUT, tcpUserTimeoutMillis);
}

} // namespace bluebellshift::net
