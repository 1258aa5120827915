// Settings of the allocator of the process.
#ifndef JACINTHDECK_ENTRY_ALLOCATOR_H_
#define JACINTHDECK_ENTRY_ALLOCATOR_H_

namespace jacinthdeck {

/*! \brief Makes the allocator return each large block to the system as soon as
 * it is freed, which glibc by default does only for the first ones. */
void ReturnLargeBlocks();

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ALLOCATOR_H_
