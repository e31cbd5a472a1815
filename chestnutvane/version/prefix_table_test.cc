#include "chestnutvane/version/prefix_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <string>

namespace chestnutvane {
namespace {

// The naive table: a scan of all blocks for the longest one that contains the address.
using NaiveTable = std::map<ClientBlock, std::uint8_t>;

std::optional<std::uint8_t> naiveLookUp(const NaiveTable &table, const IpAddress &address)
{
    std::optional<std::uint8_t> found;
    int longest = -1;
    for (const auto &[block, choice] : table) {
        if (block.start.family == address.family && block.length > longest
            && maskAddress(address, block.length) == block.start) {
            longest = block.length;
            found = choice;
        }
    }
    return found;
}

// Addresses close to each other and to both ends of the space, so that blocks nest and touch.
IpAddress randomAddress(std::mt19937_64 &random)
{
    const std::uint64_t anchors[] = {0, 0x0a01000000000000, 0x20010db800000000, ~std::uint64_t{0}};
    const std::uint64_t noise = random() & random() >> (random() % 64);
    const std::uint64_t high = anchors[random() % 4] ^ noise;
    if (random() % 2 == 0)
        return {high & 0xffffffff00000000, 0, IpFamily::V4};
    const std::uint64_t low = random() % 4 == 0 ? ~std::uint64_t{0} : random() >> (random() % 64);
    return {high, low, IpFamily::V6};
}

ClientBlock randomBlock(std::mt19937_64 &random)
{
    const auto address = randomAddress(random);
    const int longest = address.family == IpFamily::V4 ? 32 : random() % 4 == 0 ? 128 : 64;
    const int length = static_cast<int>(random() % static_cast<unsigned>(longest + 1));
    return {maskAddress(address, length), static_cast<std::uint8_t>(length)};
}

NaiveTable randomTable(std::mt19937_64 &random, std::size_t count)
{
    NaiveTable table;
    for (std::size_t i = 0; i < count; ++i)
        table[randomBlock(random)] = static_cast<std::uint8_t>(random());
    return table;
}

std::vector<BlockChoice> blocksOf(const NaiveTable &table)
{
    std::vector<BlockChoice> blocks;
    blocks.reserve(table.size());
    for (const auto &[block, choice] : table)
        blocks.push_back({block, choice});
    return blocks;
}

void checkLookUps(const PrefixTable &table, const NaiveTable &naive, std::mt19937_64 &random)
{
    for (int i = 0; i < 60; ++i) {
        auto address = randomAddress(random);
        // A neighbour of a block's start finds mistakes at the edges.
        auto at = naive.begin();
        std::advance(at, random() % naive.size());
        if (i % 2 == 0)
            address = {at->first.start.high + random() % 3 - 1,
                       at->first.start.low + random() % 3 - 1, IpFamily::V6};
        if (i % 4 == 0)
            address = {(at->first.start.high - (random() % 2 << 32)) & 0xffffffff00000000, 0,
                       IpFamily::V4};
        RC_ASSERT(table.lookUp(address) == naiveLookUp(naive, address));
    }
}

// Guards against a look-up that differs from a scan of all blocks, with tables of one page, where
// most addresses have no match, and of many, where an enclosing block lies in an earlier page.
RC_GTEST_PROP(PrefixTableTest, LookUpEqualsScan, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const std::size_t counts[] = {1, 20, 6000};
    const auto naive = randomTable(random, counts[seed % 3]);
    const auto table = PrefixTable::build(blocksOf(naive));
    RC_ASSERT(isOk(table));
    checkLookUps(value(table), naive, random);
    RC_ASSERT(value(table).blocks() == blocksOf(naive));
}

// Guards against an update that loses, keeps or misplaces a block, also when pages split, join or
// vanish, and against one that alters the table it started from.
RC_GTEST_PROP(PrefixTableTest, ChangesEqualRebuild, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const std::size_t counts[] = {1, 20, 4000};
    auto naive = randomTable(random, counts[seed % 3]);
    const auto before = blocksOf(naive);
    const auto first = PrefixTable::build(before);
    RC_ASSERT(isOk(first));
    PrefixTable table = value(first);
    for (int round = 0; round < 3; ++round) {
        std::vector<BlockChange> changes;
        const std::size_t removed = round == 1 ? naive.size() * 9 / 10 : naive.size() / 100;
        for (std::size_t i = 0; i < removed; ++i) {
            auto at = naive.begin();
            std::advance(at, random() % std::min<std::size_t>(naive.size(), 50));
            changes.push_back({at->first, std::nullopt});
            naive.erase(at);
        }
        for (std::size_t i = round == 2 ? 3000 : 1; i > 0; --i) {
            const auto block = randomBlock(random);
            const auto choice = static_cast<std::uint8_t>(random());
            changes.push_back({block, choice});
            naive[block] = choice;
        }
        changes.push_back({randomBlock(random), std::nullopt});
        naive.erase(changes.back().block);
        table = table.withChanges(changes);
        RC_ASSERT(table.blocks() == blocksOf(naive));
        if (!naive.empty())
            checkLookUps(table, naive, random);
    }
    RC_ASSERT(value(first).blocks() == before);
}

// Guards against wrong answers in a /8 with more ranges than 16-bit offsets can count, against the
// choice 255 taken for "no choice", and against an update there that damages other slices.
TEST(PrefixTableTest, DensePageEqualsScan)
{
    std::mt19937_64 random(3);
    NaiveTable naive;
    const auto addBlocks = [&](std::size_t count, std::vector<BlockChange> &changes) {
        for (std::size_t i = 0; i < count; ++i) {
            const int length = random() % 50 == 0 ? 8 + static_cast<int>(random() % 16)
                                                  : 24 + static_cast<int>(random() % 9);
            const std::uint64_t high = 0x0a00000000000000 | (random() >> 8 & ~0xffffffffULL);
            const ClientBlock block{maskAddress({high, 0, IpFamily::V4}, length),
                                    static_cast<std::uint8_t>(length)};
            const auto choice = static_cast<std::uint8_t>(random() % 2 == 0 ? 255 : random());
            naive[block] = choice;
            changes.push_back({block, choice});
        }
    };
    std::vector<BlockChange> changes;
    addBlocks(60000, changes);
    auto table = value(PrefixTable::build(blocksOf(naive)));
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < 300; ++i) {
            auto at = naive.begin();
            std::advance(at, random() % naive.size());
            const std::uint64_t offset = (random() % 3) << 32;
            const IpAddress address{at->first.start.high + offset - (1ULL << 32), 0, IpFamily::V4};
            ASSERT_EQ(table.lookUp(address), naiveLookUp(naive, address)) << addressText(address);
        }
        changes.clear();
        addBlocks(20, changes);
        table = table.withChanges(changes);
    }
    ASSERT_EQ(table.blocks(), blocksOf(naive));
}

