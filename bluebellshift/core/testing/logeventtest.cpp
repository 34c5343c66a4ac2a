#include "bluebellshift/core/logevent.h"

#include <fstream>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::core;

namespace {

const char *levelText(LogLevel level)
{
    const char *names[] = { "debug", "info", "warning", "error" };
    return names[static_cast<int>(level)];
}

// The rows of docs/events.md by event number, each cut after its level column.
std::map<int, std::string> readCatalogue()
{
    std::map<int, std::string> rows;
    std::ifstream in("docs/events.md");
    std::string line;
    while (std::getline(in, line)) {
        if (line.size() < 6 || line[0] != '|' || line[2] < '0' || line[2] > '9')
            continue;
        std::size_t end = 0;
        for (int bars = 0; bars < 4 && end != std::string::npos; ++bars)
            end = line.find('|', bars == 0 ? 0 : end + 1);
        const int number = std::stoi(line.substr(2));
        CHECK_TEXT(rows.count(number) == 0, line.c_str());
        rows[number] = line.substr(0, end + 1);
    }
    return rows;
}

} // namespace

TEST_GROUP(LogEvent) {};

TEST(LogEvent, CatalogueAndCodeListTheSameEvents)
{
    std::map<int, std::string> rows = readCatalogue();
    std::set<std::string> names;
    int previousNumber = 0;
    for (const LogEvent &event : allLogEvents()) {
        CHECK_TEXT(event.number > previousNumber, event.name);
        CHECK_TEXT(names.insert(event.name).second, event.name);
        previousNumber = event.number;
        const std::string row = "| " + std::to_string(event.number) + " | " + event.name + " | "
            + levelText(event.level) + " |";
        STRCMP_EQUAL(row.c_str(), rows[event.number].c_str());
        rows.erase(event.number);
    }
    for (const auto &[number, row] : rows)
        FAIL(("only in docs/events.md: " + row).c_str());
}
