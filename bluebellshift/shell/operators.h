// Who may read and change what through the administration API.
//
//   absl::StatusOr<Operators> operators = loadOperators("operators.toml");
//   absl::StatusOr<Operator> by = operators->authenticate(authorizationHeader);
//   absl::Status allowed = checkChange(*by, { kind, name, stored, value }, findObject);
//
// The file holds digests, never keys:
//
//   [[operator]]
//   id = "amina"
//   roles = ["key-manager", "viewer"]
//   key_sha256 = "..."  # 64 hexadecimal digits
//
// | role        | may                                              |
// |-------------|--------------------------------------------------|
// | viewer      | read all but key digests; so may every other role |
// | key-manager | read and change key digests                      |
// | author      | store a new bundle, under its own name           |
// | approver    | sign a bundle off, once                          |
// | roller      | roll out a signed-off bundle; drain targets      |
//
// Nobody changes the VM list, the ledger or the audit trail.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/shell/tomlreader.h"

namespace bluebellshift::shell {

enum class Role { Viewer, KeyManager, Author, Approver, Roller };

struct Operator
{
    core::OperatorId id;
    std::vector<Role> roles; // at least one

    bool has(Role role) const;
};

class Operators
{
public:
    // The operator whose key an `Authorization: Bearer <key>` header carries.
    // Unauthenticated: there is none; the message holds no part of the header.
    absl::StatusOr<Operator> authenticate(const std::string &authorization) const;
    std::size_t count() const { return entries_.size(); }

private:
    friend absl::StatusOr<Operators> parseOperators(const std::string &, const std::string &,
                                                    std::vector<SettingsFault> *);
    struct Entry
    {
        Operator who;
        std::string keyDigest; // lower-case hex SHA-256
    };
    std::vector<Entry> entries_;
};

// Ids and digests must differ from each other.
absl::StatusOr<Operators> parseOperators(const std::string &file, const std::string &text,
                                         std::vector<SettingsFault> *faults = nullptr);
absl::StatusOr<Operators> loadOperators(const std::string &path,
                                        std::vector<SettingsFault> *faults = nullptr);

// PermissionDenied says which role is missing.
absl::Status checkRead(const Operator &by, const std::string &kind);

struct ProposedChange
{
    std::string kind;
    std::string name;
    std::optional<core::Object> stored; // what the view holds now
    std::string value;                  // JSON
};

using FindObject =
    std::function<std::optional<core::Object>(const std::string &kind, const std::string &name)>;

// OK, or PermissionDenied: not by this operator; InvalidArgument: the value
// could not be put in force; FailedPrecondition: a bundle that is not signed off,
// or a change of a stored bundle.
absl::Status checkChange(const Operator &by, const ProposedChange &change,
                         const FindObject &findObject);

// One line for the audit trail, without digests.
std::string summarizeChange(const ProposedChange &change);

} // namespace bluebellshift::shell
