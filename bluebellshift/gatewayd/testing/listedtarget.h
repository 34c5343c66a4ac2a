// A target that maintains its entry in the store and records the requests that reach it.
//
//   ListedTarget target(loop, store, { "t-1", "north", "near-1" });
//   target.join();
//   target.setWarmup(1.5); // changes its entry
//   target.drain();        // serves on
//   target.leave();        // its entry is gone; serves on
//   target.writeAgain();   // after the store has returned from a copy
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bluebellshift/net/httpserver.h"
#include "platform/testing/storestandin.h"

namespace bluebellshift::gatewayd::testing {

using TestClock = std::chrono::steady_clock;

struct TargetPlace
{
    std::string id;
    std::string service;
    std::string failureDomain;
};

class ListedTarget
{
public:
    struct Arrival
    {
        std::string requestId;
        TestClock::time_point at;
    };

    ListedTarget(boost::asio::io_context &loop, platform::testing::StoreStandin &store,
                 TargetPlace place);

    void join(double warmup = 0);
    void setWarmup(double seconds);
    void drain();
    void leave();
    void writeAgain();

    const TargetPlace &place() const { return place_; }
    const std::vector<Arrival> &arrivals() const { return arrivals_; }
    // When the store acknowledged that the target drains or is gone.
    const std::optional<TestClock::time_point> &leavingAt() const { return leavingAt_; }

private:
    void serve(net::ExchangeId exchange, const net::Request &request);
    void write();

    platform::testing::StoreStandin &store_;
    const TargetPlace place_;
    net::ByteBudget budget_ { 4 * 1024 * 1024 };
    net::HttpServer server_;
    std::uint16_t port_;
    bool isDraining_ = false;
    bool isGone_ = true;
    double warmup_ = 0;
    int sequence_ = 0;
    std::optional<TestClock::time_point> leavingAt_;
    std::vector<Arrival> arrivals_;
};

} // namespace bluebellshift::gatewayd::testing
