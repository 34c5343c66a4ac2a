// Each struct lists its members once, as pointers to members; encoder and
// decoder both walk that list. Positional arrays were chosen over maps with
// integer keys: a heartbeat is a third shorter, and core/message.h only ever
// adds fields at the end. Texts go as byte strings, as headers and bodies need
// not be UTF-8.
//
// nlohmann's reader recurses for each nested array, so the SAX handler below
// bounds the depth and the lengths while it reads.
#include "bluebellshift/shell/messagecodec.h"

#include <limits>
#include <tuple>
#include <type_traits>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bluebellshift::shell {
namespace {

using core::Message;
using nlohmann::json;

constexpr std::size_t nestingMost = 8;
constexpr std::size_t valuesMost = 262'144; // in one message

// Fields<T>::list names the members of T in the order of their encoding.
template<typename T> struct Fields;

template<> struct Fields<core::Credit>
{
    static constexpr auto list = std::make_tuple(&core::Credit::account, &core::Credit::shareGiven,
                                                 &core::Credit::tokensGiven);
};
template<> struct Fields<core::Want>
{
    static constexpr auto list =
        std::make_tuple(&core::Want::account, &core::Want::share, &core::Want::tokens);
};
template<> struct Fields<core::Holding>
{
    static constexpr auto list =
        std::make_tuple(&core::Holding::account, &core::Holding::spareShare);
};
template<> struct Fields<core::ClosedAccount>
{
    static constexpr auto list =
        std::make_tuple(&core::ClosedAccount::account, &core::ClosedAccount::netReceived);
};
template<> struct Fields<core::Closing>
{
    static constexpr auto list =
        std::make_tuple(&core::Closing::vm, &core::Closing::incarnation, &core::Closing::accounts,
                        &core::Closing::epoch);
};
template<> struct Fields<core::Object>
{
    static constexpr auto list =
        std::make_tuple(&core::Object::kind, &core::Object::name, &core::Object::version,
                        &core::Object::value, &core::Object::deleted);
};
template<> struct Fields<core::Header>
{
    static constexpr auto list = std::make_tuple(&core::Header::name, &core::Header::value);
};
template<> struct Fields<core::Answer>
{
    static constexpr auto list =
        std::make_tuple(&core::Answer::status, &core::Answer::headers, &core::Answer::body);
};
template<> struct Fields<core::Refusal>
{
    static constexpr auto list =
        std::make_tuple(&core::Refusal::code, &core::Refusal::run, &core::Refusal::message,
                        &core::Refusal::retryAfterMillis);
};
template<> struct Fields<core::Heartbeat>
{
    using T = core::Heartbeat;
    static constexpr auto list = std::make_tuple(
        &T::sequence, &T::echoedSequence, &T::echoDelay, &T::viewRevision, &T::viewAge,
        &T::platformFailing, &T::platformFailureAge, &T::isReady, &T::isLeaving,
        &T::requestsInFlight, &T::credits, &T::holdings, &T::closings, &T::senderEpoch,
        &T::receiverEpoch, &T::suspects);
};
template<> struct Fields<core::BorrowRequest>
{
    static constexpr auto list = std::make_tuple(&core::BorrowRequest::wants);
};
template<> struct Fields<core::BorrowReply>
{
    using T = core::BorrowReply;
    static constexpr auto list =
        std::make_tuple(&T::credits, &T::holdings, &T::sequence, &T::senderEpoch,
                        &T::receiverEpoch);
};
template<> struct Fields<core::ViewRequest>
{
    static constexpr auto list = std::make_tuple(&core::ViewRequest::after);
};
template<> struct Fields<core::ViewReply>
{
    using T = core::ViewReply;
    static constexpr auto list =
        std::make_tuple(&T::revision, &T::age, &T::isComplete, &T::objects);
};
template<> struct Fields<core::RelayRequest>
{
    using T = core::RelayRequest;
    static constexpr auto list =
        std::make_tuple(&T::correlation, &T::method, &T::path, &T::service, &T::team, &T::keyDigest,
                        &T::ticket, &T::headers, &T::body, &T::timeLeft);
};
template<> struct Fields<core::RelayReply>
{
    using T = core::RelayReply;
    static constexpr auto list =
        std::make_tuple(&T::correlation, &T::isAnswer, &T::answer, &T::refusal);
};
template<> struct Fields<core::RelayCancel>
{
    static constexpr auto list = std::make_tuple(&core::RelayCancel::correlation);
};

// What a value of a later version's enum is read as.
template<typename E> struct EnumRange;
template<> struct EnumRange<core::Run>
{
    static constexpr core::Run last = core::Run::Unknown;
    static constexpr core::Run unknown = core::Run::Unknown;
};
template<> struct EnumRange<core::RefusalCode>
{
    static constexpr core::RefusalCode last = core::RefusalCode::HomeUnreachable;
    static constexpr core::RefusalCode unknown = core::RefusalCode::OutcomeUnknown;
};

// A message's number is its place in core::Message; new ones go to its end.
template<typename T> json toJson(const T &value);

template<typename T> json toJson(const std::vector<T> &list)
{
    json array = json::array();
    for (const T &entry : list)
        array.push_back(toJson(entry));
    return array;
}

json toJson(const std::string &text)
{
    return json::binary({ text.begin(), text.end() });
}

template<typename Tag> json toJson(const core::TextId<Tag> &id)
{
    return toJson(id.text());
}

template<typename Tag> json toJson(const core::NumberId<Tag> &id)
{
    return id.number();
}

json toJson(const core::Duration &duration)
{
    return duration.toMicros();
}

bool isDefault(const json &value)
{
    if (value.is_binary())
        return value.get_binary().empty();
    if (value.is_number_integer())
        return value == 0;
    return value.is_boolean() ? !value.get<bool>() : value.empty();
}

template<typename T> void appendFields(const T &value, json *array)
{
    std::apply([&](auto... member) { (array->push_back(toJson(value.*member)), ...); },
               Fields<T>::list);
    while (!array->empty() && isDefault(array->back()))
        array->erase(array->size() - 1);
}

template<typename T> json toJson(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        return static_cast<int>(value);
    } else if constexpr (std::is_arithmetic_v<T>) {
        return value;
    } else {
        json array = json::array();
        appendFields(value, &array);
        return array;
    }
}

