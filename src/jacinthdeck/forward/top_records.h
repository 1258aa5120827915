// Merges the records of several shards and keeps the greatest ones.
#ifndef JACINTHDECK_FORWARD_TOP_RECORDS_H_
#define JACINTHDECK_FORWARD_TOP_RECORDS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace jacinthdeck {

//! Length of a record in bytes; a shorter remainder of a part is ignored.
inline constexpr std::size_t kRecordBytes = 16;
//! Records of a part beyond those of the answer, in bytes, that are kept until
//! the merge: sorting a short part twice would cost more than its memory.
inline constexpr std::size_t kSpareRecordBytes = 512;

/**
 * \brief Finds the greatest records of all parts.
 * \param parts Response bodies of the shards, with records in any order.
 * \param count Maximum number of records to return.
 * \return The records, greatest first, compared byte by byte; equal records are
 * all kept.
 */
[[nodiscard]] std::string TopRecords(std::span<const std::string_view> parts,
                                     std::size_t count);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TOP_RECORDS_H_
