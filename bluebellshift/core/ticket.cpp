// A ticket is the base64url form of
//
//   version (1) | VM id length (1) | VM id | incarnation (8) | number (8) |
//   salt (8) | expiry on the home's clock (8) | validity in ms (4) |
//   team digest (16) | service digest (16) | HMAC-SHA256 of all before (32)
//
// with sizes in bytes and big-endian integers. The number alone makes a ticket
// unique, since each incarnation counts its tickets; the salt makes consecutive
// tickets differ in more than the number. The secret of the MAC never leaves the
// incarnation, so a ticket that verifies was issued by this run of the daemon,
// and a restarted VM can't accept a ticket of an earlier run. A signature that
// other VMs could verify is not needed, since only the home acts on a ticket.
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
constexpr std::size_t maxVmIdBytes = 128;
constexpr std::size_t fixedBytes = 8 + 8 + 8 + 8 + 4 + 2 * digestBytes;

void appendBigEndian(std::string &out, std::uint64_t number, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((number >> shift) & 0xff));
}

std::uint64_t readBigEndian(const std::string &in, std::size_t offset, int bytes)
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
    std::string mac(macBytes, '\0');
    gnutls_hmac_fast(GNUTLS_MAC_SHA256, secret.data(), secret.size(), text.data(), text.size(),
                     mac.data());
    return mac;
}

// The decoded fields of a ticket, not verified.
struct TicketFields
{
    TicketHome home;
    Ticket ticket;
    std::string teamDigest;
    std::string serviceDigest;
    std::string authenticatedBytes; // the bytes that the MAC covers
    std::string mac;
};

std::optional<TicketFields> parseTicket(const std::string &text)
{
    std::string bytes;
    if (text.size() > maxTicketTextBytes || !absl::WebSafeBase64Unescape(text, &bytes))
        return std::nullopt;
    if (bytes.size() < 2 || bytes[0] != ticketVersion)
        return std::nullopt;
    const std::size_t vmBytes = static_cast<unsigned char>(bytes[1]);
    if (vmBytes == 0 || bytes.size() != 2 + vmBytes + fixedBytes + macBytes)
        return std::nullopt;

    std::size_t offset = 2 + vmBytes;
    TicketFields fields;
    fields.home.vm = VmId(bytes.substr(2, vmBytes));
    fields.home.incarnation = Incarnation(readBigEndian(bytes, offset, 8));
    fields.ticket.number = TicketNumber(readBigEndian(bytes, offset + 8, 8));
    fields.ticket.expiry =
        Instant::fromMicros(static_cast<std::int64_t>(readBigEndian(bytes, offset + 24, 8)));
    fields.home.validFor =
        Duration::millis(static_cast<std::int64_t>(readBigEndian(bytes, offset + 32, 4)));
    fields.teamDigest = bytes.substr(offset + 36, digestBytes);
    fields.serviceDigest = bytes.substr(offset + 36 + digestBytes, digestBytes);
    fields.authenticatedBytes = bytes.substr(0, bytes.size() - macBytes);
    fields.mac = bytes.substr(bytes.size() - macBytes);
    return fields;
}

} // namespace

std::optional<TicketHome> readTicketHome(const std::string &text)
{
    const std::optional<TicketFields> fields = parseTicket(text);
    if (!fields)
        return std::nullopt;
    return fields->home;
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
    const std::string vm = vm_.text().substr(0, maxVmIdBytes);
    const Instant expiry = now + validFor_;
    ++issued_;

    std::string bytes;
    bytes.push_back(ticketVersion);
    bytes.push_back(static_cast<char>(vm.size()));
    bytes += vm;
    appendBigEndian(bytes, incarnation_.number(), 8);
    appendBigEndian(bytes, issued_, 8);
    appendBigEndian(bytes, random, 8);
    appendBigEndian(bytes, static_cast<std::uint64_t>(expiry.toMicros()), 8);
    appendBigEndian(bytes, static_cast<std::uint64_t>(validFor_.toMillis()), 4);
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
    const std::optional<TicketFields> fields = parseTicket(text);
    if (!fields)
        return { TicketStatus::Malformed, {} };
    if (fields->home.vm != vm_)
        return { TicketStatus::OfAnotherVm, {} };
    if (fields->home.incarnation != incarnation_)
        return { TicketStatus::OfEarlierIncarnation, {} };

    const std::string expected = authenticationCode(secret_, fields->authenticatedBytes);
    if (gnutls_memcmp(expected.data(), fields->mac.data(), macBytes) != 0)
        return { TicketStatus::Forged, {} };
    if (fields->teamDigest != shortDigest(team.text()))
        return { TicketStatus::OfAnotherTeam, {} };
    if (fields->serviceDigest != shortDigest(service.text()))
        return { TicketStatus::OfAnotherService, {} };
    if (fields->ticket.expiry <= now)
        return { TicketStatus::Expired, fields->ticket };
    return { TicketStatus::Valid, fields->ticket };
}

} // namespace bluebellshift::core
