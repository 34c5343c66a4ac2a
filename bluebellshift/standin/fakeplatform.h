// An in-process platform client for tests.
//
//   PlatformService service(PlatformServiceOptions());
//   FakePlatform client(service);
//   client.setReachable(false); // every call returns Unreachable
#pragma once

#include <atomic>

#include "bluebellshift/platform/platformclient.h"
#include "bluebellshift/standin/platformservice.h"

namespace bluebellshift::standin {

class FakePlatform : public platform::PlatformClient
{
public:
    // `service` must outlive the client.
    explicit FakePlatform(PlatformService &service);

    void setReachable(bool isReachable) { isReachable_ = isReachable; }

    platform::ReadResult read(const std::string &kind, const std::string &name) override;
    platform::WriteResult write(const std::string &kind, const std::string &name,
                                core::Revision expected, const std::string &value) override;
    platform::WriteResult remove(const std::string &kind, const std::string &name,
                                 core::Revision expected) override;
    platform::WatchResult watch(core::Revision after, core::Duration wait) override;
    platform::WatchResult list() override;

private:
    PlatformService &service_;
    std::atomic<bool> isReachable_ { true };
};

} // namespace bluebellshift::standin
