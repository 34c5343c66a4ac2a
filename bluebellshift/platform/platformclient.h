// The platform's object API as the daemon and the command-line tool see it.
//
//   WriteResult result = client.write(kind::keys, "multan", version, value);
//   if (result.outcome == core::PlatformOutcome::Unknown)
//       // read back: the write may have taken effect
//
// Every call blocks, and ends within the client's time-out. Implementations:
// HttpPlatformClient, and in tests standin::FakePlatform.
#pragma once

#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::platform {

// The largest value that the platform stores.
inline constexpr std::size_t maxValueBytes = 1024 * 1024;

struct ReadResult
{
    core::PlatformOutcome outcome = core::PlatformOutcome::Unknown;
    core::Object object; // Done: as stored; else only kind and name
};

struct WriteResult
{
    core::PlatformOutcome outcome = core::PlatformOutcome::Unknown;
    core::Object object; // Done: as stored now; Conflict: what is stored instead
};

// All that changed after a revision.
struct WatchResult
{
    core::PlatformOutcome outcome = core::PlatformOutcome::Unknown;
    core::Revision revision; // the store's newest when it answered
    core::Duration waited;   // how long the store says it held the call
    bool isComplete = false; // `objects` is all of them, not only those changed
    std::vector<core::Object> objects;
};

class PlatformClient
{
public:
    PlatformClient() = default;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    virtual ~PlatformClient() = default;

    // Ends as Done, Missing, Unknown or Unreachable.
    virtual ReadResult read(const std::string &kind, const std::string &name) = 0;

    // Writes if the object's version is `expected`; 0: if it does not exist.
    // Never sent twice, and not at all if the value has more than maxValueBytes
    // bytes. Ends as Done, Conflict, Unknown or Unreachable.
    virtual WriteResult write(const std::string &kind, const std::string &name,
                              core::Revision expected, const std::string &value) = 0;

    // Deletes if the object's version is `expected`, which is not 0. Never sent
    // twice. Ends as write() does; a Conflict with an object that no longer
    // exists has version 0.
    virtual WriteResult remove(const std::string &kind, const std::string &name,
                               core::Revision expected) = 0;

    // Returns what changed after `after`, or once `wait` has passed without a
    // change. 0 asks for all objects. Ends as Done, Unknown or Unreachable.
    virtual WatchResult watch(core::Revision after, core::Duration wait) = 0;

    // Reads all objects at once. Ends as watch() does.
    virtual WatchResult list() = 0;
};

} // namespace bluebellshift::platform
