// Sets the thresholds of glibc; a threshold that is set does not adapt.
#include "jacinthdeck/entry/allocator.h"

#include <malloc.h>

namespace jacinthdeck {

namespace {

//! Size in bytes from which a block has a mapping of its own; the initial
//! threshold of glibc.
constexpr int kMappedBytes = 128 * 1024;

}  // namespace

void ReturnLargeBlocks() {
  (void)mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

}  // namespace jacinthdeck
