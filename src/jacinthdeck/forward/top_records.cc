// Partial sort over views, so that no record is copied before the result is
// built.
#include "jacinthdeck/forward/top_records.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace jacinthdeck {

std::string TopRecords(std::span<const std::string_view> parts,
                       std::size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  // char_traits<char> compares as unsigned bytes.
  std::ranges::partial_sort(records,
                            records.begin() + static_cast<std::ptrdiff_t>(kept),
                            std::greater<>());
  std::string result;
  result.reserve(kept * kRecordBytes);
  for (std::size_t index = 0; index < kept; ++index) {
    result += records[index];
  }
  return result;
}

}  // namespace jacinthdeck
