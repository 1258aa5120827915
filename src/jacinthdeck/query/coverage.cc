// Set operations on ordered key ranges.
#include "jacinthdeck/query/coverage.h"

#include <algorithm>
#include <cstdint>

namespace jacinthdeck {

bool Coverage::Covers(const KeyRange& range) const noexcept {
  return std::ranges::any_of(m_ranges, [&range](const KeyRange& held) {
    return held.begin <= range.begin && range.end <= held.end;
  });
}

Coverage Coverage::MissingFrom(const Coverage& asked) const {
  Coverage missing;
  auto held = m_ranges.begin();
  for (const KeyRange& range : asked.m_ranges) {
    std::uint64_t at = range.begin;
    while (held != m_ranges.end() && held->end <= at) {
      ++held;
    }
    for (auto next = held; next != m_ranges.end() && next->begin < range.end;
         ++next) {
      if (next->begin > at) {
        missing.m_ranges.push_back(KeyRange{at, next->begin});
      }
      at = std::max(at, next->end);
    }
    if (at < range.end) {
      missing.m_ranges.push_back(KeyRange{at, range.end});
    }
  }
  return missing;
}

bool Coverage::Add(const KeyRange& range) {
  if (range.begin >= range.end || range.end > kKeySpaceEnd) {
    return false;
  }
  const auto next =
      std::ranges::lower_bound(m_ranges, range.begin, {}, &KeyRange::begin);
  const bool overlaps_next = next != m_ranges.end() && next->begin < range.end;
  const bool has_before = next != m_ranges.begin();
  if (overlaps_next || (has_before && (next - 1)->end > range.begin)) {
    return false;
  }
  const bool joins_before = has_before && (next - 1)->end == range.begin;
  const bool joins_next = next != m_ranges.end() && next->begin == range.end;
  if (joins_before && joins_next) {
    (next - 1)->end = next->end;
    m_ranges.erase(next);
  } else if (joins_before) {
    (next - 1)->end = range.end;
  } else if (joins_next) {
    next->begin = range.begin;
  } else {
    m_ranges.insert(next, range);
  }
  return true;
}

bool IsPartition(const PartitionMap& map) noexcept {
  std::uint64_t at = 0;
  for (const Shard& shard : map.shards) {
    if (shard.range.begin != at || shard.range.end <= at) {
      return false;
    }
    at = shard.range.end;
  }
  return at == kKeySpaceEnd;
}

}  // namespace jacinthdeck
