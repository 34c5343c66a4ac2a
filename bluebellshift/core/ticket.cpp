// A ticket is the base64url form of
//
//   version (1) | VM id length (1) | VM id | incarnation (8) | number (8) |
//   salt (8) | expiry on the home's clock (8) | validity in ms (4) |
//   team digest (16) | service digest (16) | HMAC-SHA256 of all before (32)
//
// Integers are big-endian. The number alone makes a ticket unique, because the
// incarnation counts its tickets; the salt only keeps the order of issue from
// being the whole content. The MAC's secret never leaves the incarnation, so a
// ticket that verifies was issued by this very run of the daemon: a restarted
// VM can't take an old ticket for its own. A signature that other VMs could
// verify was weighed and left out, since only the home ever acts on a ticket.
//
// Cost: one HMAC over about 100 bytes to issue, the same to verify.
#include "bluebellshift/core/ticket.h"

#include <absl/strings/escaping.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace bluebellshift::core {

namespace {

constexpr char ticketVersion = 1;
constexpr std::size_t digestBytes = 16;
constexpr std::size_t macBytes = 32;
constexpr std::size_t vmIdBytesMost = 128;
constexpr std::size_t fixedBytes = 8 + 8 + 8 + 8 + 4 + 2 * digestBytes;

void appendNumber(std::string &out, std::uint64_t number, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((number >> shift) & 0xff));
}

std::uint64_t readNumber(const std::string &in, std::size_t offset, int bytes)
{
    std::uint64_t number = 0;
    for (int i = 0; i < bytes; ++i)
        number = (number << 8) | static_cast<unsigned char>(in[offset + i]);
    return number;
}

std::string shortDigest(const std::string &text)
{
    std::string digest(macBytes, '\0');
    gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data());
    digest.resize(digestBytes);
    return digest;
}

std::string authenticationCode(const std::string &secret, const std::string &text)
{
    std::string code(macBytes, '\0');
    gnutls_hmac_fast(GNUTLS_MAC_SHA256, secret.data(), secret.size(), text.data(), text.size(),
                     code.data());
    return code;
}

// The parts of a ticket's bytes, not verified.
struct Parts
{
    TicketHome home;
    Ticket ticket;
    std::string teamDigest;
    std::string serviceDigest;
    std::string authenticated; // the bytes that the MAC covers
    std::string code;
};

std::optional<Parts> split(const std::string &text)
{
    std::string bytes;
    if (text.size() > ticketTextBytesMost || !absl::WebSafeBase64Unescape(text, &bytes))
        return std::nullopt;
    if (bytes.size() < 2 || bytes[0] != ticketVersion)
        return std::nullopt;
    const std::size_t vmBytes = static_cast<unsigned char>(bytes[1]);
    if (vmBytes == 0 || bytes.size() != 2 + vmBytes + fixedBytes + macBytes)
        return std::nullopt;

    std::size_t at = 2 + vmBytes;
    Parts parts;
    parts.home.vm = VmId(bytes.substr(2, vmBytes));
    parts.home.incarnation = Incarnation(readNumber(bytes, at, 8));
    parts.ticket.number = TicketNumber(readNumber(bytes, at + 8, 8));
    parts.ticket.expiry =
        Instant::fromMicros(static_cast<std::int64_t>(readNumber(bytes, at + 24, 8)));
    parts.home.validFor =
        Duration::millis(static_cast<std::int64_t>(readNumber(bytes, at + 32, 4)));
    parts.teamDigest = bytes.substr(at + 36, digestBytes);
    parts.serviceDigest = bytes.substr(at + 36 + digestBytes, digestBytes);
    parts.authenticated = bytes.substr(0, bytes.size() - macBytes);
    parts.code = bytes.substr(bytes.size() - macBytes);
    return parts;
}

} // namespace

std::optional<TicketHome> readTicketHome(const std::string &text)
{
    const std::optional<Parts> parts = split(text);
    if (!parts)
        return std::nullopt;
    return parts->home;
}

TicketAuthority::TicketAuthority(const CoreOptions &options)
    : vm_(options.vm)
    , incarnation_(options.incarnation)
    , secret_(options.ticketSecret)
    , validFor_(options.ticketValidFor)
{
}

std::string TicketAuthority::issue(const TeamId &team, const ServiceId &service, Instant now,
                                   std::uint64_t random)
{
    const std::string vm = vm_.text().substr(0, vmIdBytesMost);
    const Instant expiry = now + validFor_;
    ++issued_;

    std::string bytes;
    bytes.push_back(ticketVersion);
    bytes.push_back(static_cast<char>(vm.size()));
    bytes += vm;
    appendNumber(bytes, incarnation_.number(), 8);
    appendNumber(bytes, issued_, 8);
    appendNumber(bytes, random, 8);
    appendNumber(bytes, static_cast<std::uint64_t>(expiry.toMicros()), 8);
    appendNumber(bytes, static_cast<std::uint64_t>(validFor_.toMillis()), 4);
    bytes += shortDigest(team.text());
    bytes += shortDigest(service.text());
    bytes += authenticationCode(secret_, bytes);

    if (lastExpiry_ < expiry)
        lastExpiry_ = expiry;
    return std::string(absl::WebSafeBase64Escape(bytes));
}

TicketCheck TicketAuthority::verify(const std::string &text, const TeamId &team,
                                    const ServiceId &service, Instant now) const
{
    const std::optional<Parts> parts = split(text);
    if (!parts)
        return { TicketStatus::Malformed, {} };
    if (parts->home.vm != vm_)
        return { TicketStatus::OfAnotherVm, {} };
    if (parts->home.incarnation != incarnation_)
        return { TicketStatus::OfEarlierIncarnation, {} };

    const std::string expected = authenticationCode(secret_, parts->authenticated);
    if (gnutls_memcmp(expected.data(), parts->code.data(), macBytes) != 0)
        return { TicketStatus::Forged, {} };
    if (parts->teamDigest != shortDigest(team.text()))
        return { TicketStatus::OfAnotherTeam, {} };
    if (parts->serviceDigest != shortDigest(service.text()))
        return { TicketStatus::OfAnotherService, {} };
    if (parts->ticket.expiry <= now)
        return { TicketStatus::Expired, parts->ticket };
    return { TicketStatus::Valid, parts->ticket };
}

} // namespace bluebellshift::core
