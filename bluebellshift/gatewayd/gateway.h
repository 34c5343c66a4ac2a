// The process of one gateway: the event loop and the sockets around the reducer. It
// converts I/O to events and performs the reducer's effects; all decisions are made by
// the reducer.
//
//   Gateway gateway(loop, settings, clock);
//   absl::Status status = gateway.start(); // Unavailable: an address can't be bound
//   loop.run();                            // returns once the gateway has stopped
//   gateway.stop();                        // from a signal handler of the loop
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "bluebellshift/base/clock.h"
#include "bluebellshift/gateway/reducer.h"
#include "bluebellshift/gatewayd/logwriter.h"
#include "bluebellshift/gatewayd/metrics.h"
#include "bluebellshift/gatewayd/settings.h"
#include "bluebellshift/net/httpclient.h"
#include "bluebellshift/net/httpserver.h"
#include "bluebellshift/shell/logger.h"
#include "bluebellshift/shell/peermesh.h"
#include "platform/storeclient.h"

namespace bluebellshift::gatewayd {

class Gateway
{
public:
    Gateway(boost::asio::io_context &loop, const GatewaySettings &settings,
            const base::Clock &clock);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    absl::Status start();
    // Starts a graceful stop; the loop is stopped once it is complete.
    void stop();
    bool hasStopped() const { return hasStopped_; }
    // Applies reloaded settings; those that can't change at run time are ignored.
    void applySettings(const GatewaySettings &settings);
    void writeLog(const core::LogRecord &record);

private:
    struct Request
    {
        net::Request request;
        net::CallId call = 0;
        core::AnswerPointer response; // of the last attempt
        core::Instant arrivedAt;
        core::Instant sentAt;
    };

    void handle(gateway::EventBody body);
    void performAll(gateway::Effects &&effects);
    void armTimer();
    // How late the loop handled a timer.
    void observeLoopDelay(core::Duration delay);

    void perform(const gateway::ListRegistry &list) { store_.perform(list); }
    void perform(const gateway::WatchRegistry &watch) { store_.perform(watch); }
    void perform(const gateway::WriteVm &write) { store_.perform(write); }
    void perform(const gateway::RemoveVm &remove) { store_.perform(remove); }
    void perform(const gateway::CreatePeerKey &create) { store_.perform(create); }
    void perform(const gateway::SendAttempt &attempt);
    void perform(const gateway::CancelAttempt &cancel);
    void perform(const gateway::ForwardResponse &pass);
    void perform(const gateway::RefuseRequest &refusal);
    void perform(const gateway::DropRequest &drop);
    void perform(const gateway::SendReport &report);
    void perform(const gateway::SendSpending &spending);
    void perform(const gateway::SendRelayedReports &reports);
    void perform(const gateway::SendRelayedSpending &spending);
    void perform(const gateway::SendTargetUpdate &update);
    void perform(const gateway::SendVmUpdate &update);
    void perform(const gateway::SetPeers &peers);
    void perform(const gateway::ForgetTarget &forget);
    void perform(const gateway::WriteLog &log) { writeLog(log.record); }
    void perform(const gateway::ObserveTarget &observe);
    void perform(const gateway::CloseConnections &);
    void perform(const gateway::Exit &);

    void onRequest(net::ExchangeId exchange, net::Request &&request);
    void onAttemptEnded(core::RequestId request, int attempt, net::CallResult &&result);
    // Ends the process once the callers' connections are idle, or when the grace period ends.
    void exitWhenIdle();
    // Counts a limit that a caller has reached, and logs it a few times a second.
    void onLimitReached(const net::LimitReached &reached);
    // Logs a request that the server rejected before it was dispatched.
    void logRejection(int status, std::size_t bytes);
    void serveLookup(net::ExchangeId exchange, const net::Request &request);
    void serveReadiness(net::ExchangeId exchange, const net::Request &request);
    void serveMetrics(net::ExchangeId exchange, const net::Request &request);
    std::unique_ptr<net::HttpServer>
    makeServer(net::ByteBudget &budget,
               std::function<void(net::ExchangeId, const net::Request &)> serve);

    boost::asio::io_context &loop_;
    GatewaySettings settings_;
    const base::Clock clock_;
    LogWriter logWriter_;
    shell::Logger logger_;
    Metrics metrics_;
    gateway::Reducer reducer_;
    net::ByteBudget budget_;        // of callers' requests and the responses to them
    net::ByteBudget controlBudget_; // of the store's responses
    net::ByteBudget lookupBudget_;
    net::ByteBudget readinessBudget_;
    net::ByteBudget metricsBudget_;
    net::HttpClient http_;      // calls to targets
    net::HttpClient storeHttp_; // calls to the store
    ::platform::StoreClient store_;
    net::HttpServer callerServer_;
    std::unique_ptr<net::HttpServer> lookupServer_;
    std::unique_ptr<net::HttpServer> readinessServer_;
    std::unique_ptr<net::HttpServer> metricsServer_;
    std::unique_ptr<shell::PeerMesh> mesh_;
    std::string meshSecretHex_; // that mesh_ uses
    boost::asio::steady_timer timer_;
    core::Instant timerAt_ = core::Instant::never();
    std::mt19937_64 random_; // for load spreading only, not for secrets
    std::unordered_map<net::ExchangeId, Request> requests_;
    std::deque<gateway::EventBody> events_; // queued, not yet handled
    core::Instant exitBy_;                  // once a stop was requested
    core::Instant limitLinesSince_;         // start of the second in which limitLines_ were logged
    int limitLines_ = 0;
    int limitLinesDropped_ = 0; // since the last line
    bool isHandling_ = false;
    bool hasStopped_ = false;
};

} // namespace bluebellshift::gatewayd
