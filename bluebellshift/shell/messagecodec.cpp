// The number of a message type is its index in core::Message; new types are added
// at the end. Positional arrays are used instead of maps with integer keys because
// a heartbeat is a third shorter and core/message.h adds fields only at the end.
// Texts are encoded as byte strings, because headers and bodies need not be UTF-8.
#include "bluebellshift/shell/messagecodec.h"

#include <fmt/format.h>

#include "bluebellshift/shell/cbor.h"
#include "bluebellshift/shell/messagefields.h"

namespace bluebellshift::shell {
using core::Message;

std::string encodeMessage(const Message &message)
{
    return writeCbor(toJson(message));
}

absl::StatusOr<Message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return absl::InvalidArgumentError(fmt::format("message of {} bytes is longer than {} bytes",
                                                      bytes.size(), maxMessageBytes));
    const absl::StatusOr<json> parsed = parseCbor(bytes);
    if (!parsed.ok())
        return parsed.status();
    const json &array = *parsed;
    if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
        return absl::InvalidArgumentError("message does not start with its type");
    const auto type = array[0].get<std::uint64_t>();
    if (type >= std::variant_size_v<Message>)
        return absl::UnimplementedError(fmt::format("message type {} is not known", type));
    Message message;
    if (!fromJson(array, &message))
        return absl::InvalidArgumentError(
            fmt::format("message of type {} has a field of a wrong type", type));
    return message;
}

} // namespace bluebellshift::shell