// Each fromJson returns false if `value` cannot be a T.
template<typename T> bool fromJson(const json &value, T *result);

template<typename T> bool fromJson(const json &value, std::vector<T> *list)
{
    if (!value.is_array() || value.size() > messageListMost)
        return false;
    list->resize(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (!fromJson(value[i], &(*list)[i]))
            return false;
    }
    return true;
}

bool fromJson(const json &value, std::string *text)
{
    if (!value.is_binary())
        return false;
    text->assign(value.get_binary().begin(), value.get_binary().end());
    return true;
}

template<typename Tag> bool fromJson(const json &value, core::TextId<Tag> *id)
{
    std::string text;
    if (!fromJson(value, &text))
        return false;
    *id = core::TextId<Tag>(std::move(text));
    return true;
}

template<typename Tag> bool fromJson(const json &value, core::NumberId<Tag> *id)
{
    if (!value.is_number_unsigned())
        return false;
    *id = core::NumberId<Tag>(value.get<std::uint64_t>());
    return true;
}

// Sums with an instant must not overflow.
constexpr std::int64_t durationMicrosMost = std::int64_t { 1 } << 60;

bool fromJson(const json &value, core::Duration *duration)
{
    if (!value.is_number_integer())
        return false;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > durationMicrosMost)
        return false;
    const auto micros = value.get<std::int64_t>();
    if (micros < -durationMicrosMost || micros > durationMicrosMost)
        return false;
    *duration = core::Duration::micros(micros);
    return true;
}

template<typename T> bool integerFromJson(const json &value, T *result)
{
    if (!value.is_number_integer())
        return false;
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
            return false;
        *result = static_cast<T>(number);
        return true;
    }
    const auto number = value.get<std::int64_t>();
    if (std::is_unsigned_v<T> || number < static_cast<std::int64_t>(std::numeric_limits<T>::min()))
        return false;
    *result = static_cast<T>(number);
    return true;
}

