// The tree builder of nlohmann/json throws for hostile lengths, and its reader
// recurses for each nested array. The SAX handler below stops the reader before
// either happens. The reader also recurses for strings of indefinite length, of which
// the handler is not told, so that the heads of all items are checked first.
#include "bluebellshift/shell/cbor.h"

#include <string>
#include <vector>

namespace bluebellshift::shell {
namespace {

using nlohmann::json;

constexpr std::size_t maxNesting = 8;
constexpr std::size_t maxArrayEntries = 4096;
constexpr std::size_t maxValues = 262'144;

constexpr unsigned typeShift = 5; // the major type is in the upper three bits of a head
constexpr unsigned infoMask = 0x1f;
constexpr unsigned byteString = 2;
constexpr unsigned textString = 3;
constexpr unsigned firstLongInfo = 24; // a number of 1, 2, 4 or 8 bytes follows the head
constexpr unsigned lastLongInfo = 27;

// Returns whether the bytes are a sequence of items of definite length. Nesting needs no
// attention: the entries of an array follow its head.
bool hasDefiniteLengths(std::string_view bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto head = static_cast<unsigned char>(bytes[at++]);
        const unsigned info = head & infoMask;
        if (info > lastLongInfo)
            return false;
        std::uint64_t number = info;
        if (info >= firstLongInfo) {
            const std::size_t length = std::size_t { 1 } << (info - firstLongInfo);
            if (bytes.size() - at < length)
                return false;
            number = 0;
            for (std::size_t i = 0; i < length; ++i)
                number = number << 8 | static_cast<unsigned char>(bytes[at++]);
        }
        const unsigned type = head >> typeShift;
        if (type != byteString && type != textString)
            continue;
        if (bytes.size() - at < number)
            return false;
        at += number;
    }
    return true;
}

// Builds the tree of a document; stops at the first value that exceeds a limit.
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
        const bool isIndefiniteLength = size == static_cast<std::size_t>(-1);
        if (openArrays_.size() >= maxNesting || isIndefiniteLength || size > maxArrayEntries)
            return false;
        json *array = add(json::array());
        if (array == nullptr)
            return false;
        openArrays_.push_back(array);
        return true;
    }
    bool end_array() // NOLINT
    {
        openArrays_.pop_back();
        return true;
    }
    template<typename Exception>
    bool parse_error(std::size_t /*at*/, const std::string & /*token*/, // NOLINT
                     const Exception & /*error*/)
    {
        return false;
    }

private:
    // Only the innermost open array grows, so pointers to the outer ones stay valid.
    json *add(json value)
    {
        if (++valueCount_ > maxValues)
            return nullptr;
        if (openArrays_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        openArrays_.back()->push_back(std::move(value));
        return &openArrays_.back()->back();
    }

    json root_;
    std::vector<json *> openArrays_;
    std::size_t valueCount_ = 0;
};

} // namespace

absl::StatusOr<json> parseCbor(std::string_view bytes)
{
    TreeBuilder builder;
    if (!hasDefiniteLengths(bytes)
        || !json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor))
        return absl::InvalidArgumentError("CBOR is malformed or exceeds a limit");
    return builder.takeTree();
}

std::string writeCbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

} // namespace bluebellshift::shell
