// The first pass reads the document into a Bundle and collects faults; further
// passes check what depends on the whole document: references, sums, capacity. A
// fault never stops parsing, so that an author sees all faults at once. Each
// table is read through a TableReader, which records the keys that were
// requested; all other keys are unknown.
//
// Cost: linear in the document, except for look-ups by name among regions and
// teams, of which there are tens.
#include "bluebellshift/core/bundleparser.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "bluebellshift/core/capacity.h"
#include "fmt/format.h"

#include "toml++/toml.h"

namespace bluebellshift::core {

namespace {

constexpr double bitsPerMegabit = 1e6;
constexpr double bytesPerKilobyte = 1024;
constexpr double percent = 100;
constexpr double sumTolerance = 1e-6; // fractions that should sum to 1
constexpr double maxNumber = 1e12;    // in any unit; larger values are typing errors
constexpr std::int64_t maxMillis = 24 * 3600 * 1000;
constexpr std::int64_t maxSeconds = 24 * 3600;

class Faults
{
public:
    void add(int line, std::string message) { faults_.push_back({ line, std::move(message) }); }
    void add(const toml::node &node, std::string message)
    {
        add(static_cast<int>(node.source().begin.line), std::move(message));
    }
    std::vector<BundleFault> take()
    {
        const auto byLine = [](const BundleFault &a, const BundleFault &b) {
            return a.line < b.line;
        };
        std::stable_sort(faults_.begin(), faults_.end(), byLine);
        return std::move(faults_);
    }
    bool isEmpty() const { return faults_.empty(); }

private:
    std::vector<BundleFault> faults_;
};

std::string describe(const toml::node &node)
{
    if (const auto *text = node.as_string())
        return fmt::format("\"{}\"", text->get());
    if (const auto *integer = node.as_integer())
        return fmt::format("{}", integer->get());
    if (const auto *real = node.as_floating_point())
        return fmt::format("{}", real->get());
    if (const auto *flag = node.as_boolean())
        return flag->get() ? "true" : "false";
    return node.is_table() ? "a table" : node.is_array() ? "an array" : "a date or time";
}

// Names are used in account and object names, so '/' and blanks are not allowed.
bool isName(const std::string &text)
{
    if (text.empty() || text.size() > 64)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || c == '-' || c == '_' || c == '.';
    });
}

struct Range
{
    double min = 0;
    double max = maxNumber;
    bool excludesMin = false;
};

class TableReader
{
public:
    // `tableName` is used in messages, for example `team "multan"`.
    TableReader(const toml::table &table, std::string tableName, Faults &faults)
        : table_(table)
        , tableName_(std::move(tableName))
        , faults_(faults)
    {
    }

    int line() const { return static_cast<int>(table_.source().begin.line); }
    int lineOf(const char *key) const
    {
        const toml::node *node = table_.get(key);
        return node == nullptr ? line() : static_cast<int>(node->source().begin.line);
    }
    void setTableName(std::string tableName) { tableName_ = std::move(tableName); }
    void fault(const char *key, const std::string &message)
    {
        faults_.add(lineOf(key), fmt::format("{}: {}", tableName_, message));
    }

    const toml::node *find(const char *key, bool isRequired)
    {
        requestedKeys_.insert(key);
        const toml::node *node = table_.get(key);
        if (node == nullptr && isRequired)
            faults_.add(line(), fmt::format("{}: key \"{}\" is missing", tableName_, key));
        return node;
    }

    std::string text(const char *key)
    {
        const toml::node *node = find(key, true);
        if (node == nullptr)
            return {};
        if (!node->is_string()) {
            wrongType(key, *node, "a string");
            return {};
        }
        return node->as_string()->get();
    }

    std::string name(const char *key)
    {
        const std::string value = text(key);
        if (table_.get(key) != nullptr && table_.get(key)->is_string() && !isName(value)) {
            fault(key,
                  fmt::format("\"{}\" = \"{}\" must be 1 to 64 of a-z A-Z 0-9 - _ .", key, value));
        }
        return value;
    }

    bool flag(const char *key, std::optional<bool> fallback)
    {
        const toml::node *node = find(key, !fallback.has_value());
        if (node == nullptr)
            return fallback.value_or(false);
        if (!node->is_boolean()) {
            wrongType(key, *node, "true or false");
            return fallback.value_or(false);
        }
        return node->as_boolean()->get();
    }

