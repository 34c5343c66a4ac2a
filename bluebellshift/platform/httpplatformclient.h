// The platform's object API over HTTP; docs/interface.md describes it.
//
//   HttpPlatformClient client({ "127.0.0.1", 7000 }, HttpPlatformOptions());
//   WatchResult changes = client.watch(revision, core::Duration::seconds(1));
//
// An instance belongs to one thread at a time; interrupt() alone may be called
// from any thread. Reads and watches share one kept-alive connection, so give
// watches an instance of their own.
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
    core::Duration callTimeout = core::Duration::millis(1500); // without a watch's wait
    std::size_t replyBytesMost = 64 * 1024 * 1024;
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

    // Ends the running call, and every later one, as Unknown within about a
    // second.
    void interrupt() { interrupted_ = true; }

private:
    struct Handle;
    struct Reply;
    struct Call;

    Reply perform(const Call &call);
    WriteResult change(const Call &call, const std::string &kind, const std::string &name);
    WatchResult changes(const Call &call);
    std::string objectUrl(const std::string &kind, const std::string &name) const;

    const HttpPlatformOptions options_;
    const std::string base_; // scheme, address and port
    std::atomic<bool> interrupted_ { false };
    std::unique_ptr<Handle> kept_; // reads and watches; reuses its connection
};

} // namespace bluebellshift::platform
