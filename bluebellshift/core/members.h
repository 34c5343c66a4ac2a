// The object ledger/members: the VMs that may hold shares, and the share granted to each.
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

// One incarnation of a VM's daemon, with a vote on whether the platform is down.
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

// One membership. An incarnation may be expelled and join again; the epoch
// distinguishes its memberships.
struct Member
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t epoch = 0; // unique for each membership of a VM; never 0
    bool isExpelled = false;
    std::int64_t baseGrant = 0;                     // parts per billion of every account
    std::map<AccountId, std::int64_t> grantChanges; // added to the base grant, by account

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
    // Returns all incarnations in the list without duplicates, expelled ones included.
    std::vector<Voter> voters() const;
    std::size_t activeCount() const;
};

// Returns InvalidArgument that names the field if a field is missing or of the wrong
// type, a membership is repeated, base grants don't sum to the whole, or the grant
// changes of an account don't sum to zero.
absl::StatusOr<MemberList> decodeMembers(const std::string &json, Revision version);
std::string encodeMembers(const MemberList &list);

} // namespace bluebellshift::core
