// Generates items, matches and scores by hashing ids and requests.
#include "target/dataset.h"

#include <jansson.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::size_t kDefaultLimit = 20;
constexpr double kScoreSteps = 1000000;
//! One of this many items matches a search, on average.
constexpr std::uint64_t kMatchOneIn = 4;

[[nodiscard]] std::string HitData(IndexVersion version) {
  return R"({"version":)" + std::to_string(version.raw()) + "}";
}

[[nodiscard]] std::optional<std::string> RequestedId(
    const JsonReader& request) {
  for (const std::string& name : request.Names()) {
    const json_t* member =
        json_object_get(request.raw(), std::string(name).c_str());
    if (name.ends_with("_id") && json_is_string(member)) {
      return std::string(json_string_value(member), json_string_length(member));
    }
  }
  return std::nullopt;
}

[[nodiscard]] std::size_t HitLimit(const json_t& request) {
  const json_t* limit = json_object_get(&request, "limit");
  const json_int_t value =
      json_is_integer(limit) ? json_integer_value(limit) : json_int_t{0};
  return value > 0 ? static_cast<std::size_t>(value) : kDefaultLimit;
}

[[nodiscard]] bool RanksHigher(const Hit& left, const Hit& right) {
  return left.score != right.score ? left.score > right.score
                                   : left.id < right.id;
}

}  // namespace

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

Dataset::Dataset(const ServiceId& service,
                 std::size_t items,
                 std::uint64_t seed)
    : m_seed(seed) {
  for (std::size_t index = 0; index < items; ++index) {
    const std::string id = service.raw() + "-" + std::to_string(index);
    m_items.push_back({StableHash(id, seed) % kKeySpaceEnd, id});
  }
  std::ranges::sort(m_items, {}, &Item::key);
}

ShardAnswer Dataset::Answer(const KeyRange& range,
                            IndexVersion version,
                            const json_t& request) const {
  ShardAnswer answer;
  if (const auto id = RequestedId(JsonReader(&request, "request"))) {
    answer.hits.push_back({*id, 1, HitData(version)});
    answer.count = 1;
    return answer;
  }
  const std::string text = DumpJson(request);
  const auto first =
      std::ranges::lower_bound(m_items, range.begin, {}, &Item::key);
  for (auto item = first; item != m_items.end() && item->key < range.end;
       ++item) {
    const std::uint64_t hash = StableHash(item->id, StableHash(text, m_seed));
    if (hash % kMatchOneIn != 0) {
      continue;
    }
    const double score =
        static_cast<double>(hash / kMatchOneIn %
                            static_cast<std::uint64_t>(kScoreSteps)) /
        kScoreSteps;
    answer.hits.push_back({item->id, score, HitData(version)});
  }
  answer.count = answer.hits.size();
  std::ranges::sort(answer.hits, RanksHigher);
  answer.hits.resize(std::min(answer.hits.size(), HitLimit(request)));
  return answer;
}

}  // namespace jacinthdeck::standins
