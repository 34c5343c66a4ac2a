#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/view.h"

using namespace bluebellshift::core;

TEST_GROUP(ViewAudit) {};

// The audit trail only grows. If the view held it, every peer that asks for the view
// would receive it.
TEST(ViewAudit, AuditTrailIsNotPartOfTheView)
{
    View view({ [](std::string_view toml) { return parseBundle(toml); },
                [](const std::string &json) { return decodeRollout(json); } });
    std::vector<Object> objects { { kind::vms, "list", Revision(1), "[]", false } };
    for (std::uint64_t i = 2; i <= 5000; ++i)
        objects.push_back({ kind::audit, std::to_string(i), Revision(i), "{}", false });
    CHECK(view.install(Revision(), Revision(5000), true, objects) == View::InstallResult::Newer);
    CHECK(view.revision() == Revision(5000));
    LONGS_EQUAL(1, view.changedSince(Revision()).size());
    const std::vector<Object> later { { kind::audit, "x", Revision(5001), "{}", false } };
    CHECK(view.install(Revision(5000), Revision(5001), false, later) == View::InstallResult::Newer);
    CHECK(view.find(kind::audit, "x") == nullptr);
    LONGS_EQUAL(0, view.changedSince(Revision(5000)).size());
}
