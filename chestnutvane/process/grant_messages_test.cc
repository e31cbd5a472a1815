#include "chestnutvane/process/grant_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

GrantsHeld sampleList()
{
    return {.unit = UINT64_MAX,
            .holder = {1, 2},
            .number = 3,
            .epoch = 4,
            .lastSequence = 5,
            .held = {{{6, 7}, 8, Milliseconds(-9), 10, 11, true}},
            .waiting = {12, 13}};
}

// Guards against fields that are lost or changed by encoding and decoding.
TEST(GrantMessagesTest, MessagesRoundTrip)
{
    GrantRequestMessage request{1, {{2, 3}, 4, 0, Milliseconds(5), Milliseconds(6), 7, {}}};
    request.request.tried.add(8);
    EXPECT_EQ(value(decodeGrantRequest(encode(request))), request);
    const GrantAnswer answer{1, 2, Reason::Overloaded, {3, 4}, 5, true, true};
    EXPECT_EQ(value(decodeGrantAnswer(encode(answer))), answer);
    const GrantRelease release{1, {2, 3}, {4, 5}, GrantResult::ConnectionLost, Microseconds(6)};
    EXPECT_EQ(value(decodeGrantRelease(encode(release))), release);
    EXPECT_EQ(value(decodeGrantsHeld(encode(sampleList()))), sampleList());
    const RebuildRequest rebuild{1, 2};
    EXPECT_EQ(value(decodeRebuildRequest(encode(rebuild))), rebuild);
}

// Guards against malformed input from a faulty or hostile peer that makes decoding throw or read
// out of bounds.
RC_GTEST_PROP(GrantMessagesTest, MalformedInputNeverThrows, ())
{
    std::string body = encode(sampleList());
    const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            3,
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, body.size()),
                          rc::gen::arbitrary<char>()));
    for (const auto &[at, byte] : changes)
        body[at] = byte;
    body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
    (void)decodeGrantsHeld(body);
    (void)decodeGrantRequest(body);
    (void)decodeGrantAnswer(body);
    (void)decodeGrantRelease(body);
    (void)decodeRebuildRequest(body);
}

} // namespace
} // namespace chestnutvane