    double number(const char *key, Range range)
    {
        const toml::node *node = find(key, true);
        if (node == nullptr)
            return range.max;
        return checkedNumber(key, *node, range);
    }

    std::int64_t integer(const char *key, std::int64_t min, std::int64_t max)
    {
        const toml::node *node = find(key, true);
        if (node == nullptr)
            return max;
        if (!node->is_integer()) {
            wrongType(key, *node, "an integer");
            return max;
        }
        const std::int64_t value = node->as_integer()->get();
        if (value < min || value > max) {
            fault(key, fmt::format("\"{}\" = {} is not within {} to {}", key, value, min, max));
            return max;
        }
        return value;
    }

    std::vector<const toml::table *> tables(const char *key, bool isRequired)
    {
        std::vector<const toml::table *> result;
        const toml::node *node = find(key, isRequired);
        if (node == nullptr)
            return result;
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            wrongType(key, *node, fmt::format("an array of tables, [[{}]]", key));
            return result;
        }
        for (const toml::node &entry : *array) {
            if (entry.is_table())
                result.push_back(entry.as_table());
            else
                wrongType(key, entry, fmt::format("a table, [[{}]]", key));
        }
        return result;
    }

    std::vector<RegionShare> split(const char *key)
    {
        std::vector<RegionShare> result;
        const toml::node *node = find(key, true);
        if (node == nullptr)
            return result;
        const toml::table *table = node->as_table();
        if (table == nullptr) {
            wrongType(key, *node, "a table of regions and percents");
            return result;
        }
        double sum = 0;
        for (const auto &[region, value] : *table) {
            const double share = checkedNumber(region.str(), value, { 0, percent });
            sum += share;
            result.push_back({ RegionId(std::string(region.str())), share / percent });
        }
        if (std::abs(sum / percent - 1) > sumTolerance)
            fault(key, fmt::format("\"{}\" sums to {:g} percent, not 100", key, sum));
        return result;
    }

    // Reports the keys that were never requested. Call last.
    void rejectUnknown()
    {
        for (const auto &[key, node] : table_) {
            if (requestedKeys_.count(std::string(key.str())) == 0)
                faults_.add(node,
                            fmt::format("{}: unknown key \"{}\"{}", tableName_, key.str(),
                                        unitHint(std::string(key.str()))));
        }
    }

private:
    void wrongType(std::string_view key, const toml::node &node, const std::string &wanted)
    {
        faults_.add(
            node,
            fmt::format("{}: \"{}\" = {} must be {}", tableName_, key, describe(node), wanted));
    }

    double checkedNumber(std::string_view key, const toml::node &node, Range range)
    {
        const std::optional<double> value = node.value<double>();
        if (!node.is_number() || !value.has_value()) {
            wrongType(key, node, "a number");
            return range.max;
        }
        const bool tooSmall = range.excludesMin ? *value <= range.min : *value < range.min;
        if (!std::isfinite(*value) || tooSmall || *value > range.max) {
            faults_.add(node,
                        fmt::format("{}: \"{}\" = {} is not {} {} and at most {}", tableName_, key,
                                    *value, range.excludesMin ? "above" : "at least", range.min,
                                    range.max));
            return range.max;
        }
        return *value;
    }

    // Suggests the known key that shares the stem of an unknown one, to point out
    // a wrong unit: "cache_time_seconds" for "cache_time_ms".
    std::string unitHint(const std::string &key) const
    {
        const std::string stem = key.substr(0, key.rfind('_'));
        if (stem.empty())
            return {};
        for (const std::string &known : requestedKeys_) {
            const bool sharesStem = known.compare(0, stem.size() + 1, stem + "_") == 0
                || stem == known.substr(0, known.rfind('_')) || known.rfind(key + "_", 0) == 0;
            if (sharesStem)
                return fmt::format("; the unit is part of the key: \"{}\"", known);
        }
        return {};
    }

    const toml::table &table_;
    std::string tableName_;
    Faults &faults_;
    std::set<std::string> requestedKeys_;
};

class Reader
{
public:
    explicit Reader(const toml::table &root)
        : root_(root, "bundle", faults_)
    {
    }

