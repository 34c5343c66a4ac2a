// Strong types for the identifiers used by every module.
//
//   TeamId team("multan-mothers");
//   VmId vm("punjab-a-1");
//   team == vm; // does not compile
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bluebellshift::core {

// A text identifier. Each kind is a type of its own, without conversions between them.
template<typename Tag> class TextId
{
public:
    TextId() = default;
    explicit TextId(std::string text)
        : text_(std::move(text))
    {
    }

    const std::string &text() const { return text_; }
    bool isEmpty() const { return text_.empty(); }

    friend bool operator==(const TextId &a, const TextId &b) { return a.text_ == b.text_; }
    friend bool operator!=(const TextId &a, const TextId &b) { return a.text_ != b.text_; }
    friend bool operator<(const TextId &a, const TextId &b) { return a.text_ < b.text_; }
    friend std::ostream &operator<<(std::ostream &out, const TextId &id) { return out << id.text_; }

private:
    std::string text_;
};

// A numeric identifier. Each kind is a type of its own, without conversions between them.
template<typename Tag> class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t number)
        : number_(number)
    {
    }

    constexpr std::uint64_t number() const { return number_; }

    friend bool operator==(NumberId a, NumberId b) { return a.number_ == b.number_; }
    friend bool operator!=(NumberId a, NumberId b) { return a.number_ != b.number_; }
    friend bool operator<(NumberId a, NumberId b) { return a.number_ < b.number_; }
    friend bool operator<=(NumberId a, NumberId b) { return a.number_ <= b.number_; }
    friend bool operator>(NumberId a, NumberId b) { return a.number_ > b.number_; }
    friend bool operator>=(NumberId a, NumberId b) { return a.number_ >= b.number_; }

private:
    std::uint64_t number_ = 0;
};

using VmId = TextId<struct VmTag>;
using TeamId = TextId<struct TeamTag>;
using ServiceId = TextId<struct ServiceTag>;
using TargetId = TextId<struct TargetTag>;
using RegionId = TextId<struct RegionTag>;
using FailureDomainId = TextId<struct FailureDomainTag>;
using AccountId = TextId<struct AccountTag>;   // a limited quantity that the ledger divides
using KeyDigest = TextId<struct KeyDigestTag>; // lower-case hex SHA-256 of a caller's key
using OperatorId = TextId<struct OperatorTag>;

using Incarnation = NumberId<struct IncarnationTag>; // one run of a VM's daemon; 0: none
using Revision = NumberId<struct RevisionTag>;       // of the platform's store; never decreases
using StoreEra = NumberId<struct StoreEraTag>; // counts the restorations of the platform's store
using RequestId = NumberId<struct RequestTag>; // unique within one incarnation
using CallId = NumberId<struct CallTag>; // one call to the platform; unique within one incarnation

} // namespace bluebellshift::core

template<typename Tag> struct std::hash<bluebellshift::core::TextId<Tag>>
{
    std::size_t operator()(const bluebellshift::core::TextId<Tag> &id) const
    {
        return std::hash<std::string>()(id.text());
    }
};

template<typename Tag> struct std::hash<bluebellshift::core::NumberId<Tag>>
{
    std::size_t operator()(bluebellshift::core::NumberId<Tag> id) const
    {
        return std::hash<std::uint64_t>()(id.number());
    }
};
