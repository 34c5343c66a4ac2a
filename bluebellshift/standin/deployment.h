// Loads a sample deployment into the platform's stand-in.
//
//   absl::Status loaded = loadDeployment("deploy/association", service);
#pragma once

#include <string>

#include "absl/status/status.h"
#include "bluebellshift/standin/platformservice.h"

namespace bluebellshift::standin {

// Writes the objects of a running deployment: each file
// `objects/KIND-NAME.json` of the folder as an object; `bundle-1.toml` as a
// bundle that is signed off and in force; and one key for each team of that
// bundle, "sample-key-of-" followed by the team. The messages of NotFound and
// InvalidArgument name the faulty file.
absl::Status loadDeployment(const std::string &folder, PlatformService &service);

} // namespace bluebellshift::standin
