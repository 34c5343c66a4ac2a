// Strict reading of TOML: each fault is kept with its line, and each key that
// nobody asked for is a fault.
//
//   std::vector<SettingsFault> faults;
//   TomlDocument document("vm.toml", text, &faults);
//   TomlTable vm = document.root().table("vm");
//   std::string id = vm.text("id");
//   document.root().finish();      // reports unknown keys, here and below
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::shell {

// One fault of a settings file. Line 0: the fault is of the whole file.
struct SettingsFault
{
    std::string file;
    int line = 0;
    std::string message; // names the key and the value

    // "vm.toml:3: vm.id must not be empty"
    std::string text() const;
};

// An InvalidArgument status that holds every fault, one to a line.
absl::Status faultsToStatus(const std::vector<SettingsFault> &faults);

// Reads a whole file; NotFound or PermissionDenied names the path.
absl::Status readTextFile(const std::string &path, std::string *text);

// One table of a document. A missing or wrong value is reported as a fault and
// read as the fallback, so that one pass finds every fault.
class TomlTable
{
public:
    // An empty fallback means that the key is required.
    std::string text(const char *key);
    std::vector<std::string> texts(const char *key);
    std::int64_t integer(const char *key, std::int64_t least, std::int64_t most);
    std::int64_t integer(const char *key, std::int64_t least, std::int64_t most,
                         std::int64_t fallback);
    double number(const char *key, double least, double most, double fallback);
    // A text with its unit: "250ms", "3s", "2min".
    core::Duration duration(const char *key, core::Duration least, core::Duration most,
                            core::Duration fallback);
    // Required tables; a missing one is a fault and reads as empty.
    TomlTable table(const char *key);
    std::vector<TomlTable> tables(const char *key);
    bool has(const char *key) const;

    // Adds a fault at the line of `key`, or of the table if there is no such key.
    void fault(const char *key, const std::string &message);
    // The path and value of a key as faults show them: `vm.id "x"`.
    std::string describe(const char *key) const;
    // Reports the keys that nobody read, in this table and those read from it.
    void finish();

private:
    friend class TomlDocument;
    struct Node;
    explicit TomlTable(std::shared_ptr<Node> node);
    const void *find(const char *key);

    std::shared_ptr<Node> node_;
};

// One parsed file. A syntax error is a fault and gives an empty root.
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
