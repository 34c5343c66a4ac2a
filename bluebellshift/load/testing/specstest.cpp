#include <CppUTest/TestHarness.h>

#include "bluebellshift/load/specs.h"

using namespace bluebellshift::core;
using namespace bluebellshift::load;

TEST_GROUP(Specs) {};

TEST(Specs, EveryFieldIsRead)
{
    const TeamLoad team =
        *parseTeam("name=multan,key=K=1,rate=400.5,limit=300,burst=600,client=10.0.0.1,vm=2");
    STRCMP_EQUAL("multan", team.team.text().c_str());
    STRCMP_EQUAL("K=1", team.key.c_str());
    DOUBLES_EQUAL(400.5, team.ratePerSecond, 0);
    DOUBLES_EQUAL(300, team.limitPerSecond, 0);
    DOUBLES_EQUAL(600, team.burst, 0);
    STRCMP_EQUAL("10.0.0.1", team.clientAddress.c_str());
    LONGS_EQUAL(2, team.vm);
    const ServiceLoad service = *parseService("name=rota,weight=3,path=/turns,once=/turns/swap");
    STRCMP_EQUAL("/turns/swap", service.nonIdempotentPath.c_str());
    STRCMP_EQUAL("/x", parseService("name=rota,path=/x")->nonIdempotentPath.c_str());
    const LoadChange change = *parseChange("team=multan,at_ms=1500,factor=4,vm=1");
    LONGS_EQUAL(1500, change.at.toMillis());
    DOUBLES_EQUAL(4, change.factor, 0);
    LONGS_EQUAL(1, change.vm);
    const Endpoint endpoint = *parseEndpoint("127.0.0.1:8080");
    STRCMP_EQUAL("127.0.0.1", endpoint.address.c_str());
    LONGS_EQUAL(8080, endpoint.port);
}

TEST(Specs, ErrorsNameWhatIsWrong)
{
    const struct
    {
        absl::Status status;
        const char *message;
    } cases[] = {
        { parseTeam("").status(), "\"\" in \"\" is unknown" },
        { parseTeam("rate=1").status(), "\"name\" is missing in \"rate=1\"" },
        { parseTeam("name=a,speed=1").status(), "\"speed=1\" in \"name=a,speed=1\" is unknown" },
        { parseTeam("name=a,rate=fast").status(), "\"fast\" is no number in \"name=a,rate=fast\"" },
        { parseTeam("name=a,rate=-1").status(), "\"-1\" is no number in \"name=a,rate=-1\"" },
        { parseTeam("name=a,").status(), "\"\" in \"name=a,\" is unknown" },
        { parseService("path=/").status(), "\"name\" is missing in \"path=/\"" },
        { parseChange("at_ms=1").status(), "\"team\" is missing in \"at_ms=1\"" },
        { parseEndpoint("127.0.0.1").status(), "\"127.0.0.1\" is not ADDRESS:PORT" },
        { parseEndpoint(":80").status(), "\":80\" is not ADDRESS:PORT" },
        { parseEndpoint("a:70000").status(), "\"a:70000\" is not ADDRESS:PORT" },
    };
    for (const auto &c : cases)
        STRCMP_EQUAL(c.message, std::string(c.status.message()).c_str());
}
