// A thin layer over tomlplusplus. Each table records which of its keys were read;
// finish() traverses the tables and reports the others. The parser stops at a
// syntax error, which is then the only fault of its file; all other faults are
// collected.
#include "bluebellshift/shell/tomlreader.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace bluebellshift::shell {

struct TomlTable::Node
{
    const toml::table *table = nullptr;
    std::shared_ptr<toml::table> owner; // set in the root only
    std::string path;                   // ends with a dot; empty for the root
    std::string file;
    int line = 0;
    std::set<std::string> read;
    std::vector<std::shared_ptr<Node>> children;
    std::vector<SettingsFault> *faults = nullptr;
};

namespace {

const toml::table &emptyTable()
{
    static const toml::table table;
    return table;
}

std::string formatValue(const toml::node &node)
{
    std::ostringstream out;
    if (const auto *text = node.as_string())
        out << '"' << text->get() << '"';
    else if (node.is_table())
        out << "(a table)";
    else if (node.is_array())
        out << "(a list)";
    else
        node.visit([&out](const auto &value) {
            if constexpr (toml::is_value<decltype(value)>)
                out << value;
        });
    return out.str();
}

struct Unit
{
    const char *suffix;
    std::int64_t micros;
};

constexpr Unit units[] = {
    { "us", 1 }, { "ms", 1000 }, { "s", 1'000'000 }, { "min", 60'000'000 }, { "h", 3'600'000'000 }
};

// Limits the digits of a duration, so that its product with the unit fits 64 bits.
constexpr std::int64_t maxDurationDigits = 9;

// Returns false unless `text` consists of digits and a unit.
bool parseDuration(const std::string &text, core::Duration *duration)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    if (digits == std::string::npos || digits == 0 || digits > maxDurationDigits)
        return false;
    const std::string suffix = text.substr(digits);
    for (const Unit &unit : units) {
        if (suffix == unit.suffix) {
            *duration = core::Duration::micros(std::stoll(text.substr(0, digits)) * unit.micros);
            return true;
        }
    }
    return false;
}

std::string formatDuration(core::Duration duration)
{
    if (duration.toMicros() % 1'000'000 == 0)
        return fmt::format("{}s", duration.toMicros() / 1'000'000);
    return fmt::format("{}ms", duration.toMillis());
}

} // namespace

std::string SettingsFault::text() const
{
    if (line == 0)
        return fmt::format("{}: {}", file, message);
    return fmt::format("{}:{}: {}", file, line, message);
}

absl::Status faultsToStatus(const std::vector<SettingsFault> &faults)
{
    std::string all;
    for (const SettingsFault &fault : faults) {
        if (!all.empty())
            all += '\n';
        all += fault.text();
    }
    return absl::InvalidArgumentError(all);
}

absl::Status readTextFile(const std::string &path, std::string *text)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        const int error = errno;
        const std::string message =
            fmt::format("cannot read \"{}\": {}", path, std::strerror(error));
        return error == EACCES ? absl::PermissionDeniedError(message)
                               : absl::NotFoundError(message);
    }
    std::ostringstream out;
    out << in.rdbuf();
    *text = out.str();
    return absl::OkStatus();
}

TomlTable::TomlTable(std::shared_ptr<Node> node)
    : node_(std::move(node))
{
}

bool TomlTable::has(const char *key) const
{
    return node_->table->contains(key);
}

std::string TomlTable::describe(const char *key) const
{
    const toml::node *value = node_->table->get(key);
    if (value == nullptr)
        return node_->path + key;
    return fmt::format("{}{} {}", node_->path, key, formatValue(*value));
}

void TomlTable::fault(const char *key, const std::string &message)
{
    const toml::node *value = node_->table->get(key);
    const int line = value == nullptr ? node_->line : static_cast<int>(value->source().begin.line);
    node_->faults->push_back({ node_->file, line, message });
}

const void *TomlTable::find(const char *key)
{
    node_->read.insert(key);
    return node_->table->get(key);
}

std::string TomlTable::text(const char *key)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    if (value == nullptr) {
        fault(key, fmt::format("{} is missing", describe(key)));
        return "";
    }
    if (!value->is_string()) {
        fault(key, fmt::format("{} must be a text", describe(key)));
        return "";
    }
    if (value->as_string()->get().empty())
        fault(key, fmt::format("{} must not be empty", describe(key)));
    return value->as_string()->get();
}

