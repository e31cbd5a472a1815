#include "chestnutvane/operator/log_record.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a line that is misread: text of a collector in front, values in quotes, and lines
// that are no events.
TEST(LogRecordTest, LinesAreTakenApart)
{
    const auto record = parseLogLine(
            "  12.5 front-1 2026-12-04T10:00:00.250 i1 WARNING 505 store-failed "
            "reason=unavailable detail=\"no \\\"answer\\\" in time\" empty=\"\" last=1");
    ASSERT_TRUE(record);
    EXPECT_EQ(record->instance, "i1");
    EXPECT_EQ(record->event, Event::StoreFailed);
    EXPECT_EQ(record->field("detail"), "no \"answer\" in time");
    EXPECT_EQ(record->field("empty"), "");
    EXPECT_EQ(record->field("last"), "1");
    for (const std::string_view other :
         {"", "listening", "2026-12-04T10:00:00.250", "2026-12-04T10:00:00.250 i1 INFO 7 x",
          "2026-12-04T10:00:00.250 i1 INFO 505 another-name",
          "2026-12-04 10:00:00.250 i1 INFO 505"})
        EXPECT_FALSE(parseLogLine(other)) << other;
}

// Guards against a time that is off by a month or an hour.
TEST(LogRecordTest, TimesAreMillisecondsApart)
{
    const auto records = parseLog("2026-02-28T23:59:59.999 i1 INFO 506 store-regained\n"
                                  "no event\n"
                                  "2026-03-01T00:00:00.000 i1 INFO 506 store-regained\n"
                                  "2026-03-01T01:00:00.000 i1 INFO 506 store-regained");
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records[1].milliseconds - records[0].milliseconds, 1);
    EXPECT_EQ(records[2].milliseconds - records[1].milliseconds, 3'600'000);
}

} // namespace
} // namespace chestnutvane
