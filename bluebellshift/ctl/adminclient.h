// A client of the administration API of one VM.
//
//   AdminClient client(sendHttp, operatorKey, pause);
//   absl::StatusOr<core::Object> object = client.read("keys", "multan");
//   absl::StatusOr<core::Revision> accepted = client.edit("keys", "multan", change);
//
// The status code gives the kind of error:
//   Unavailable         the VM or the platform can't be reached; nothing was changed
//   Unknown             a change may have been made
//   Aborted             every attempt conflicted with another write
//   NotFound            there is no such object
//   Unauthenticated, PermissionDenied
//   InvalidArgument, FailedPrecondition     the VM refused the value
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::ctl {

struct HttpCall
{
    std::string method;
    std::string path; // including the query
    std::string body;
    std::string authorization; // empty: none
};

struct HttpReply
{
    int status = 0;
    std::string body;
};

// Sends a call once. Unavailable: it was not sent; Unknown: no complete reply arrived.
using SendHttp = std::function<absl::StatusOr<HttpReply>(const HttpCall &)>;

struct PeerStatus
{
    core::VmId vm;
    core::Revision revision;
    bool isAlive = false;
    bool isReady = false;
    bool isLeaving = false;
    core::Duration age; // since its last heartbeat
};

struct FleetStatus
{
    core::OperatorId operatorId; // whose key the tool used
    core::VmId vm;               // the VM that replied
    core::Revision revision;
    bool isFresh = false;
    bool isReady = false;
    std::string reason; // why the VM is not ready
    std::string bundle; // version in force
    std::vector<PeerStatus> peers;
};

class AdminClient
{
public:
    AdminClient(SendHttp send, std::string operatorKey, std::function<void(core::Duration)> pause);

    absl::StatusOr<core::Object> read(const std::string &kind, const std::string &name) const;
    absl::StatusOr<std::vector<core::Object>> list(const std::string &kind) const;
    absl::StatusOr<FleetStatus> status() const;
    // Makes one conditional write. Aborted: the stored version is not `expected`.
    absl::StatusOr<core::Revision> write(const std::string &kind, const std::string &name,
                                         core::Revision expected, const std::string &value) const;

    // Reads the object, applies the change and writes it back; repeats this after a
    // conflict, a limited number of times. An object that does not exist has an empty
    // value. Returns the accepted revision.
    using Change = std::function<absl::StatusOr<std::string>(const std::string &value)>;
    absl::StatusOr<core::Revision> edit(const std::string &kind, const std::string &name,
                                        const Change &change) const;

    // Sends a GET without the operator's key.
    absl::StatusOr<HttpReply> get(const std::string &path) const;

private:
    absl::StatusOr<std::string> call(const char *method, const std::string &path,
                                     const std::string &body) const;

    const SendHttp send_;
    const std::string operatorKey_;
    const std::function<void(core::Duration)> pause_;
};

std::string percentEncode(const std::string &text);

} // namespace bluebellshift::ctl
