#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/ticket.h"

using namespace bluebellshift::core;

TEST_GROUP(Ticket)
{
    static CoreOptions options(const char *vm, std::uint64_t incarnation, const char *secret)
    {
        CoreOptions options;
        options.vm = VmId(vm);
        options.incarnation = Incarnation(incarnation);
        options.ticketSecret = secret;
        return options;
    }

    const TeamId team_ { "multan" };
    const ServiceId service_ { "rota" };
    const Instant now_ = Instant::fromMicros(77'000'000);
};

TEST(Ticket, VerifiesOnlyForItsOwnHomeTeamAndService)
{
    TicketAuthority home(options("vm-1", 7, "a"));
    const std::string text = home.issue(team_, service_, now_, 3);
    const std::string other = home.issue(team_, service_, now_, 3);
    const Duration validFor = CoreOptions().ticketValidFor;
    const struct
    {
        const char *name;
        TicketAuthority authority;
        const char *team;
        const char *service;
        Duration later;
        TicketStatus status;
    } cases[] = {
        { "valid", home, "multan", "rota", Duration(), TicketStatus::Valid },
        { "last instant", home, "multan", "rota", validFor - Duration::micros(1),
          TicketStatus::Valid },
        { "expired", home, "multan", "rota", validFor, TicketStatus::Expired },
        { "other team", home, "sukkur", "rota", Duration(), TicketStatus::OfAnotherTeam },
        { "other service", home, "multan", "fund", Duration(), TicketStatus::OfAnotherService },
        { "other VM", TicketAuthority(options("vm-2", 7, "a")), "multan", "rota", Duration(),
          TicketStatus::OfAnotherVm },
        { "restarted", TicketAuthority(options("vm-1", 8, "b")), "multan", "rota", Duration(),
          TicketStatus::OfEarlierIncarnation },
        { "other secret", TicketAuthority(options("vm-1", 7, "b")), "multan", "rota", Duration(),
          TicketStatus::Forged },
    };
    for (const auto &c : cases) {
        const TicketCheck check =
            c.authority.verify(text, TeamId(c.team), ServiceId(c.service), now_ + c.later);
        CHECK_TEXT(c.status == check.status, c.name);
    }
    CHECK(text != other);
    CHECK(home.verify(text, team_, service_, now_).ticket.number
          != home.verify(other, team_, service_, now_).ticket.number);
    CHECK(home.lastExpiry() == now_ + validFor);
}

TEST(Ticket, AnyVmReadsTheHome)
{
    TicketAuthority home(options("punjab-a-1", 7, "a"));
    const auto read = readTicketHome(home.issue(team_, service_, now_, 3));
    CHECK(read.has_value());
    STRCMP_EQUAL("punjab-a-1", read->vm.text().c_str());
    CHECK(read->incarnation == Incarnation(7));
    CHECK(read->validFor == CoreOptions().ticketValidFor);
}

TEST(Ticket, AnyChangedCharacterIsDetected)
{
    TicketAuthority home(options("vm-1", 7, "a"));
    const std::string text = home.issue(team_, service_, now_, 3);
    CHECK(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_")
          == std::string::npos);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'Q' : 'A';
        const TicketCheck check = home.verify(changed, team_, service_, now_);
        CHECK_TEXT(check.status != TicketStatus::Valid, changed.c_str());
        CHECK_TEXT(home.verify(text.substr(0, i), team_, service_, now_).status
                       == TicketStatus::Malformed,
                   "cut");
    }
    CHECK(home.verify(text + "AAAA", team_, service_, now_).status == TicketStatus::Malformed);
    CHECK(!readTicketHome(std::string(100'000, 'A')).has_value());
}
