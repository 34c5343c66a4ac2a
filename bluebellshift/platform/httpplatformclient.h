// Client of the platform's object API over HTTP; docs/interface.md describes it.
//
//   HttpPlatformClient client({ "127.0.0.1", 7000 }, HttpPlatformOptions());
//   WatchResult changes = client.watch(revision, core::Duration::seconds(1));
//
// Only one thread at a time may use an instance; interrupt() may be called from
// any thread. Reads and watches share one persistent connection, so use a separate
// instance for watches.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "bluebellshift/core/roster.h"
#include "bluebellshift/platform/platformclient.h"

namespace bluebellshift::platform {

struct HttpPlatformOptions
{
    core::Duration connectTimeout = core::Duration::millis(500);
    core::Duration callTimeout = core::Duration::millis(1500); // plus the wait of a watch
    std::size_t maxReplyBytes = 64 * 1024 * 1024;
};

class HttpPlatformClient : public PlatformClient
{
public:
    HttpPlatformClient(core::Endpoint platform, HttpPlatformOptions options);
    ~HttpPlatformClient() override;

    ReadResult read(const std::string &kind, const std::string &name) override;
    WriteResult write(const std::string &kind, const std::string &name, core::Revision expected,
                      const std::string &value) override;
    WriteResult remove(const std::string &kind, const std::string &name,
                       core::Revision expected) override;
    WatchResult watch(core::Revision after, core::Duration wait) override;
    WatchResult list() override;

    // Aborts the call in progress, and every later one, within about a second; their
    // outcome is Unknown.
    void interrupt() { interrupted_ = true; }

private:
    struct Handle;
    struct Reply;
    struct Call;

    Reply perform(const Call &call);
    WriteResult sendChange(const Call &call, const std::string &kind, const std::string &name);
    WatchResult fetchChanges(const Call &call);
    std::string objectUrl(const std::string &kind, const std::string &name) const;

    const HttpPlatformOptions options_;
    const std::string baseUrl_; // scheme, address and port
    std::atomic<bool> interrupted_ { false };
    std::unique_ptr<Handle> persistentHandle_; // for reads and watches
};

} // namespace bluebellshift::platform
