// A record is encoded as big-endian layout, shard and request hash.
#include "soak/record.h"

#include <boost/endian/conversion.hpp>

#include "jacinthdeck/forward/top_records.h"
#include "target/dataset.h"

namespace jacinthdeck::soak {

namespace {

template <typename Number>
[[nodiscard]] Number Load(std::string_view bytes) {
  Number number = 0;
  bytes.copy(reinterpret_cast<char*>(&number), sizeof(number));
  return boost::endian::big_to_native(number);
}

template <typename Number>
void Store(std::string& bytes, Number number) {
  const Number big = boost::endian::native_to_big(number);
  bytes.append(reinterpret_cast<const char*>(&big), sizeof(big));
}

}  // namespace

std::uint64_t HashOf(std::string_view request_id) {
  return standins::StableHash(request_id, 0);
}

std::string Encode(const Record& record) {
  std::string bytes;
  Store(bytes, record.layout);
  Store(bytes, record.shard);
  Store(bytes, record.request);
  return bytes;
}

std::optional<std::vector<Record>> DecodeRecords(std::string_view body) {
  if (body.empty() || body.size() % kRecordBytes != 0) {
    return std::nullopt;
  }
  std::vector<Record> records;
  for (; !body.empty(); body.remove_prefix(kRecordBytes)) {
    records.push_back({Load<std::uint32_t>(body),
                       Load<std::uint32_t>(body.substr(4)),
                       Load<std::uint64_t>(body.substr(8))});
  }
  return records;
}

}  // namespace jacinthdeck::soak
