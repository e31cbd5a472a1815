// Keeps the allocator from holding memory that the process has freed.
//
// Functions without state.
#pragma once

namespace chestnutvane {

// Lets freed blocks of the size of large bodies return to the system at once. By default the
// allocator serves such blocks from its heap after the first one was freed, and a heap with holes
// does not shrink. Call once, at the start of the process.
void returnLargeBlocks();

} // namespace chestnutvane
