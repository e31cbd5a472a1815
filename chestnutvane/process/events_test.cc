#include "chestnutvane/process/events.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

namespace chestnutvane {
namespace {

// Guards against a catalogue that lacks an event, keeps a removed one, or differs from the program.
TEST(EventsTest, CatalogueIsUpToDate)
{
    std::vector<std::string> expected;
    for (const auto &row : eventRows)
        expected.push_back("| " + std::to_string(static_cast<int>(row.event)) + " | `"
                           + std::string(row.name) + "` | "
                           + std::string(enumName(logLevelNames, row.level)) + " | "
                           + std::string(row.meaning) + " |");
    std::vector<std::string> found;
    std::ifstream file(CHESTNUTVANE_SOURCE_DIR "/docs/events.md");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| ") && line.find("| number |") != 0)
            found.push_back(line.substr(0, line.rfind(" |", line.size() - 3) + 2));
    }
    EXPECT_EQ(found, expected);
}

} // namespace
} // namespace chestnutvane
