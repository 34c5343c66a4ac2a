// One gateway as a process: the event loop and the sockets around the reducer. It
// turns the outside into events and carries effects out; it decides nothing.
//
//   Gateway gateway(settings, clock);
//   absl::Status status = gateway.start(); // Unavailable: an address can't be bound
//   gateway.run();                          // until it has stopped
//   gateway.stop();                         // from a signal handler of the loop
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
    // Begins to stop; `onStopped` of the constructor's loop is its end.
    void stop();
    bool hasStopped() const { return hasStopped_; }
    // The settings file has been read anew; what can't change while running stays.
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

    void perform(const gateway::ListRegistry &list) { store_.perform(list); }
    void perform(const gateway::WatchRegistry &watch) { store_.perform(watch); }
    void perform(const gateway::WriteVm &write) { store_.perform(write); }
    void perform(const gateway::RemoveVm &remove) { store_.perform(remove); }
    void perform(const gateway::CreatePeerKey &create) { store_.perform(create); }
    void perform(const gateway::SendAttempt &attempt);
    void perform(const gateway::CancelAttempt &cancel);
    void perform(const gateway::PassAnswer &pass);
    void perform(const gateway::RefuseRequest &refusal);
    void perform(const gateway::DropRequest &drop);
    void perform(const gateway::SendReport &report);
    void perform(const gateway::SendSpending &spending);
    void perform(const gateway::SendTargetNews &news);
    void perform(const gateway::SetPeers &peers);
    void perform(const gateway::ForgetTarget &forget);
    void perform(const gateway::WriteLog &log) { writeLog(log.record); }
    void perform(const gateway::CloseConnections &);
    void perform(const gateway::Exit &);

    void onRequest(net::ExchangeId exchange, net::Request &&request);
    void onAttemptEnded(core::RequestId request, int attempt, net::CallResult &&result);
    void serveLookup(net::ExchangeId exchange, const net::Request &request);
    void serveReadiness(net::ExchangeId exchange, const net::Request &request);
    void serveMetrics(net::ExchangeId exchange, const net::Request &request);
    std::unique_ptr<net::HttpServer>
    makeServer(std::function<void(net::ExchangeId, const net::Request &)> serve);

    boost::asio::io_context &loop_;
    GatewaySettings settings_;
    const base::Clock clock_;
    LogWriter logWriter_;
    shell::Logger logger_;
    Metrics metrics_;
    gateway::Reducer reducer_;
    net::HttpClient http_;
    ::platform::StoreClient store_;
    net::HttpServer callerServer_;
    std::unique_ptr<net::HttpServer> lookupServer_;
    std::unique_ptr<net::HttpServer> readinessServer_;
    std::unique_ptr<net::HttpServer> metricsServer_;
    std::unique_ptr<shell::PeerMesh> mesh_;
    boost::asio::steady_timer timer_;
    core::Instant timerAt_ = core::Instant::never();
    std::mt19937_64 random_; // spreads choices; secrets come from elsewhere
    std::unordered_map<net::ExchangeId, Request> requests_;
    std::deque<gateway::EventBody> events_; // not yet handled
    bool isHandling_ = false;
    bool hasStopped_ = false;
};

} // namespace bluebellshift::gatewayd
