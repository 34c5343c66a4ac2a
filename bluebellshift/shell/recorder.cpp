// A recording is a list of CBOR arrays, each after its length in four bytes:
// first the options, then for each event its time, wall time, random number,
// body and effects. Effects are kept as the bytes of their encoding, so that a
// replay compares bytes and needs no decoder for them.
#include "bluebellshift/shell/recorder.h"

#include <optional>

#include <fmt/format.h>

#include "bluebellshift/shell/cbor.h"
#include "bluebellshift/shell/eventfields.h"

namespace bluebellshift::shell {
namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxRecordBytes = 64 * 1024 * 1024;
constexpr std::size_t eventEntries = 5;

std::string frame(const json &value)
{
    const std::string bytes = writeCbor(value);
    std::string framed;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        framed += static_cast<char>(bytes.size() >> (8 * (lengthBytes - 1 - i)));
    return framed + bytes;
}

absl::Status cut()
{
    return absl::DataLossError("the recording is cut or not understood");
}

// Reads the next record; nothing at the end of the recording.
absl::StatusOr<std::optional<json>> readRecord(std::istream &in)
{
    char head[lengthBytes];
    in.read(head, lengthBytes);
    if (in.gcount() == 0)
        return std::optional<json>();
    std::size_t length = 0;
    for (const char c : head)
        length = length << 8 | static_cast<unsigned char>(c);
    if (in.gcount() != lengthBytes || length > maxRecordBytes)
        return cut();
    std::string bytes(length, '\0');
    in.read(bytes.data(), static_cast<std::streamsize>(length));
    if (static_cast<std::size_t>(in.gcount()) != length)
        return cut();
    absl::StatusOr<json> value = parseCbor(bytes);
    if (!value.ok())
        return cut();
    return std::optional<json>(std::move(*value));
}

std::vector<std::string> encodeEffects(const core::Effects &effects)
{
    std::vector<std::string> encoded;
    encoded.reserve(effects.size());
    for (const core::Effect &effect : effects)
        encoded.push_back(writeCbor(toJson(effect)));
    return encoded;
}

bool readEvent(const json &record, core::Event *event, std::vector<std::string> *effects)
{
    return record.is_array() && record.size() == eventEntries && fromJson(record[0], &event->now)
        && fromJson(record[1], &event->wallTime) && fromJson(record[2], &event->random)
        && fromJson(record[3], &event->body) && fromJson(record[4], effects);
}

absl::Status difference(std::uint64_t number, const core::Event &event,
                        const std::vector<std::string> &recorded,
                        const std::vector<std::string> &replayed)
{
    std::size_t first = 0;
    while (first < recorded.size() && first < replayed.size() && recorded[first] == replayed[first])
        ++first;
    return absl::InternalError(
        fmt::format("event {} (kind {}) gave {} effects, recorded were {}; they differ from "
                    "effect {} on",
                    number, event.body.index(), replayed.size(), recorded.size(), first + 1));
}

} // namespace

Recorder::Recorder(const core::CoreOptions &options, Write write)
    : write_(std::move(write))
{
    write_(frame(toJson(options)));
}

void Recorder::record(const core::Event &event, const core::Effects &effects)
{
    write_(frame({ toJson(event.now), toJson(event.wallTime), event.random, toJson(event.body),
                   toJson(encodeEffects(effects)) }));
}

absl::StatusOr<ReplayReport> replay(std::istream &recording, const MakeReduce &makeReduce)
{
    const auto head = readRecord(recording);
    core::CoreOptions options;
    if (!head.ok() || !head->has_value() || !fromJson(**head, &options))
        return cut();
    const Reduce reduce = makeReduce(options);
    ReplayReport report;
    for (;;) {
        const auto record = readRecord(recording);
        if (!record.ok())
            return record.status();
        if (!record->has_value())
            return report;
        core::Event event;
        std::vector<std::string> recorded;
        if (!readEvent(**record, &event, &recorded))
            return cut();
        const std::vector<std::string> replayed = encodeEffects(reduce(event));
        ++report.events;
        report.effects += replayed.size();
        if (replayed != recorded)
            return difference(report.events, event, recorded, replayed);
    }
}

} // namespace bluebellshift::shell
