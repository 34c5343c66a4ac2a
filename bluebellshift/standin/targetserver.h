// The HTTP face of one or more targets of one process.
//
//   TargetServer server(options);
//   absl::Status started = server.start();
//   int port = server.port(0);
//
// /standin/ is served on every port and is never subject to faults:
//
//   GET /standin/runs            {"total","tickets":{ID: COUNT}}, of all targets
//   GET /standin/runs?repeated=1 the same with only the tickets that ran more than once
//   GET /standin/runs?callers=1  with "callers":{X-Caller-Id: COUNT} as well
//   GET /standin/counts          {"requests","shed",...} of this target
//   GET, PUT /standin/faults     of this target; ?all=1 sets those of all targets
#pragma once

#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/standin/faketarget.h"

namespace bluebellshift::standin {

struct TargetServerOptions
{
    core::Endpoint first; // port 0: the kernel chooses; else consecutive ports
    int count = 1;
    std::string idPrefix = "target"; // ids are prefix, '-' and a number from 0
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
