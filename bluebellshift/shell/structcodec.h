// Encodes structs as positional JSON arrays, for CBOR. Private to the codecs.
//
// Each struct lists its members once, as pointers to members; the encoder and the
// decoder both iterate over that list:
//
//   template<> struct Fields<core::Want>
//   {
//       static constexpr auto list
//           = std::make_tuple(&core::Want::account, &core::Want::share);
//   };
//
// Trailing fields with their default value are omitted. The decoder ignores
// additional entries and gives missing fields their default value.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/storerevision.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::shell {

using nlohmann::json;

inline constexpr std::size_t maxListEntries = 4096;

// Fields<T>::list contains pointers to the members of T in encoding order.
template<typename T> struct Fields;

// `last` is the enum's last value. A value of a later version is decoded as
// `unknown`.
template<typename E> struct EnumRange;

// Codec<T>::encode and decode, if defined, are used instead of a list of fields.
template<typename T> struct Codec;
template<typename T, typename = void> struct HasCodec : std::false_type
{
};
template<typename T> struct HasCodec<T, std::void_t<decltype(&Codec<T>::encode)>> : std::true_type
{
};
template<typename T> inline constexpr bool hasCodec = HasCodec<T>::value;

// Declared before the templates that call them.
inline json toJson(const std::string &text);
inline bool fromJson(const json &value, std::string *text);
inline json toJson(core::RevisionNumber revision);
inline json toJson(const core::Duration &duration);
inline bool fromJson(const json &value, core::Duration *duration);

// Encodes a variant as an array: the index of the alternative, then its fields.
template<typename... Types> json toJson(const std::variant<Types...> &value);
template<typename... Types> bool fromJson(const json &value, std::variant<Types...> *result);

template<typename T> json toJson(const T &value);

template<typename Tag> json toJson(const core::TextId<Tag> &id);

template<typename T> json toJson(const std::vector<T> &list)
{
    json array = json::array();
    for (const T &entry : list)
        array.push_back(toJson(entry));
    return array;
}

inline json toJson(const std::string &text)
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

inline json toJson(core::RevisionNumber revision)
{
    return revision.number();
}

inline json toJson(const core::Duration &duration)
{
    return duration.toMicros();
}

// Converts to the type of any field; only used unevaluated.
struct ConvertibleToAny
{
    template<typename T> operator T() const; // NOLINT
};

template<typename T, std::size_t... Index>
constexpr auto isInitializableFrom(std::index_sequence<Index...>)
    -> decltype(T { (static_cast<void>(Index), ConvertibleToAny {})... }, bool())
{
    return true;
}
template<typename T> constexpr bool isInitializableFrom(...)
{
    return false;
}

// Returns the number of fields of an aggregate, at most 31.
template<typename T, std::size_t Count = 31> constexpr std::size_t fieldCount()
{
    if constexpr (Count == 0 || isInitializableFrom<T>(std::make_index_sequence<Count>()))
        return Count;
    else
        return fieldCount<T, Count - 1>();
}

template<typename T> json encodeAllFields(const T &value)
{
    static_assert(std::tuple_size_v<decltype(Fields<T>::list)> == fieldCount<T>(),
                  "Fields<T>::list must name every field");
    json array = json::array();
    std::apply([&](auto... member) { (array.push_back(toJson(value.*member)), ...); },
               Fields<T>::list);
    return array;
}

template<typename T> json encodeFields(const T &value)
{
    static const json defaults = encodeAllFields(T());
    json array = encodeAllFields(value);
    while (!array.empty() && array.back() == defaults[array.size() - 1])
        array.erase(array.size() - 1);
    return array;
}

template<typename T> json toJson(const T &value)
{
    if constexpr (hasCodec<T>)
        return Codec<T>::encode(value);
    else if constexpr (std::is_enum_v<T>)
        return static_cast<int>(value);
    else if constexpr (std::is_arithmetic_v<T>)
        return value;
    else
        return encodeFields(value);
}

// Each fromJson returns false if `value` is not a valid encoding of T.
template<typename T> bool fromJson(const json &value, T *result);

template<typename Tag> bool fromJson(const json &value, core::TextId<Tag> *id);

template<typename T> bool fromJson(const json &value, std::vector<T> *list)
{
    if (!value.is_array() || value.size() > maxListEntries)
        return false;
    list->resize(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (!fromJson(value[i], &(*list)[i]))
            return false;
    }
    return true;
}

inline bool fromJson(const json &value, std::string *text)
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

inline bool fromJson(const json &value, core::RevisionNumber *revision)
{
    if (!value.is_number_unsigned())
        return false;
    *revision = core::RevisionNumber(value.get<std::uint64_t>());
    return true;
}

// Keeps the sum of a duration and an instant from overflowing.
inline constexpr std::int64_t maxDurationMicros = std::int64_t { 1 } << 60;

inline bool fromJson(const json &value, core::Duration *duration)
{
    if (!value.is_number_integer())
        return false;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > maxDurationMicros)
        return false;
    const auto micros = value.get<std::int64_t>();
    if (micros < -maxDurationMicros || micros > maxDurationMicros)
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

// The first field is preceded by `skip` entries of the array.
template<typename T> bool decodeFields(const json &array, std::size_t skip, T *result)
{
    if (!array.is_array())
        return false;
    std::size_t next = skip;
    const auto decodeNext = [&](auto member) {
        const std::size_t index = next++;
        return index >= array.size() || fromJson(array[index], &(result->*member));
    };
    return std::apply([&](auto... member) { return (decodeNext(member) && ...); }, Fields<T>::list);
}

template<typename T> bool fromJson(const json &value, T *result)
{
    if constexpr (hasCodec<T>) {
        return Codec<T>::decode(value, result);
    } else if constexpr (std::is_floating_point_v<T>) {
        if (!value.is_number())
            return false;
        *result = value.get<T>();
        return true;
    } else if constexpr (std::is_same_v<T, bool>) {
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
        return decodeFields(value, 0, result);
    }
}

template<typename... Types> json toJson(const std::variant<Types...> &value)
{
    json array = std::visit([](const auto &body) { return encodeFields(body); }, value);
    array.insert(array.begin(), json(value.index()));
    return array;
}

template<std::size_t Index, typename Variant>
bool decodeAlternative(std::size_t type, const json &array, Variant *result)
{
    if constexpr (Index == std::variant_size_v<Variant>) {
        return false;
    } else {
        if (type != Index)
            return decodeAlternative<Index + 1>(type, array, result);
        return decodeFields(array, 1, &result->template emplace<Index>());
    }
}

template<typename... Types> bool fromJson(const json &value, std::variant<Types...> *result)
{
    if (!value.is_array() || value.empty() || !value[0].is_number_unsigned())
        return false;
    return decodeAlternative<0>(value[0].get<std::size_t>(), value, result);
}

} // namespace bluebellshift::shell
