// Strict TOML reader: reports every fault with its line, and treats each key that
// is not read as a fault.
//
//   std::vector<SettingsFault> faults;
//   TomlDocument document("vm.toml", text, &faults);
//   TomlTable vm = document.root().table("vm");
//   std::string id = vm.text("id");
//   document.root().finish();      // reports unknown keys in the root and in tables read from it
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::shell {

// A fault in a settings file. Line 0: the fault concerns the whole file.
struct SettingsFault
{
    std::string file;
    int line = 0;
    std::string message; // names the key and the value

    // "vm.toml:3: vm.id must not be empty"
    std::string text() const;
};

// Returns an InvalidArgument status that lists all faults, one per line.
absl::Status faultsToStatus(const std::vector<SettingsFault> &faults);

// Reads a whole file. The message of NotFound or PermissionDenied names the path.
absl::Status readTextFile(const std::string &path, std::string *text);

// A table of a document. A missing or invalid value is reported as a fault and
// replaced by the fallback, so that one pass finds all faults.
class TomlTable
{
public:
    // Without a fallback the key is required. Texts and lists must not be empty.
    std::string text(const char *key);
    std::vector<std::string> texts(const char *key);
    std::int64_t integer(const char *key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const char *key, std::int64_t minimum, std::int64_t maximum,
                         std::int64_t fallback);
    double number(const char *key, double minimum, double maximum, double fallback);
    // Reads a string with a unit: "250ms", "3s", "2min".
    core::Duration duration(const char *key, core::Duration minimum, core::Duration maximum,
                            core::Duration fallback);
    // The table is required; a missing one is reported as a fault and reads as empty.
    TomlTable table(const char *key);
    std::vector<TomlTable> tables(const char *key);
    bool has(const char *key) const;

    // Adds a fault at the line of `key`, or at that of the table if it has no such key.
    void fault(const char *key, const std::string &message);
    // Returns the path and value of a key as used in fault messages: `vm.id "x"`.
    std::string describe(const char *key) const;
    // Reports the keys that were not read, in this table and in those read from it.
    void finish();

private:
    friend class TomlDocument;
    struct Node;
    explicit TomlTable(std::shared_ptr<Node> node);
    const void *find(const char *key);

    std::shared_ptr<Node> node_;
};

// A parsed file. A syntax error is reported as a fault and leaves the root empty.
class TomlDocument
{
public:
    TomlDocument(std::string file, const std::string &text, std::vector<SettingsFault> *faults);
    TomlTable root() const { return root_; }
    bool isParsed() const { return isParsed_; }

private:
    bool isParsed_ = false;
    TomlTable root_;
};

} // namespace bluebellshift::shell
