#include "chestnutvane/version/allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::size_t> allocations{0};
}

std::size_t chestnutvane::allocationCount()
{
    return allocations;
}

// The operators are in a file of their own: inlined into callers, gcc 12 reports malloc and free as
// mismatched with new and delete.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