// `skip` entries of the array come before the first field.
template<typename T> bool readFields(const json &array, std::size_t skip, T *result)
{
    if (!array.is_array())
        return false;
    std::size_t next = skip;
    const auto readOne = [&](auto member) {
        const std::size_t index = next++;
        return index >= array.size() || fromJson(array[index], &(result->*member));
    };
    return std::apply([&](auto... member) { return (readOne(member) && ...); }, Fields<T>::list);
}

template<typename T> bool fromJson(const json &value, T *result)
{
    if constexpr (std::is_same_v<T, bool>) {
        if (!value.is_boolean())
            return false;
        *result = value.get<bool>();
        return true;
    } else if constexpr (std::is_enum_v<T>) {
        std::uint32_t number = 0;
        if (!integerFromJson(value, &number))
            return false;
        const bool isKnown = number <= static_cast<std::uint32_t>(EnumRange<T>::last);
        *result = isKnown ? static_cast<T>(number) : EnumRange<T>::unknown;
        return true;
    } else if constexpr (std::is_integral_v<T>) {
        return integerFromJson(value, result);
    } else {
        return readFields(value, 0, result);
    }
}

// Builds the tree of a message; stops at anything that no message holds.
class TreeBuilder
{
public:
    using number_integer_t = json::number_integer_t;
    using number_unsigned_t = json::number_unsigned_t;
    using number_float_t = json::number_float_t;
    using string_t = json::string_t;
    using binary_t = json::binary_t;

    json takeTree() { return std::move(root_); }

    bool null() { return add(nullptr) != nullptr; }
    bool boolean(bool value) { return add(value) != nullptr; }
    bool number_integer(number_integer_t value) { return add(value) != nullptr; }   // NOLINT
    bool number_unsigned(number_unsigned_t value) { return add(value) != nullptr; } // NOLINT
    bool number_float(number_float_t value, const string_t & /*text*/)              // NOLINT
    {
        return add(value) != nullptr;
    }
    bool string(string_t &value)
    {
        return add(json::binary({ value.begin(), value.end() })) != nullptr;
    }
    bool binary(binary_t &value) { return add(std::move(value)) != nullptr; }
    bool start_object(std::size_t /*size*/) { return false; } // NOLINT
    bool key(string_t & /*key*/) { return false; }
    bool end_object() { return false; } // NOLINT
    bool start_array(std::size_t size)  // NOLINT
    {
        const bool isUnsized = size == static_cast<std::size_t>(-1);
        if (open_.size() >= nestingMost || isUnsized || size > messageListMost)
            return false;
        json *array = add(json::array());
        if (array == nullptr)
            return false;
        open_.push_back(array);
        return true;
    }
    bool end_array() // NOLINT
    {
        open_.pop_back();
        return true;
    }
    template<typename Exception>
    bool parse_error(std::size_t /*at*/, const std::string & /*token*/, // NOLINT
                     const Exception & /*error*/)
    {
        return false;
    }

private:
    // Only the innermost open array grows, so pointers to the others stay valid.
    json *add(json value)
    {
        if (++values_ > valuesMost)
            return nullptr;
        if (open_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        open_.back()->push_back(std::move(value));
        return &open_.back()->back();
    }

    json root_;
    std::vector<json *> open_;
    std::size_t values_ = 0;
};

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
    std::string bytes;
    json::to_cbor(array, bytes);
    return bytes;
}

absl::StatusOr<Message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > messageBytesMost)
        return absl::InvalidArgumentError(fmt::format("message of {} bytes is longer than {} bytes",
                                                      bytes.size(), messageBytesMost));
    TreeBuilder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor))
        return absl::InvalidArgumentError("message is not an array of bounded CBOR");
    const json array = builder.takeTree();
    if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
        return absl::InvalidArgumentError("message does not start with its type");
    return decodeAlternative(array[0].get<std::size_t>(), array);
}

} // namespace bluebellshift::shell
