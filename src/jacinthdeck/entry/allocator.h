// Settings of the allocator of the process.
#ifndef JACINTHDECK_ENTRY_ALLOCATOR_H_
#define JACINTHDECK_ENTRY_ALLOCATOR_H_

namespace jacinthdeck {

/**
 * \brief Makes the allocator return each large block to the system as soon as
 * it is freed.
 *
 * By default glibc stops doing so for sizes that were freed once. Requests and
 * responses then leave holes between small objects, and the process keeps many
 * times the memory that it uses. Call it once, at the start of the process.
 */
void ReturnLargeBlocks();

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ALLOCATOR_H_
