#include "chestnutvane/process/grant_table.h"

namespace chestnutvane {
namespace {

// The low bits of a grant number are the index of its entry, so that a release needs no search.
constexpr int indexBits = 20;
constexpr std::uint64_t indexMask = (std::uint64_t{1} << indexBits) - 1;

} // namespace

GrantEntry &GrantTable::allocateEntry()
{
    if (freeIndices_.empty()) {
        entries_.emplace_back();
        freeIndices_.reserve(entries_.capacity());
        freeIndices_.push_back(static_cast<std::uint32_t>(entries_.size() - 1));
    }
    const std::uint32_t index = freeIndices_.back();
    freeIndices_.pop_back();
    GrantEntry &entry = entries_[index];
    entry = GrantEntry{};
    entry.live = true;
    return entry;
}

GrantEntry &GrantTable::issue(std::uint64_t epoch)
{
    GrantEntry &entry = allocateEntry();
    const auto index = static_cast<std::uint64_t>(&entry - entries_.data());
    entry.id = {epoch, (++lastSerial_ << indexBits) | (index & indexMask)};
    return entry;
}

GrantEntry &GrantTable::adopt(const GrantId &id)
{
    GrantEntry &entry = allocateEntry();
    entry.id = id;
    return entry;
}

GrantEntry *GrantTable::find(const GrantId &id, std::uint64_t epoch)
{
    if (id.epoch == epoch) {
        const std::uint64_t index = id.number & indexMask;
        if (index >= entries_.size() || !entries_[index].live || entries_[index].id != id)
            return nullptr;
        return &entries_[index];
    }
    for (GrantEntry &entry : entries_) {
        if (entry.live && entry.id == id)
            return &entry;
    }
    return nullptr;
}

void GrantTable::remove(GrantEntry &entry)
{
    entry.live = false;
    freeIndices_.push_back(static_cast<std::uint32_t>(&entry - entries_.data()));
}

void GrantTable::reserve(std::size_t count)
{
    entries_.reserve(count);
    freeIndices_.reserve(count);
}

} // namespace chestnutvane
