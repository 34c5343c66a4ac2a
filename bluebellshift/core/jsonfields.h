// Reads the fields of one JSON object strictly.
//
//   JsonFields fields(json, "schedule");
//   std::string bundle = fields.text("bundle");
//   absl::Status status = fields.finish(); // also rejects unknown fields
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace bluebellshift::core {

// Records the first error. A field that is missing or of the wrong type reads as the
// default value of the requested type.
class JsonFields
{
public:
    JsonFields(const nlohmann::json &json, std::string description)
        : json_(json)
        , description_(std::move(description))
    {
        if (!json_.is_object())
            fail("is not a JSON object");
    }

    std::string text(const char *name)
    {
        const nlohmann::json *field = find(name, nlohmann::json::value_t::string);
        return field == nullptr ? std::string() : field->get<std::string>();
    }

    std::int64_t integer(const char *name)
    {
        const nlohmann::json *field = find(name, nlohmann::json::value_t::number_unsigned);
        return field == nullptr ? 0 : field->get<std::int64_t>();
    }

    bool flag(const char *name)
    {
        const nlohmann::json *field = find(name, nlohmann::json::value_t::boolean);
        return field != nullptr && field->get<bool>();
    }

    nlohmann::json object(const char *name)
    {
        const nlohmann::json *field = find(name, nlohmann::json::value_t::object);
        return field == nullptr ? nlohmann::json::object() : *field;
    }

    nlohmann::json array(const char *name)
    {
        const nlohmann::json *field = find(name, nlohmann::json::value_t::array);
        return field == nullptr ? nlohmann::json::array() : *field;
    }

    void fail(const std::string &message)
    {
        if (status_.ok())
            status_ = absl::InvalidArgumentError(fmt::format("{}: {}", description_, message));
    }

    // Returns the first error. To be called after all known fields have been read.
    absl::Status finish()
    {
        if (!status_.ok())
            return status_;
        for (const auto &item : json_.items()) {
            if (readFields_.count(item.key()) == 0)
                fail(fmt::format("unknown field \"{}\"", item.key()));
        }
        return status_;
    }

private:
    const nlohmann::json *find(const char *name, nlohmann::json::value_t type)
    {
        readFields_.insert(name);
        if (!json_.is_object())
            return nullptr;
        const auto found = json_.find(name);
        if (found == json_.end()) {
            fail(fmt::format("field \"{}\" is missing", name));
            return nullptr;
        }
        if (found->type() != type) {
            fail(fmt::format("field \"{}\" = {} is of the wrong type", name, found->dump()));
            return nullptr;
        }
        return &*found;
    }

    const nlohmann::json &json_;
    std::string description_;
    std::set<std::string> readFields_;
    absl::Status status_;
};

} // namespace bluebellshift::core