    Bundle read()
    {
        readHeader();
        for (const toml::table *table : root_.tables("region", true))
            readRegion(*table);
        for (const toml::table *table : root_.tables("link", false))
            readLink(*table);
        for (const toml::table *table : root_.tables("team", true))
            readTeam(*table);
        for (const toml::table *table : root_.tables("service", true))
            readService(*table);
        for (const toml::table *table : root_.tables("client_block", false))
            readClientBlock(*table);
        bundle_.clientBlocks.shrink_to_fit();
        root_.rejectUnknown();
        checkSums();
        checkLinks();
        if (faults_.isEmpty())
            checkCapacity();
        return std::move(bundle_);
    }

    std::vector<BundleFault> takeFaults() { return faults_.take(); }

private:
    void readHeader()
    {
        bundle_.version = root_.name("version");
        bundle_.timeZone = root_.text("time_zone");
        bundle_.storeRegion = RegionId(root_.name("store_region"));
        bundle_.authorMaySignOff = root_.flag("author_may_sign_off", true);
        const bool looksLikeZone = bundle_.timeZone == "UTC"
            || (bundle_.timeZone.find('/') != std::string::npos
                && bundle_.timeZone.find(' ') == std::string::npos);
        if (!looksLikeZone) {
            root_.fault("time_zone",
                        fmt::format("\"time_zone\" = \"{}\" is no IANA name such as "
                                    "\"Europe/Warsaw\"",
                                    bundle_.timeZone));
        }
    }

    void readRegion(const toml::table &table)
    {
        TableReader reader(table, "region", faults_);
        Region region;
        region.id = RegionId(reader.name("name"));
        reader.setTableName(fmt::format("region \"{}\"", region.id.text()));
        region.capacityPerSecond = reader.number("capacity_per_second", { 0, 1e9, true });
        region.callerFraction = reader.number("callers_percent", { 0, percent }) / percent;
        readFailureDomains(reader, region);
        reader.rejectUnknown();
        if (bundle_.findRegion(region.id) != nullptr)
            reader.fault("name", "is listed twice");
        bundle_.regions.push_back(std::move(region));
    }

    void readFailureDomains(TableReader &reader, Region &region)
    {
        const toml::node *node = reader.find("failure_domains", true);
        if (node == nullptr)
            return;
        const toml::array *array = node->as_array();
        if (array == nullptr || array->empty()) {
            reader.fault("failure_domains", "\"failure_domains\" must be an array of names");
            return;
        }
        for (const toml::node &entry : *array) {
            const std::string name = entry.value<std::string>().value_or("");
            if (!isName(name))
                reader.fault("failure_domains",
                             fmt::format("failure domain {} is no name", describe(entry)));
            else if (!failureDomains_.insert(name).second)
                reader.fault("failure_domains",
                             fmt::format("failure domain \"{}\" is listed twice", name));
            region.failureDomains.push_back(FailureDomainId(name));
        }
    }

    void readLink(const toml::table &table)
    {
        TableReader reader(table, "link", faults_);
        Link link;
        link.from = RegionId(reader.name("from"));
        link.to = RegionId(reader.name("to"));
        reader.setTableName(fmt::format("link \"{}\" to \"{}\"", link.from.text(), link.to.text()));
        link.bitsPerSecond =
            reader.number("megabits_per_second", { 0, 1e9, true }) * bitsPerMegabit;
        reader.rejectUnknown();
        requireRegion(reader, "from", link.from);
        requireRegion(reader, "to", link.to);
        if (link.from == link.to)
            reader.fault("to", "joins a region to itself");
        for (const Link &other : bundle_.links) {
            if (other.from == link.from && other.to == link.to)
                reader.fault("from", "is listed twice");
        }
        bundle_.links.push_back(link);
    }

    void readTeam(const toml::table &table)
    {
        TableReader reader(table, "team", faults_);
        TeamLimit team;
        team.team = TeamId(reader.name("name"));
        reader.setTableName(fmt::format("team \"{}\"", team.team.text()));
        team.ratePerSecond = reader.number("rate_per_second", { 0, 1e9, true });
        team.burst = reader.number("burst", { 1, 1e9 });
        reader.rejectUnknown();
        if (bundle_.findTeam(team.team) != nullptr)
            reader.fault("name", "is listed twice");
        bundle_.teams.push_back(team);
    }

