// The grants of one broker that occupy slots. Entries are reused, so memory is allocated only when
// the table grows.
//
// Example:
//
//   GrantEntry &grant = table.issue(epoch);
//   grant.holder = request.holder; // and the other fields
//   if (GrantEntry *released = table.find(message.id, epoch))
//       table.remove(*released);
//
// References and pointers to entries are invalidated by issue() and adopt().
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
    TimePoint endsAt; // the holder ends the exchange by this time
    std::uint64_t lastMissingList = 0; // number of the last list of the holder without the grant
    int missingListCount = 0; // consecutive lists of the holder without the grant
    bool probe = false;
    bool alone = false;
    bool holderGone = false; // dead holder: reclaim after endsAt unless released or listed
    bool live = false; // false if the entry is free for reuse
    std::uint64_t listMark = 0; // the last held list that has it, by GrantTable::nextListMark()
};

class GrantTable
{
public:
    // Adds a grant with a number that is unique in the epoch.
    GrantEntry &issue(std::uint64_t epoch);

    // Adds a grant that was issued in an earlier epoch.
    GrantEntry &adopt(const GrantId &id);

    // Returns the grant, or null if there is none with this id. Constant time for grants of the
    // given epoch, linear for those of other epochs.
    GrantEntry *find(const GrantId &id, std::uint64_t epoch);

    void remove(GrantEntry &entry);

    // All entries, including those that are not live.
    std::vector<GrantEntry> &entries() { return entries_; }

    // Returns a new value for GrantEntry::listMark, to mark the grants of one list.
    std::uint64_t nextListMark() { return ++lastListMark_; }

    // Reserves memory for the given number of grants.
    void reserve(std::size_t count);

private:
    GrantEntry &allocateEntry();

    std::vector<GrantEntry> entries_;
    std::vector<std::uint32_t> freeIndices_;
    std::uint64_t lastSerial_ = 0;
    std::uint64_t lastListMark_ = 0;
};

} // namespace chestnutvane
