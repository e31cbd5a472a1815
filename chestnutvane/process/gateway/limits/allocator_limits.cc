#include "chestnutvane/process/gateway/limits/allocator_limits.h"

#include <malloc.h>

namespace chestnutvane {
namespace {

constexpr int largeBlockBytes = 256 << 10;
// Free memory at the end of the heap that is kept, in bytes: a lower value costs system calls.
constexpr int keptHeapBytes = 2 << 20;

} // namespace

void returnLargeBlocks()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
}

} // namespace chestnutvane