    void readService(const toml::table &table)
    {
        TableReader reader(table, "service", faults_);
        Service service;
        service.id = ServiceId(reader.name("name"));
        reader.setTableName(fmt::format("service \"{}\"", service.id.text()));
        service.trafficFraction = reader.number("traffic_percent", { 0, percent }) / percent;
        service.answerBytes =
            reader.number("answer_kilobytes", { 0, 1024, true }) * bytesPerKilobyte;
        service.cacheTime = Duration::millis(reader.integer("cache_time_ms", 0, maxMillis));
        service.requestTimeout = Duration::millis(reader.integer("timeout_ms", 1, maxMillis));
        service.shiftCapFraction =
            reader.number("shift_cap_percent", { 0, percent, true }) / percent;
        service.shiftWindow =
            Duration::seconds(reader.integer("shift_window_seconds", 1, maxSeconds));
        service.split = readSplit(reader);
        for (const toml::table *route : reader.tables("route", true))
            readRoute(*route, service);
        for (const toml::table *split : reader.tables("team_split", false))
            readTeamSplit(*split, service);
        reader.rejectUnknown();
        if (bundle_.findService(service.id) != nullptr)
            reader.fault("name", "is listed twice");
        bundle_.services.push_back(std::move(service));
    }

    std::vector<RegionShare> readSplit(TableReader &reader)
    {
        std::vector<RegionShare> split = reader.split("split_percent");
        for (const RegionShare &share : split)
            requireRegion(reader, "split_percent", share.region);
        return split;
    }

    void readRoute(const toml::table &table, Service &service)
    {
        TableReader reader(table, fmt::format("route of service \"{}\"", service.id.text()),
                           faults_);
        Route route;
        route.prefix = reader.text("prefix");
        reader.setTableName(
            fmt::format("route \"{}\" of service \"{}\"", route.prefix, service.id.text()));
        route.isOpen = reader.flag("open", std::nullopt);
        route.isIdempotent = reader.flag("repeatable", std::nullopt);
        reader.rejectUnknown();
        if (route.prefix.empty() || route.prefix.front() != '/')
            reader.fault("prefix",
                         fmt::format("\"prefix\" = \"{}\" must start with '/'", route.prefix));
        if (route.isOpen && !route.isIdempotent)
            reader.fault("open",
                         "\"open\" = true contradicts \"repeatable\" = false: a request "
                         "that may not be repeated belongs to a team");
        for (const Route &other : service.routes) {
            if (other.prefix == route.prefix)
                reader.fault("prefix", "is listed twice");
        }
        service.routes.push_back(route);
    }

    void readTeamSplit(const toml::table &table, Service &service)
    {
        TableReader reader(table, fmt::format("team_split of service \"{}\"", service.id.text()),
                           faults_);
        TeamSplit split;
        split.team = TeamId(reader.name("team"));
        split.split = readSplit(reader);
        reader.rejectUnknown();
        if (bundle_.findTeam(split.team) == nullptr)
            reader.fault("team", fmt::format("team \"{}\" does not exist", split.team.text()));
        for (const TeamSplit &other : service.teamSplits) {
            if (other.team == split.team)
                reader.fault("team", fmt::format("team \"{}\" is listed twice", split.team.text()));
        }
        service.teamSplits.push_back(std::move(split));
    }

    void readClientBlock(const toml::table &table)
    {
        TableReader reader(table, "client_block", faults_);
        const std::string cidr = reader.text("cidr");
        ClientBlock block;
        block.region = RegionId(reader.name("region"));
        reader.setTableName(fmt::format("client_block \"{}\"", cidr));
        reader.rejectUnknown();
        requireRegion(reader, "region", block.region);
        const std::string problem = parseCidr(cidr, block);
        if (!problem.empty()) {
            reader.fault("cidr", fmt::format("\"cidr\" = \"{}\" {}", cidr, problem));
            return;
        }
        if (!blocks_.insert({ block.address, block.prefixLength }).second)
            reader.fault("cidr", "is listed twice");
        bundle_.clientBlocks.push_back(block);
    }

