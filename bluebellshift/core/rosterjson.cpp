// Decoders parse without exceptions. A reader records the first error, so that the
// caller reads all fields first and checks for an error once.
#include "bluebellshift/core/rosterjson.h"

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace bluebellshift::core {

namespace {

using nlohmann::json;

constexpr std::size_t digestHexDigits = 64;
constexpr int maxPort = 65535;
constexpr int maxCount = 1'000'000;

// Reads the fields of one JSON object and records the first error.
class FieldReader
{
public:
    FieldReader(const json &object, std::string path)
        : object_(object)
        , path_(std::move(path))
    {
        if (!object_.is_object())
            fail("is not an object");
    }

    std::string text(const char *name)
    {
        const json *field = find(name);
        if (field == nullptr)
            return {};
        if (!field->is_string() || field->get_ref<const std::string &>().empty()) {
            fail(std::string("field \"") + name + "\" is not a text: " + field->dump());
            return {};
        }
        return field->get<std::string>();
    }

    int number(const char *name, int min, int max)
    {
        const json *field = find(name);
        if (field == nullptr)
            return 0;
        if (!field->is_number_integer() || field->get<std::int64_t>() < min
            || field->get<std::int64_t>() > max) {
            fail(std::string("field \"") + name + "\" is not a number from " + std::to_string(min)
                 + " to " + std::to_string(max) + ": " + field->dump());
            return 0;
        }
        return field->get<int>();
    }

    // Returns false for a missing field.
    bool flag(const char *name)
    {
        if (!object_.is_object() || !object_.contains(name))
            return false;
        const json &field = object_[name];
        if (!field.is_boolean()) {
            fail(std::string("field \"") + name + "\" is not true or false: " + field.dump());
            return false;
        }
        return field.get<bool>();
    }

    Endpoint endpoint(const char *name)
    {
        const json *field = find(name);
        if (field == nullptr)
            return {};
        FieldReader nested(*field, path_ + ", " + name);
        Endpoint endpoint = nested.endpointFields();
        if (status_.ok())
            status_ = nested.status();
        return endpoint;
    }

    Endpoint endpointFields()
    {
        Endpoint endpoint;
        endpoint.address = text("address");
        endpoint.port = static_cast<std::uint16_t>(number("port", 1, maxPort));
        return endpoint;
    }

    const absl::Status &status() const { return status_; }

private:
    const json *find(const char *name)
    {
        if (!object_.is_object())
            return nullptr;
        auto found = object_.find(name);
        if (found == object_.end()) {
            fail(std::string("field \"") + name + "\" is missing");
            return nullptr;
        }
        return &*found;
    }

    void fail(const std::string &message)
    {
        if (status_.ok())
            status_ = absl::InvalidArgumentError(path_ + ": " + message);
    }

    const json &object_;
    std::string path_;
    absl::Status status_;
};

json parseQuietly(const std::string &text)
{
    return json::parse(text, nullptr, false);
}

// Decodes each entry of a list with `decodeEntry(FieldReader &) -> Entry`.
template<typename Entry, typename Decode>
absl::StatusOr<std::vector<Entry>> decodeList(const json &list, const char *description,
                                              Decode decodeEntry)
{
    if (!list.is_array())
        return absl::InvalidArgumentError(std::string(description) + " is not a list");
    std::vector<Entry> entries;
    for (std::size_t i = 0; i < list.size(); ++i) {
        FieldReader reader(list[i], std::string(description) + " entry " + std::to_string(i));
        Entry entry = decodeEntry(reader);
        if (!reader.status().ok())
            return reader.status();
        entries.push_back(std::move(entry));
    }
    return entries;
}

bool isDigest(const std::string &text)
{
    if (text.size() != digestHexDigits)
        return false;
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

absl::StatusOr<std::vector<KeyDigest>> decodeKeyDigests(const std::string &text)
{
    const json document = parseQuietly(text);
    if (!document.is_object() || !document.contains("digests"))
        return absl::InvalidArgumentError("field \"digests\" is missing");
    absl::StatusOr<std::vector<KeyDigest>> digests =
        decodeList<KeyDigest>(document["digests"], "digests",
                              [](FieldReader &reader) { return KeyDigest(reader.text("digest")); });
    if (!digests.ok())
        return digests;
    for (const KeyDigest &digest : *digests) {
        if (!isDigest(digest.text()))
            return absl::InvalidArgumentError("a digest is not 64 lower-case hex digits");
    }
    return digests;
}

absl::StatusOr<std::vector<Target>> decodeTargetList(const ServiceId &service,
                                                     const std::string &text)
{
    return decodeList<Target>(parseQuietly(text), "targets", [&service](FieldReader &reader) {
        Target target;
        target.id = TargetId(reader.text("id"));
        target.service = service;
        target.region = RegionId(reader.text("region"));
        target.failureDomain = FailureDomainId(reader.text("failure_domain"));
        target.endpoint = reader.endpointFields();
        target.slots = reader.number("slots", 1, maxCount);
        target.connections = reader.number("connections", 1, maxCount);
        target.isLeaving = reader.flag("leaving");
        return target;
    });
}

absl::StatusOr<std::vector<Vm>> decodeVmList(const std::string &text)
{
    return decodeList<Vm>(parseQuietly(text), "vms", [](FieldReader &reader) {
        Vm vm;
        vm.id = VmId(reader.text("id"));
        vm.region = RegionId(reader.text("region"));
        vm.failureDomain = FailureDomainId(reader.text("failure_domain"));
        vm.callers = reader.endpoint("callers");
        vm.peers = reader.endpoint("peers");
        vm.isLeaving = reader.flag("leaving");
        return vm;
    });
}

absl::StatusOr<std::string> decodeBundleText(const std::string &text)
{
    const json document = parseQuietly(text);
    FieldReader reader(document, "bundle");
    std::string toml = reader.text("toml");
    if (!reader.status().ok())
        return reader.status();
    return toml;
}

} // namespace bluebellshift::core
