// The object ledger/members: which VMs may hold shares, and the share granted to each.
//
//   absl::StatusOr<MemberList> list = decodeMembers(object.value, object.version);
//   const Member *self = list->findActive(vm);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

inline constexpr std::int64_t wholeShare = 1'000'000'000; // parts per billion
inline constexpr char membersName[] = "members";

// One run of one VM's daemon, with a vote on whether the platform is down.
struct Voter
{
    VmId vm;
    Incarnation incarnation;

    friend bool operator==(const Voter &a, const Voter &b)
    {
        return a.vm == b.vm && a.incarnation == b.incarnation;
    }
    friend bool operator<(const Voter &a, const Voter &b)
    {
        return a.vm == b.vm ? a.incarnation < b.incarnation : a.vm < b.vm;
    }
};

// One membership. The same incarnation may be expelled and join again; the
// epoch tells its memberships apart.
struct Member
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t epoch = 0; // unique for each membership of a VM; never 0
    bool isExpelled = false;
    std::int64_t baseGrant = 0;                     // parts per billion of every account
    std::map<AccountId, std::int64_t> grantChanges; // added to the base, for one account

    std::int64_t grant(const AccountId &account) const;
};

struct MemberList
{
    Revision version; // of the object; 0: it does not exist
    std::vector<Member> members;
    std::vector<Voter> previousVoters; // of the version before this one

    // Returns the newest membership of a VM that is not expelled, or null.
    const Member *findActive(const VmId &vm) const;
    const Member *find(const VmId &vm, std::uint64_t epoch) const;
    // Every incarnation in the list, expelled ones too, without repetition.
    std::vector<Voter> voters() const;
    std::size_t activeCount() const;
};

// Fails with InvalidArgument, naming the field, on anything unexpected: a
// missing field, a wrong type, a repeated membership, or base grants or changes
// of one account that do not sum to the whole.
absl::StatusOr<MemberList> decodeMembers(const std::string &json, Revision version);
std::string encodeMembers(const MemberList &list);

} // namespace bluebellshift::core
