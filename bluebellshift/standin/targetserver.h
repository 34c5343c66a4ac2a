// HTTP servers for one or more fake targets in one process.
//
//   TargetServer server(options);
//   absl::Status started = server.start();
//   int port = server.port(0);
//
// Every port serves /standin/, to which faults never apply:
//
//   GET /standin/runs            {"total","tickets":{ID: COUNT}} of all targets
//   GET /standin/runs?repeated=1 the same, but only tickets that ran more than once
//   GET /standin/runs?callers=1  also has "callers":{X-Caller-Id: COUNT}
//   GET /standin/counts          {"requests","shed",...} of this target
//   GET, PUT /standin/faults     of this target; PUT with ?all=1: of all targets
#pragma once

#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/standin/faketarget.h"

namespace bluebellshift::standin {

struct TargetServerOptions
{
    core::Endpoint first; // of the first target; port 0: the kernel chooses each port
    int count = 1;
    std::string idPrefix = "target"; // an id is the prefix, '-' and a number from 0
    core::RegionId region;
    int slots = 3;
    int connections = 400;
    core::Duration serviceTime;
};

class TargetServer
{
public:
    explicit TargetServer(const TargetServerOptions &options);
    ~TargetServer();

    absl::Status start();
    void stop();

    std::uint16_t port(std::size_t index) const { return servers_.at(index)->port(); }
    FakeTarget &target(std::size_t index) { return *targets_.at(index); }
    const RunRecord &runs() const { return runs_; }

private:
    HttpReply serve(FakeTarget &target, const HttpRequest &request);
    HttpReply serveRuns(const HttpRequest &request) const;
    HttpReply serveFaults(FakeTarget &target, const HttpRequest &request);

    RunRecord runs_;
    std::vector<std::unique_ptr<FakeTarget>> targets_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
};

} // namespace bluebellshift::standin
