// The list is JSON so that an operator can read it. Sums are checked on every
// read: a list whose grants exceed the whole would let a team exceed its limit.
#include "bluebellshift/core/members.h"

#include <algorithm>
#include <set>

#include "absl/status/status.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace bluebellshift::core {

namespace {

using Json = nlohmann::json;

absl::Status invalid(const std::string &text)
{
    return absl::InvalidArgumentError("ledger/members: " + text);
}

absl::StatusOr<std::int64_t> readInteger(const Json &parent, const char *field)
{
    auto it = parent.find(field);
    if (it == parent.end() || !it->is_number_integer())
        return invalid(fmt::format("field \"{}\" is not an integer", field));
    if (it->is_number_unsigned() && it->get<std::uint64_t>() > INT64_MAX)
        return invalid(fmt::format("field \"{}\" is out of range", field));
    return it->get<std::int64_t>();
}

absl::StatusOr<std::uint64_t> readUnsigned(const Json &parent, const char *field)
{
    auto it = parent.find(field);
    if (it == parent.end() || !it->is_number_unsigned())
        return invalid(fmt::format("field \"{}\" is not a positive integer", field));
    return it->get<std::uint64_t>();
}

absl::StatusOr<Voter> readVoter(const Json &json)
{
    if (!json.is_object())
        return invalid("an entry is not an object");
    auto vm = json.find("vm");
    if (vm == json.end() || !vm->is_string() || vm->get<std::string>().empty())
        return invalid("field \"vm\" is not a name");
    absl::StatusOr<std::uint64_t> incarnation = readUnsigned(json, "incarnation");
    if (!incarnation.ok())
        return incarnation.status();
    return Voter { VmId(vm->get<std::string>()), Incarnation(*incarnation) };
}

absl::Status readChanges(const Json &json, Member &member)
{
    auto changes = json.find("grantChanges");
    if (changes == json.end())
        return absl::OkStatus();
    if (!changes->is_object())
        return invalid("field \"grantChanges\" is not an object");
    for (const auto &entry : changes->items()) {
        absl::StatusOr<std::int64_t> change = readInteger(*changes, entry.key().c_str());
        if (!change.ok())
            return change.status();
        member.grantChanges[AccountId(entry.key())] = *change;
    }
    return absl::OkStatus();
}

absl::StatusOr<Member> readMember(const Json &json)
{
    absl::StatusOr<Voter> voter = readVoter(json);
    if (!voter.ok())
        return voter.status();
    absl::StatusOr<std::uint64_t> epoch = readUnsigned(json, "epoch");
    if (!epoch.ok())
        return epoch.status();
    absl::StatusOr<std::int64_t> baseGrant = readInteger(json, "baseGrant");
    if (!baseGrant.ok())
        return baseGrant.status();
    auto expelled = json.find("expelled");
    if (expelled == json.end() || !expelled->is_boolean())
        return invalid("field \"expelled\" is not a boolean");
    Member member;
    member.vm = voter->vm;
    member.incarnation = voter->incarnation;
    member.epoch = *epoch;
    member.isExpelled = expelled->get<bool>();
    member.baseGrant = *baseGrant;
    absl::Status status = readChanges(json, member);
    if (!status.ok())
        return status;
    return member;
}

absl::Status checkSums(const MemberList &list)
{
    std::int64_t base = 0;
    std::map<AccountId, std::int64_t> changes;
    std::set<std::pair<VmId, std::uint64_t>> seen;
    for (const Member &member : list.members) {
        if (member.epoch == 0 || !seen.insert({ member.vm, member.epoch }).second)
            return invalid(fmt::format("membership {} of VM \"{}\" is repeated or zero",
                                       member.epoch, member.vm.text()));
        base += member.baseGrant;
        for (const auto &[account, change] : member.grantChanges)
            changes[account] += change;
    }
    if (!list.members.empty() && base != wholeShare)
        return invalid(fmt::format("base grants sum to {}", base));
    for (const auto &[account, sum] : changes) {
        if (sum != 0)
            return invalid(fmt::format("changes of \"{}\" sum to {}", account.text(), sum));
    }
    return absl::OkStatus();
}

Json writeVoter(const VmId &vm, Incarnation incarnation)
{
    return Json { { "vm", vm.text() }, { "incarnation", incarnation.number() } };
}

} // namespace

std::int64_t Member::grant(const AccountId &account) const
{
    auto it = grantChanges.find(account);
    return baseGrant + (it == grantChanges.end() ? 0 : it->second);
}

const Member *MemberList::findActive(const VmId &vm) const
{
    const Member *newest = nullptr;
    for (const Member &member : members) {
        if (member.vm != vm || member.isExpelled)
            continue;
        if (newest == nullptr || member.epoch > newest->epoch)
            newest = &member;
    }
    return newest;
}

const Member *MemberList::find(const VmId &vm, std::uint64_t epoch) const
{
    for (const Member &member : members) {
        if (member.vm == vm && member.epoch == epoch)
            return &member;
    }
    return nullptr;
}

std::vector<Voter> MemberList::voters() const
{
    std::set<Voter> unique;
    for (const Member &member : members)
        unique.insert(Voter { member.vm, member.incarnation });
    return std::vector<Voter>(unique.begin(), unique.end());
}

std::size_t MemberList::activeCount() const
{
    return std::count_if(members.begin(), members.end(),
                         [](const Member &member) { return !member.isExpelled; });
}

absl::StatusOr<MemberList> decodeMembers(const std::string &json, Revision version)
{
    Json root = Json::parse(json, nullptr, false);
    if (!root.is_object() || !root.contains("members") || !root["members"].is_array())
        return invalid("field \"members\" is not a list");
    if (!root.contains("previousVoters") || !root["previousVoters"].is_array())
        return invalid("field \"previousVoters\" is not a list");
    MemberList list;
    list.version = version;
    for (const Json &entry : root["members"]) {
        absl::StatusOr<Member> member = readMember(entry);
        if (!member.ok())
            return member.status();
        list.members.push_back(*std::move(member));
    }
    for (const Json &entry : root["previousVoters"]) {
        absl::StatusOr<Voter> voter = readVoter(entry);
        if (!voter.ok())
            return voter.status();
        list.previousVoters.push_back(*voter);
    }
    absl::Status status = checkSums(list);
    if (!status.ok())
        return status;
    return list;
}

std::string encodeMembers(const MemberList &list)
{
    Json members = Json::array();
    for (const Member &member : list.members) {
        Json entry = writeVoter(member.vm, member.incarnation);
        entry["epoch"] = member.epoch;
        entry["expelled"] = member.isExpelled;
        entry["baseGrant"] = member.baseGrant;
        for (const auto &[account, change] : member.grantChanges)
            entry["grantChanges"][account.text()] = change;
        members.push_back(entry);
    }
    Json voters = Json::array();
    for (const Voter &voter : list.previousVoters)
        voters.push_back(writeVoter(voter.vm, voter.incarnation));
    return Json { { "members", members }, { "previousVoters", voters } }.dump();
}

} // namespace bluebellshift::core
