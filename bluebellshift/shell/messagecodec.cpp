// A message's number is its place in core::Message; new ones go to its end.
// Positional arrays were chosen over maps with integer keys: a heartbeat is a
// third shorter, and core/message.h only ever adds fields at the end. Texts go
// as byte strings, as headers and bodies need not be UTF-8.
#include "bluebellshift/shell/messagecodec.h"

#include <fmt/format.h>

#include "bluebellshift/shell/cbor.h"
#include "bluebellshift/shell/messagefields.h"

namespace bluebellshift::shell {
namespace {

using core::Message;

// Decodes the alternative of core::Message numbered `type`.
template<std::size_t Index = 0>
absl::StatusOr<Message> decodeAlternative(std::size_t type, const json &array)
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return absl::UnimplementedError(fmt::format("message type {} is not known", type));
    } else {
        if (type != Index)
            return decodeAlternative<Index + 1>(type, array);
        std::variant_alternative_t<Index, Message> body;
        if (!readFields(array, 1, &body))
            return absl::InvalidArgumentError(
                fmt::format("message of type {} has a field of a wrong type", type));
        return Message(std::move(body));
    }
}

} // namespace

std::string encodeMessage(const Message &message)
{
    json array = json::array();
    std::visit([&array](const auto &body) { appendFields(body, &array); }, message);
    array.insert(array.begin(), json(message.index()));
    return writeCbor(array);
}

absl::StatusOr<Message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > messageBytesMost)
        return absl::InvalidArgumentError(fmt::format("message of {} bytes is longer than {} bytes",
                                                      bytes.size(), messageBytesMost));
    const absl::StatusOr<json> parsed = parseCbor(bytes);
    if (!parsed.ok())
        return parsed.status();
    const json &array = *parsed;
    if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
        return absl::InvalidArgumentError("message does not start with its type");
    return decodeAlternative(array[0].get<std::size_t>(), array);
}

} // namespace bluebellshift::shell
