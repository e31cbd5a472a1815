#include "chestnutvane/process/gateway/instance_entry.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a field that is written but not read, or the other way round.
TEST(InstanceEntryTest, ADecodedEntryEqualsTheEncodedOne)
{
    const PeerIdentity peer{"i1", 7, "tpe-a", "10.0.0.1:80", "10.0.0.1:7660", "10.0.0.1:9464"};
    EXPECT_EQ(decodeInstanceEntry(encodeInstanceEntry(peer)), peer);
}

// Guards against an exception, or an instance made up from the bytes of another writer.
TEST(InstanceEntryTest, OtherBytesAreRefused)
{
    for (const char *text : {"", "no JSON", "[]", "{}", R"({"id": 3})", "\xff"})
        EXPECT_FALSE(decodeInstanceEntry(text)) << text;
}

} // namespace
} // namespace chestnutvane