// Guards against wrong answers at the edges of the groups and pages that IPv6 look-ups search, and
// against an enclosing block missed in an earlier group or page or behind the copies of the last
// block. The blocks nest in the first and the last /32 of the space, so that most addresses lie in
// several and the largest address is a key.
TEST(PrefixTableTest, Ipv6GroupsEqualScan)
{
    std::mt19937_64 random(5);
    for (const std::size_t count : {1, 63, 64, 65, 129, 1536, 1537, 2049, 5000}) {
        NaiveTable naive;
        while (naive.size() < count) {
            const std::uint64_t base = random() % 2 == 0 ? 0 : 0xffffffff00000000;
            const std::uint64_t noise = (random() & random()) >> 32;
            const int length = 30 + static_cast<int>(random() % (random() % 8 == 0 ? 99 : 35));
            const IpAddress address{base ^ noise, base == 0 ? 0 : ~std::uint64_t{0}, IpFamily::V6};
            naive[{maskAddress(address, length), static_cast<std::uint8_t>(length)}] =
                    static_cast<std::uint8_t>(random());
        }
        auto table = value(PrefixTable::build(blocksOf(naive)));
        for (int round = 0; round < 2; ++round) {
            for (int i = 0; i < 250; ++i) {
                auto at = naive.begin();
                std::advance(at, i == 0 ? naive.size() - 1 : random() % naive.size());
                const auto &[block, choice] = *at;
                const std::uint64_t beyond =
                        block.length >= 64 ? 0 : ~std::uint64_t{0} >> block.length;
                for (const std::uint64_t high :
                     {block.start.high - 1, block.start.high, block.start.high + beyond,
                      block.start.high + beyond + 1, ~std::uint64_t{0}}) {
                    for (const std::uint64_t low : {std::uint64_t{0}, ~std::uint64_t{0}}) {
                        const IpAddress address{high, low, IpFamily::V6};
                        ASSERT_EQ(table.lookUp(address), naiveLookUp(naive, address))
                                << addressText(address) << " in " << count << " blocks";
                    }
                }
            }
            std::vector<BlockChange> changes;
            for (int i = 0; i < 8; ++i) {
                auto at = naive.begin();
                std::advance(at, random() % naive.size());
                changes.push_back({at->first, std::nullopt});
                if (i % 2 == 0)
                    changes.back().choice = static_cast<std::uint8_t>(at->second + 1);
            }
            for (const auto &[block, choice] : changes) {
                naive.erase(block);
                if (choice)
                    naive[block] = *choice;
            }
            table = table.withChanges(changes);
            ASSERT_EQ(table.blocks(), blocksOf(naive));
            if (naive.empty())
                break;
        }
    }
}

