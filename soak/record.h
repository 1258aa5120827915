// The records of which every answer of a soak's target consists.
#ifndef SOAK_RECORD_H_
#define SOAK_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthdeck::soak {

/*! \brief One record: it tells whose answer it is part of. */
struct Record {
  //! Set of shards that one configuration names.
  std::uint32_t layout = 0;
  std::uint32_t shard = 0;
  //! Hash of the request's id.
  std::uint64_t request = 0;

  [[nodiscard]] bool operator==(const Record&) const = default;
};

/*! \brief Hash by which a record names its request. */
[[nodiscard]] std::uint64_t HashOf(std::string_view request_id);

/*! \brief The record's sixteen bytes. */
[[nodiscard]] std::string Encode(const Record& record);

/*! \brief Reads a body; nothing if it is not made of whole records. */
[[nodiscard]] std::optional<std::vector<Record>> DecodeRecords(
    std::string_view body);

}  // namespace jacinthdeck::soak

#endif  // SOAK_RECORD_H_
