// A strict parser of bundles in TOML: each key that is unknown, missing, in a
// wrong unit or in contradiction with another is reported as a fault with its line.
//
//   absl::StatusOr<Bundle> bundle = parseBundle(text);
//   for (const BundleFault &fault : checkBundle(text))
//       fmt::print("line {}: {}\n", fault.line, fault.message);
//
// The layout, with every key:
//
//   version = "7"
//   time_zone = "Asia/Karachi"        # IANA name
//   store_region = "punjab"
//   author_may_sign_off = false       # optional, true
//   [[region]]
//   name = "punjab"
//   failure_domains = ["punjab-a", "punjab-b"]
//   capacity_per_second = 2400        # requests
//   callers_percent = 50              # of all requests enter here; sum to 100
//   [[link]]                          # one for each ordered pair of regions
//   from = "punjab"
//   to = "sindh"
//   megabits_per_second = 4000
//   [[team]]
//   name = "multan"
//   rate_per_second = 400
//   burst = 800                       # requests
//   [[service]]
//   name = "rota"
//   traffic_percent = 75              # of all requests; sum to 100
//   answer_kilobytes = 16             # typical answer
//   cache_time_ms = 5000
//   timeout_ms = 10000
//   shift_cap_percent = 10
//   shift_window_seconds = 60
//   split_percent = { punjab = 60, sindh = 40 }
//   [[service.route]]
//   prefix = "/turns"
//   open = false
//   repeatable = true
//   [[service.team_split]]            # optional
//   team = "multan"
//   split_percent = { sindh = 100 }
//   [[client_block]]
//   cidr = "10.1.0.0/16"
//   region = "punjab"
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/bundle.h"

namespace bluebellshift::core {

struct BundleFault
{
    int line = 0; // from 1; 0 for the whole document
    std::string message;
};

// Returns the bundle, or InvalidArgument with all faults.
absl::StatusOr<Bundle> parseBundle(std::string_view toml);

// Returns all faults in the order of lines; empty if the bundle is valid. Loads
// that exceed a capacity are faults too, with the arithmetic in the message.
std::vector<BundleFault> checkBundle(std::string_view toml);

} // namespace bluebellshift::core
