#include "chestnutvane/process/gateway/store/instance_entry.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a field that is encoded but not decoded, or the other way round.
TEST(InstanceEntryTest, ADecodedEntryEqualsTheEncodedOne)
{
    const PeerIdentity peer{"i1", 7, "tpe-a", "10.0.0.1:80", "10.0.0.1:7660", "10.0.0.1:9464"};
    EXPECT_EQ(decodeInstanceEntry(encodeInstanceEntry(peer)), peer);
}

// Guards against an exception, or an instance decoded from invalid bytes.
TEST(InstanceEntryTest, OtherBytesAreRefused)
{
    for (const char *text : {"", "no JSON", "[]", "{}", R"({"id": 3})", "\xff"})
        EXPECT_FALSE(decodeInstanceEntry(text)) << text;
}

} // namespace
} // namespace chestnutvane
