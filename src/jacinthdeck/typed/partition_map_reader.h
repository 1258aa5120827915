// Reads the partition maps that the index builders publish.
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
 * \param subject Name of the key, for errors.
 * \return The maps, newest last. kCorrupt for a wrong shape, for versions out
 * of order, and for shards that leave a gap, overlap, share an id or have no
 * replica: with such a map coverage could be claimed for keys that nobody
 * holds.
 */
[[nodiscard]] Result<std::vector<PartitionMap>> ReadPartitionMaps(
    std::string_view text,
    std::string_view subject);

/*! \brief Reads the same from JSON that is parsed already. */
[[nodiscard]] Result<std::vector<PartitionMap>> ReadPartitionMaps(
    const JsonReader& index);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_PARTITION_MAP_READER_H_
