// Authentication and authorization of operators for the administration API.
//
//   absl::StatusOr<Operators> operators = loadOperators("operators.toml");
//   absl::StatusOr<Operator> by = operators->authenticate(authorizationHeader);
//   absl::Status allowed = checkChange(*by, { kind, name, stored, value }, findObject);
//
// The file contains digests of the operators' keys, never the keys themselves:
//
//   [[operator]]
//   id = "amina"
//   roles = ["key-manager", "viewer"]
//   key_sha256 = "..."  # 64 hexadecimal digits
//
// | role        | permissions                                       |
// |-------------|---------------------------------------------------|
// | viewer      | read all but key digests; all other roles may too |
// | key-manager | read and change key digests                       |
// | author      | store a new bundle with its own id as the author  |
// | approver    | sign off a bundle, once                           |
// | roller      | roll out a signed-off bundle; drain targets       |
//
// No operator may change the VM list, the ledger or the audit trail.
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
    // Returns the operator whose key is in the `Authorization: Bearer <key>` header.
    // Unauthenticated: the key belongs to no operator; the message contains no part
    // of the header.
    absl::StatusOr<Operator> authenticate(const std::string &authorization) const;
    std::size_t count() const { return entries_.size(); }

private:
    friend absl::StatusOr<Operators> parseOperators(const std::string &, const std::string &,
                                                    std::vector<SettingsFault> *);
    struct Entry
    {
        Operator identity;
        std::string keyDigest; // lower-case hex SHA-256
    };
    std::vector<Entry> entries_;
};

// Ids and digests must be unique.
absl::StatusOr<Operators> parseOperators(const std::string &file, const std::string &text,
                                         std::vector<SettingsFault> *faults = nullptr);
absl::StatusOr<Operators> loadOperators(const std::string &path,
                                        std::vector<SettingsFault> *faults = nullptr);

// PermissionDenied names the missing role.
absl::Status checkRead(const Operator &actor, const std::string &kind);

struct ProposedChange
{
    std::string kind;
    std::string name;
    std::optional<core::Object> stored; // the object in the current view
    std::string value;                  // JSON
};

using FindObject =
    std::function<std::optional<core::Object>(const std::string &kind, const std::string &name)>;

// PermissionDenied: this operator may not make the change; InvalidArgument: the
// value is invalid and no VM could apply it; FailedPrecondition: the bundle is not
// signed off, or the change would modify a stored bundle.
absl::Status checkChange(const Operator &actor, const ProposedChange &change,
                         const FindObject &findObject);

// Returns a one-line summary for the audit trail, without digests.
std::string summarizeChange(const ProposedChange &change);

} // namespace bluebellshift::shell
