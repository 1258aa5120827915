// The fixed-size records that make up the answers of the soak's targets.
#ifndef SOAK_RECORD_H_
#define SOAK_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthdeck::soak {

/*! \brief A record that identifies the request and the shard it answers. */
struct Record {
  //! Number of the layout that the target serves.
  std::uint32_t layout = 0;
  std::uint32_t shard = 0;
  //! Hash of the request's id.
  std::uint64_t request = 0;

  [[nodiscard]] bool operator==(const Record&) const = default;
};

/*! \brief Returns the hash that identifies a request in its records. */
[[nodiscard]] std::uint64_t HashOf(std::string_view request_id);

/*! \brief Encodes a record into sixteen bytes. */
[[nodiscard]] std::string Encode(const Record& record);

/*! \brief Decodes a body.
 * \return std::nullopt if it is empty or holds an incomplete record. */
[[nodiscard]] std::optional<std::vector<Record>> DecodeRecords(
    std::string_view body);

}  // namespace jacinthdeck::soak

#endif  // SOAK_RECORD_H_
