// The interface to the platform's object API for the daemon and the command-line
// tool.
//
//   WriteResult result = client.write(kind::keys, "multan", version, value);
//   if (result.outcome == core::PlatformOutcome::Unknown)
//       // read back: the write may have taken effect
//
// Every call blocks, but no longer than the client's timeout. Implementations:
// HttpPlatformClient, and standin::FakePlatform in tests.
#pragma once

#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::platform {

// The size limit of a stored value.
inline constexpr std::size_t maxValueBytes = 1024 * 1024;

struct ReadResult
{
    core::PlatformOutcome outcome = core::PlatformOutcome::Unknown;
    core::Object object; // Done: the stored object; otherwise only kind and name
};

struct WriteResult
{
    core::PlatformOutcome outcome = core::PlatformOutcome::Unknown;
    core::Object object; // Done: the new object; Conflict: the stored one
};

// The objects that changed after a revision.
struct WatchResult
{
    core::PlatformOutcome outcome = core::PlatformOutcome::Unknown;
    core::Revision revision; // the store's latest at the time of the reply
    core::Duration waited;   // how long the store held the call, as it reports
    bool isComplete = false; // `objects` holds all objects, not only changes
    std::vector<core::Object> objects;
};

class PlatformClient
{
public:
    PlatformClient() = default;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    virtual ~PlatformClient() = default;

    // The outcome is Done, Missing, Unknown or Unreachable.
    virtual ReadResult read(const std::string &kind, const std::string &name) = 0;

    // Writes the object if its version is `expected`, where 0 means that it does not
    // exist. The request is never sent twice, and not at all if the value has more
    // than maxValueBytes bytes. The outcome is Done, Conflict, Unknown or
    // Unreachable.
    virtual WriteResult write(const std::string &kind, const std::string &name,
                              core::Revision expected, const std::string &value) = 0;

    // Deletes the object if its version is `expected`, which must not be 0. The
    // request is never sent twice. The outcomes are those of write(); a Conflict
    // with an object that no longer exists has version 0.
    virtual WriteResult remove(const std::string &kind, const std::string &name,
                               core::Revision expected) = 0;

    // Returns the changes after revision `after`, or no objects if none occurs within
    // `wait`. Revision 0 requests all objects. The outcome is Done, Unknown or
    // Unreachable.
    virtual WatchResult watch(core::Revision after, core::Duration wait) = 0;

    // Reads all objects at once. The outcomes are those of watch().
    virtual WatchResult list() = 0;
};

} // namespace bluebellshift::platform