std::vector<std::string> TomlTable::texts(const char *key)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    std::vector<std::string> result;
    if (value == nullptr || !value->is_array() || value->as_array()->empty()) {
        fault(key, fmt::format("{} must be a list of at least one text", describe(key)));
        return result;
    }
    for (const toml::node &entry : *value->as_array()) {
        if (!entry.is_string() || entry.as_string()->get().empty())
            fault(key,
                  fmt::format("{}{} holds {}, which must be a text", node_->path, key,
                              formatValue(entry)));
        else
            result.push_back(entry.as_string()->get());
    }
    return result;
}

std::int64_t TomlTable::integer(const char *key, std::int64_t minimum, std::int64_t maximum)
{
    if (!has(key)) {
        find(key);
        fault(key, fmt::format("{} is missing", describe(key)));
        return minimum;
    }
    return integer(key, minimum, maximum, minimum);
}

std::int64_t TomlTable::integer(const char *key, std::int64_t minimum, std::int64_t maximum,
                                std::int64_t fallback)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    if (value == nullptr)
        return fallback;
    if (!value->is_integer()) {
        fault(key, fmt::format("{} must be a whole number without a unit", describe(key)));
        return fallback;
    }
    const std::int64_t number = value->as_integer()->get();
    if (number < minimum || number > maximum) {
        fault(key, fmt::format("{} must be from {} to {}", describe(key), minimum, maximum));
        return fallback;
    }
    return number;
}

double TomlTable::number(const char *key, double minimum, double maximum, double fallback)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    if (value == nullptr)
        return fallback;
    const auto number = value->value<double>();
    if (!value->is_number() || !number || !(*number >= minimum && *number <= maximum)) {
        fault(key,
              fmt::format("{} must be a number from {} to {}", describe(key), minimum, maximum));
        return fallback;
    }
    return *number;
}

core::Duration TomlTable::duration(const char *key, core::Duration minimum, core::Duration maximum,
                                   core::Duration fallback)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    if (value == nullptr)
        return fallback;
    core::Duration result;
    if (!value->is_string() || !parseDuration(value->as_string()->get(), &result)) {
        fault(key,
              fmt::format("{} must be a text with its unit, such as \"{}\"", describe(key),
                          formatDuration(fallback)));
        return fallback;
    }
    if (result < minimum || result > maximum) {
        fault(key,
              fmt::format("{} must be from {} to {}", describe(key), formatDuration(minimum),
                          formatDuration(maximum)));
        return fallback;
    }
    return result;
}

TomlTable TomlTable::table(const char *key)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    auto child = std::make_shared<Node>();
    child->table = &emptyTable();
    child->path = node_->path + key + ".";
    child->file = node_->file;
    child->line = node_->line;
    child->faults = node_->faults;
    if (value == nullptr)
        fault(key, fmt::format("table [{}{}] is missing", node_->path, key));
    else if (!value->is_table())
        fault(key, fmt::format("{} must be a table", describe(key)));
    else {
        child->table = value->as_table();
        child->line = static_cast<int>(value->source().begin.line);
        node_->children.push_back(child);
    }
    return TomlTable(child);
}

std::vector<TomlTable> TomlTable::tables(const char *key)
{
    const auto *value = static_cast<const toml::node *>(find(key));
    std::vector<TomlTable> result;
    if (value == nullptr || !value->is_array() || value->as_array()->empty()
        || !value->as_array()->is_array_of_tables()) {
        fault(key, fmt::format("at least one table [[{}{}]] is needed", node_->path, key));
        return result;
    }
    for (const toml::node &entry : *value->as_array()) {
        auto child = std::make_shared<Node>();
        child->table = entry.as_table();
        child->path = node_->path + key + ".";
        child->file = node_->file;
        child->line = static_cast<int>(entry.source().begin.line);
        child->faults = node_->faults;
        node_->children.push_back(child);
        result.push_back(TomlTable(child));
    }
    return result;
}

void TomlTable::finish()
{
    for (const auto &[key, value] : *node_->table) {
        const std::string name(key.str());
        if (node_->read.count(name) == 0)
            fault(name.c_str(), fmt::format("unknown key {}", describe(name.c_str())));
    }
    for (const auto &child : node_->children)
        TomlTable(child).finish();
}

TomlDocument::TomlDocument(std::string file, const std::string &text,
                           std::vector<SettingsFault> *faults)
    : root_(std::make_shared<TomlTable::Node>())
{
    TomlTable::Node &node = *root_.node_;
    node.file = std::move(file);
    node.faults = faults;
    node.owner = std::make_shared<toml::table>();
    node.table = node.owner.get();
    try {
        *node.owner = toml::parse(text, node.file);
        isParsed_ = true;
    } catch (const toml::parse_error &error) {
        faults->push_back({ node.file, static_cast<int>(error.source().begin.line),
                            fmt::format("not TOML: {}", error.description()) });
    }
}

} // namespace bluebellshift::shell
