// Translates between JSON over HTTP and PlatformService. Faults apply to /v1/
// only; /standin/ always answers.
#include "bluebellshift/standin/platformserver.h"

#include <nlohmann/json.hpp>

#include <utility>

#include "bluebellshift/platform/platformclient.h"
#include "bluebellshift/standin/jsonreply.h"

namespace bluebellshift::standin {

using core::Duration;
using core::Object;
using core::Revision;
using Json = nlohmann::json;

namespace {

const std::string objectsPath = "/v1/objects";

HttpReply noReply()
{
    HttpReply reply;
    reply.delivery = Delivery::None;
    return reply;
}

Json jsonOf(const Object &object)
{
    Json json = { { "kind", object.kind },
                  { "name", object.name },
                  { "version", object.version.number() } };
    if (object.deleted)
        json["deleted"] = true;
    else
        json["value"] = object.value;
    return json;
}

Json jsonOf(const StoreChanges &changes)
{
    Json objects = Json::array();
    for (const Object &object : changes.objects)
        objects.push_back(jsonOf(object));
    return { { "revision", changes.revision.number() },
             { "complete", changes.isComplete },
             { "objects", std::move(objects) } };
}

HttpReply replyOf(const std::optional<StoreWriteResult> &result)
{
    if (!result)
        return noReply();
    Json json = { { "version", result->object.version.number() } };
    if (result->isDone)
        return jsonReply(200, json);
    json["value"] = result->object.value;
    return jsonReply(409, json);
}

HttpReply serveRead(PlatformService &service, const std::string &kind, const std::string &name)
{
    const std::optional<std::optional<Object>> result = service.read(kind, name);
    if (!result)
        return noReply();
    if (!result->has_value())
        return errorReply(404, "object \"" + kind + "/" + name + "\" does not exist");
    return jsonReply(200, jsonOf(**result));
}

// `rest` is "kind/name"; the name may contain slashes.
HttpReply serveObject(PlatformService &service, const HttpRequest &request, const std::string &rest)
{
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size())
        return errorReply(400, "path \"" + request.path + "\" names no object");
    const std::string kind = rest.substr(0, slash);
    const std::string name = rest.substr(slash + 1);
    if (request.method == "GET")
        return serveRead(service, kind, name);
    const std::uint64_t expected = request.queryNumber("expected", UINT64_MAX);
    if (expected == UINT64_MAX)
        return errorReply(400, "the parameter \"expected\" is no version");
    if (request.method == "DELETE")
        return replyOf(service.remove(kind, name, Revision(expected)));
    if (request.method != "PUT")
        return errorReply(405, "method \"" + request.method + "\" is not allowed");
    if (request.body.size() > platform::maxValueBytes)
        return errorReply(413, "the value has " + std::to_string(request.body.size()) + " bytes");
    return replyOf(service.write(kind, name, Revision(expected), request.body));
}

HttpReply serveList(PlatformService &service)
{
    const std::optional<StoreChanges> changes = service.list();
    return changes ? jsonReply(200, jsonOf(*changes)) : noReply();
}

HttpReply serveWatch(PlatformService &service, const HttpRequest &request)
{
    const Revision after(request.queryNumber("after", 0));
    const auto waitMillis = static_cast<std::int64_t>(request.queryNumber("wait_ms", 0));
    const std::optional<WatchReply> reply = service.watch(after, Duration::millis(waitMillis));
    if (!reply)
        return noReply();
    Json json = jsonOf(reply->changes);
    json["waited_ms"] = reply->waited.toMillis();
    return jsonReply(200, json);
}

Json jsonOf(const PlatformCounts &counts)
{
    return { { "reads", counts.reads },         { "writes", counts.writes },
             { "lists", counts.lists },         { "watches", counts.watches },
             { "conflicts", counts.conflicts }, { "replies_lost", counts.repliesLost } };
}

Json jsonOf(const PlatformFaults &faults)
{
    return { { "down", faults.isDown },
             { "slow_ms", faults.callDelay.toMillis() },
             { "lose_replies", faults.repliesToLose },
             { "stale_list", faults.isVmListStale },
             { "stale_reads", faults.isReplicaStale },
             { "cut_watches", faults.areWatchesCut } };
}

// Fields that the request omits are set to their defaults.
HttpReply serveFaults(PlatformService &service, const HttpRequest &request)
{
    if (request.method == "GET")
        return jsonReply(200, jsonOf(service.faults()));
    PlatformFaults faults;
    Json json = jsonOf(faults);
    const absl::Status status = updateKnownFields(request.body, json);
    if (!status.ok())
        return errorReply(400, std::string(status.message()));
    faults.isDown = json["down"];
    faults.callDelay = Duration::millis(json["slow_ms"]);
    faults.repliesToLose = json["lose_replies"];
    faults.isVmListStale = json["stale_list"];
    faults.isReplicaStale = json["stale_reads"];
    faults.areWatchesCut = json["cut_watches"];
    service.setFaults(faults);
    return jsonReply(200, json);
}

HttpReply serveVms(PlatformService &service, const HttpRequest &request)
{
    service.publishVms(request.body);
    return jsonReply(200, Json::object());
}

} // namespace

HttpReply servePlatform(PlatformService &service, const HttpRequest &request)
{
    const std::string &path = request.path;
    if (path == "/standin/counts")
        return jsonReply(200, jsonOf(service.counts()));
    if (path == "/standin/faults")
        return serveFaults(service, request);
    if (path == "/standin/vms" && request.method == "PUT")
        return serveVms(service, request);
    if (path == "/v1/watch")
        return serveWatch(service, request);
    if (path == objectsPath)
        return serveList(service);
    if (path.rfind(objectsPath + "/", 0) == 0)
        return serveObject(service, request, path.substr(objectsPath.size() + 1));
    return errorReply(404, "path \"" + path + "\" does not exist");
}

PlatformServer::PlatformServer(PlatformService &service, core::Endpoint endpoint)
    : service_(service)
    , server_(std::move(endpoint), HttpServerOptions { 4000 },
              [&service](const HttpRequest &request) { return servePlatform(service, request); })
{
}

PlatformServer::~PlatformServer()
{
    stop();
}

void PlatformServer::stop()
{
    service_.close(); // otherwise held watches would keep the server from stopping
    server_.stop();
}

} // namespace bluebellshift::standin
