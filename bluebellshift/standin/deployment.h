// Fills the platform's stand-in with a sample deployment.
//
//   absl::Status loaded = loadDeployment("deploy/association", service);
#pragma once

#include <string>

#include "absl/status/status.h"
#include "bluebellshift/standin/platformservice.h"

namespace bluebellshift::standin {

// Writes the objects of a folder as a deployment that is already running has
// them: every `objects/KIND-NAME.json`; `bundle-1.toml` signed off and in
// force; and one key for each team of that bundle, "sample-key-of-" and the
// team. NotFound or InvalidArgument name the file at fault.
absl::Status loadDeployment(const std::string &folder, PlatformService &service);

} // namespace bluebellshift::standin
