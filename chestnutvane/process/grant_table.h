// The grants of one broker that are counted as in use. Allocates only to grow.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

struct GrantEntry
{
    GrantId id;
    HolderId holder;
    std::uint64_t sequence = 0;
    std::uint64_t fingerprint = 0;
    std::size_t targetIndex = 0;
    TimePoint issuedAt;
    TimePoint endsAt; // the holder has ended the exchange by then
    std::uint64_t lastMissingList = 0; // number of the last held list that lacked the grant
    int missingListCount = 0;
    bool probe = false;
    bool alone = false;
    bool holderGone = false; // reclaimed after endsAt without a release or list
    bool live = false; // whether the entry is a grant
    std::uint64_t listMark = 0; // the last held list that has it, by GrantTable::nextListMark()
};

class GrantTable
{
public:
    // Adds a grant and gives it a number unique in the epoch.
    GrantEntry &issue(std::uint64_t epoch);

    // Adds a grant of an earlier epoch.
    GrantEntry &adopt(const GrantId &id);

    // Returns the grant, or null. Grants of other epochs than the given one are searched linearly.
    GrantEntry *find(const GrantId &id, std::uint64_t epoch);

    void remove(GrantEntry &entry);

    // All entries, also those that are not live.
    std::vector<GrantEntry> &entries() { return entries_; }

    std::uint64_t nextListMark() { return ++lastListMark_; }

    // Grows to the given number of grants in advance.
    void reserve(std::size_t count);

private:
    GrantEntry &allocateEntry();

    std::vector<GrantEntry> entries_;
    std::vector<std::uint32_t> freeIndices_;
    std::uint64_t lastSerial_ = 0;
    std::uint64_t lastListMark_ = 0;
};

} // namespace chestnutvane
