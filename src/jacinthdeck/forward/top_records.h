// Merges the records of several shards into the greatest ones.
#ifndef JACINTHDECK_FORWARD_TOP_RECORDS_H_
#define JACINTHDECK_FORWARD_TOP_RECORDS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace jacinthdeck {

//! Length of a record in bytes; a shorter rest of a part is no record.
inline constexpr std::size_t kRecordBytes = 16;

/**
 * \brief Finds the greatest records of all parts.
 * \param parts Bodies of the shards, records in any order.
 * \param count Most records to return.
 * \return The records, greatest first, compared byte by byte; equal ones all
 * count.
 */
[[nodiscard]] std::string TopRecords(std::span<const std::string_view> parts,
                                     std::size_t count);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TOP_RECORDS_H_