    // Returns the error, or an empty string if `block` was filled.
    static std::string parseCidr(const std::string &cidr, ClientBlock &block)
    {
        unsigned parts[4] = { 0, 0, 0, 0 };
        unsigned length = 0;
        int used = 0;
        const int fields = std::sscanf(cidr.c_str(), "%3u.%3u.%3u.%3u/%2u%n", &parts[0], &parts[1],
                                       &parts[2], &parts[3], &length, &used);
        const bool isWhole = fields == 5 && static_cast<std::size_t>(used) == cidr.size()
            && cidr.find_first_not_of("0123456789./") == std::string::npos;
        if (!isWhole || length > 32)
            return "must be an IPv4 block such as \"10.1.0.0/16\"";
        for (const unsigned part : parts) {
            if (part > 255)
                return "has a part above 255";
            block.address = (block.address << 8) | part;
        }
        block.prefixLength = static_cast<int>(length);
        const std::uint64_t hostBits = (1ULL << (32 - length)) - 1;
        if ((block.address & hostBits) != 0)
            return "has bits set after its prefix";
        return {};
    }

    void requireRegion(TableReader &reader, const char *key, const RegionId &region)
    {
        if (!region.isEmpty() && bundle_.findRegion(region) == nullptr)
            reader.fault(key, fmt::format("region \"{}\" does not exist", region.text()));
    }

    void checkSums()
    {
        requireRegion(root_, "store_region", bundle_.storeRegion);
        double callers = 0;
        for (const Region &region : bundle_.regions)
            callers += region.callerFraction;
        if (!bundle_.regions.empty() && std::abs(callers - 1) > sumTolerance)
            root_.fault("region",
                        fmt::format("\"callers_percent\" of the regions sums to {:g}, "
                                    "not 100",
                                    callers * percent));
        double traffic = 0;
        for (const Service &service : bundle_.services)
            traffic += service.trafficFraction;
        if (!bundle_.services.empty() && std::abs(traffic - 1) > sumTolerance)
            root_.fault("service",
                        fmt::format("\"traffic_percent\" of the services sums to {:g}, "
                                    "not 100",
                                    traffic * percent));
    }

    // Each pair of regions needs a limit: a link without one could be overloaded
    // unnoticed.
    void checkLinks()
    {
        std::set<std::pair<std::string, std::string>> listed;
        for (const Link &link : bundle_.links)
            listed.insert({ link.from.text(), link.to.text() });
        for (const Region &from : bundle_.regions) {
            for (const Region &to : bundle_.regions) {
                if (from.id != to.id && listed.count({ from.id.text(), to.id.text() }) == 0)
                    root_.fault("link",
                                fmt::format("no [[link]] from \"{}\" to \"{}\"", from.id.text(),
                                            to.id.text()));
            }
        }
    }

    void checkCapacity()
    {
        for (const CapacityLoad &load : capacityLoads(bundle_)) {
            if (!load.fits())
                root_.fault("region", load.arithmetic);
        }
    }

    Faults faults_;
    TableReader root_;
    Bundle bundle_;
    std::set<std::string> failureDomains_;
    std::set<std::pair<std::uint32_t, int>> blocks_;
};

// Returns the faults; fills `bundle` when there are none.
std::vector<BundleFault> readBundle(std::string_view text, Bundle &bundle)
{
    // The packaged library reports errors by exceptions.
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &error) {
        return { { static_cast<int>(error.source().begin.line),
                   fmt::format("not TOML: {}", error.description()) } };
    }
    Reader reader(root);
    bundle = reader.read();
    return reader.takeFaults();
}

} // namespace

absl::StatusOr<Bundle> parseBundle(std::string_view toml)
{
    Bundle bundle;
    const std::vector<BundleFault> faults = readBundle(toml, bundle);
    if (faults.empty())
        return bundle;
    std::string message;
    for (const BundleFault &fault : faults)
        message +=
            fmt::format("{}line {}: {}", message.empty() ? "" : "\n", fault.line, fault.message);
    return absl::InvalidArgumentError(message);
}

std::vector<BundleFault> checkBundle(std::string_view toml)
{
    Bundle bundle;
    return readBundle(toml, bundle);
}

} // namespace bluebellshift::core
