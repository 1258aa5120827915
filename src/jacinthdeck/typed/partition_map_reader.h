// Reads the partition maps that index builders publish in the store.
#ifndef JACINTHDECK_TYPED_PARTITION_MAP_READER_H_
#define JACINTHDECK_TYPED_PARTITION_MAP_READER_H_

#include <string_view>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/query/partition_map.h"

namespace jacinthdeck {

class JsonReader;

/**
 * \brief Reads the value of a store key `index/SERVICE`.
 * \param text JSON text of the value.
 * \param subject Name of the key, for error messages.
 * \return The maps, newest version last. kTooLarge above kMaxJsonBytes.
 * kCorrupt if the JSON is invalid or has a wrong shape, if versions are out of
 * order, or if shards leave a gap, overlap, share an id, have no replica or
 * name one twice: with such a map an answer could claim to cover keys that no
 * target holds.
 */
[[nodiscard]] Result<std::vector<PartitionMap>> ReadPartitionMaps(
    std::string_view text,
    std::string_view subject);

/*! \brief Reads the partition maps from JSON that is already parsed, with the
 * same checks. */
[[nodiscard]] Result<std::vector<PartitionMap>> ReadPartitionMaps(
    const JsonReader& index);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_PARTITION_MAP_READER_H_
