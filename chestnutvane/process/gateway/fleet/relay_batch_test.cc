#include "chestnutvane/process/gateway/fleet/relay_batch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

RelayFrame frame(std::uint64_t incarnation, std::string report)
{
    return {incarnation, 7, Audience::OtherRegions, 2, true, Milliseconds(130), std::move(report)};
}

// Guards against frames that are lost or changed on their way.
RC_GTEST_PROP(RelayBatchTest, BatchesAreReadAsTheyWereWritten, ())
{
    RelayBatch batch{*rc::gen::arbitrary<std::uint64_t>(), Hop::BetweenZones, {}};
    const auto reports =
            *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
    for (const std::string &report : reports)
        batch.frames.push_back(frame(*rc::gen::arbitrary<std::uint64_t>(), report));
    const auto maxBytes = *rc::gen::inRange<std::size_t>(0, 400);
    std::vector<RelayFrame> read;
    for (const std::string &datagram : encodeBatches(batch, maxBytes)) {
        RC_ASSERT(isBatch(datagram));
        const auto decoded = decodeBatch(datagram);
        RC_ASSERT(isOk(decoded));
        RC_ASSERT(value(decoded).sender == batch.sender);
        RC_ASSERT(datagram.size() <= maxBytes || value(decoded).frames.size() <= 1);
        for (const RelayFrame &one : value(decoded).frames)
            read.push_back(one);
    }
    RC_ASSERT(read == batch.frames);
}

// Guards against a datagram that ends the process or is taken in part.
RC_GTEST_PROP(RelayBatchTest, OtherBytesAreAnError, ())
{
    const std::string whole = encodeBatches({1, Hop::ToMembers, {frame(2, "report")}}, 1000).at(0);
    const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!isOk(decodeBatch(whole.substr(0, length))) || length == 10); // the head alone
    RC_ASSERT(!isOk(decodeBatch(whole + *rc::gen::nonEmpty<std::string>())));
    auto bytes = *rc::gen::arbitrary<std::string>();
    (void)decodeBatch("B" + bytes); // any result, but no end of the process
}

// Guards against a single report that is taken for a batch.
TEST(RelayBatchTest, ASingleReportIsNoBatch)
{
    EXPECT_FALSE(isBatch(""));
    EXPECT_FALSE(isBatch("\x8c\x03"));
}

} // namespace
} // namespace chestnutvane
