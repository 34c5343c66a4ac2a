#include "bluebellshift/gatewayd/testing/listedtarget.h"

#include <cstdlib>

#include "bluebellshift/net/testing/looptools.h"

namespace bluebellshift::gatewayd::testing {
namespace {

using platform::Json;

constexpr int slots = 100;

} // namespace

ListedTarget::ListedTarget(boost::asio::io_context &loop, platform::testing::StoreStandin &store,
                           TargetPlace place)
    : store_(store)
    , place_(std::move(place))
    , server_(
          loop, budget_, [] { return net::ServerLimits(); },
          { [this](net::ExchangeId exchange, net::Request &&request) { serve(exchange, request); },
            [](net::ExchangeId) {},
            {} })
    , port_(net::testing::freePort(loop))
{
    if (!server_.listen({ "127.0.0.1", port_ }).ok())
        std::abort();
}

void ListedTarget::join(double warmup)
{
    warmup_ = warmup;
    isGone_ = false;
    write();
}

void ListedTarget::setWarmup(double seconds)
{
    warmup_ = seconds;
    write();
}

void ListedTarget::drain()
{
    isDraining_ = true;
    write();
    leavingAt_ = TestClock::now();
}

void ListedTarget::leave()
{
    isGone_ = true;
    store_.remove("servers", place_.id);
    if (!leavingAt_)
        leavingAt_ = TestClock::now();
}

void ListedTarget::writeAgain()
{
    if (isGone_)
        store_.remove("servers", place_.id);
    else
        write();
}

void ListedTarget::write()
{
    const Json status = { { "state", isDraining_ ? "draining" : "ready" },
                          { "sequence", ++sequence_ },
                          { "warmup_left_s", warmup_ } };
    const Json info = { { "service", place_.service },
                        { "version", "v1" },
                        { "zone", place_.failureDomain },
                        { "slots", slots } };
    store_.put("servers", place_.id,
               { { "address", "127.0.0.1:" + std::to_string(port_) },
                 { "born", 1 },
                 { "info", info },
                 { "status", status } },
               status);
}

void ListedTarget::serve(net::ExchangeId exchange, const net::Request &request)
{
    if (request.target == "/health") {
        const bool isWell = !isDraining_ && !isGone_;
        server_.respond(exchange, { isWell ? 200 : 503, { { "Instance-Id", place_.id } }, "" },
                        false);
        return;
    }
    const std::string *id = net::findHeader(request.headers, "Request-Id");
    const std::string requestId = id == nullptr ? std::string() : *id;
    arrivals_.push_back({ requestId, TestClock::now() });
    server_.respond(
        exchange,
        { 200, { { "Request-Id", requestId }, { "Server-Stamp", place_.id } }, place_.service },
        false);
}

} // namespace bluebellshift::gatewayd::testing
