#include "bluebellshift/load/runsource.h"

#include <nlohmann/json.hpp>

#include "bluebellshift/load/httploop.h"

namespace bluebellshift::load {

using Json = nlohmann::json;

namespace {

void addCounts(const Json &json, const char *field, std::map<std::string, std::uint32_t> &counts)
{
    if (!json.contains(field) || !json[field].is_object())
        return;
    for (const auto &[key, count] : json[field].items()) {
        if (count.is_number_unsigned())
            counts[key] += count.get<std::uint32_t>();
    }
}

} // namespace

absl::StatusOr<RunCounts> fetchRunCounts(const std::vector<core::Endpoint> &endpoints)
{
    RunCounts counts;
    std::string failed;
    HttpLoop loop;
    for (const core::Endpoint &endpoint : endpoints) {
        HttpCall call;
        call.url = "http://" + endpoint.address + ":" + std::to_string(endpoint.port)
            + "/standin/runs?callers=1";
        const std::string url = call.url;
        loop.start(std::move(call), [&counts, &failed, url](const HttpResult &result) {
            const Json json = Json::parse(result.body, nullptr, false);
            if (!result.isComplete || result.status != 200 || !json.is_object()) {
                failed = url;
                return;
            }
            addCounts(json, "tickets", counts.byTicket);
            addCounts(json, "callers", counts.byCaller);
        });
    }
    loop.run();
    if (!failed.empty())
        return absl::UnavailableError("no counts from " + failed);
    return counts;
}

} // namespace bluebellshift::load