// Guards against a table that passes the size it may have: 8 bytes an IPv4 and 16 an IPv6 block,
// and 8 bytes for the IPv4 blocks that updates start from.
TEST(PrefixTableTest, BytesPerBlockStayInBounds)
{
    std::mt19937_64 random(1);
    NaiveTable naive;
    for (int i = 0; i < 100000; ++i) {
        naive[{maskAddress({random(), 0, IpFamily::V4}, 24), 24}] = 1;
        naive[{maskAddress({random(), 0, IpFamily::V6}, 48), 48}] = 1;
    }
    const auto table = PrefixTable::build(blocksOf(naive));
    ASSERT_TRUE(isOk(table));
    const auto size = value(table).size();
    EXPECT_LE(size.v4Bytes, size.v4Blocks * 8);
    EXPECT_LE(size.v4UpdateBytes, size.v4Blocks * 8);
    EXPECT_LE(size.v6Bytes, size.v6Blocks * 16);
}

// Guards against blocks that silently override each other, and against a 257th choice, whose
// index would wrap to that of another list.
TEST(PrefixTableTest, RefusesWhatItCannotHold)
{
    const auto block = value(parseClientBlock("10.1.0.0/16"));
    const auto twice = PrefixTable::build({{block, 1}, {block, 2}});
    ASSERT_FALSE(isOk(twice));
    EXPECT_EQ(error(twice), PrefixTableError::DuplicateBlock);

    std::vector<ClientsRule> rules;
    rules.reserve(257);
    for (int i = 0; i < 256; ++i)
        rules.push_back({"10." + std::to_string(i) + ".0.0/16", {{"taipei", i + 1}}});
    const auto full = compileClients(rules);
    ASSERT_TRUE(isOk(full));
    const auto choice = value(full).table.lookUp(*parseIpAddress("10.255.1.2"));
    ASSERT_TRUE(choice.has_value());
    EXPECT_EQ(value(full).choices[choice.value_or(0)].front().weight, 256);
    rules.push_back({"11.0.0.0/8", {{"taipei", 300}}});
    const auto over = compileClients(rules);
    ASSERT_FALSE(isOk(over));
    EXPECT_EQ(error(over), PrefixTableError::TooManyChoices);
}

// Guards against texts that look like a block and would steer the wrong callers.
TEST(ClientBlockTest, RefusesMalformedBlocks)
{
    const std::pair<std::string, ClientBlockError> cases[] = {
            {"10.1.0.0", ClientBlockError::NoLength},
            {"10.1.0/16", ClientBlockError::BadAddress},
            {"10.1.0.0/33", ClientBlockError::BadLength},
            {"10.1.0.0/", ClientBlockError::BadLength},
            {"10.1.0.0/+8", ClientBlockError::BadLength},
            {"2001:db8::/129", ClientBlockError::BadLength},
            {"10.1.0.1/16", ClientBlockError::HostBitsSet},
            {"2001:db8::1/64", ClientBlockError::HostBitsSet},
    };
    for (const auto &[text, kind] : cases) {
        const auto block = parseClientBlock(text);
        ASSERT_FALSE(isOk(block)) << text;
        EXPECT_EQ(error(block), kind) << text;
    }
    for (const std::string text : {"0.0.0.0/0", "10.1.0.0/16", "::/0", "2001:db8::/32"})
        EXPECT_EQ(blockText(value(parseClientBlock(text))), text);
}

} // namespace
} // namespace chestnutvane
