// The JSON of the default settings serves as the schema: it defines the fields and
// their types.
#include "bluebellshift/standin/jsonreply.h"

namespace bluebellshift::standin {

using Json = nlohmann::json;

HttpReply jsonReply(int status, const Json &json)
{
    HttpReply reply;
    reply.status = status;
    reply.headers = { { "Content-Type", "application/json" } };
    // A value may contain invalid UTF-8.
    reply.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reply;
}

HttpReply errorReply(int status, const std::string &message)
{
    return jsonReply(status, { { "error", message } });
}

absl::Status updateKnownFields(const std::string &text, Json &json)
{
    const Json update = Json::parse(text, nullptr, false);
    if (!update.is_object())
        return absl::InvalidArgumentError("the body is no JSON object");
    for (const auto &[name, value] : update.items()) {
        if (!json.contains(name))
            return absl::InvalidArgumentError("field \"" + name + "\" does not exist");
        const bool isNumber = json[name].is_number() && value.is_number() && value >= 0;
        const bool isFlag = json[name].is_boolean() && value.is_boolean();
        if (!isNumber && !isFlag)
            return absl::InvalidArgumentError("field \"" + name + "\" cannot be " + value.dump());
    }
    json.update(update);
    return absl::OkStatus();
}

} // namespace bluebellshift::standin
