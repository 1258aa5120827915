// Implements each merge rule; Take() selects one from a table of member
// pointers.
#include "jacinthdeck/query/merge.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace jacinthdeck {

namespace internal {

[[nodiscard]] bool BetterHit(const Hit& a, const Hit& b) noexcept {
  return a.score != b.score ? a.score > b.score : a.id < b.id;
}

// Compares data last, so that hits with equal ids and scores have a fixed
// order.
[[nodiscard]] bool BeforeById(const Hit& a, const Hit& b) noexcept {
  if (a.id != b.id) {
    return a.id < b.id;
  }
  return a.score != b.score ? a.score > b.score : a.data < b.data;
}

}  // namespace internal

void Merger::Add(ShardReply reply) {
  m_merged.count += reply.count;
  std::ranges::move(reply.hits, std::back_inserter(m_merged.hits));
}

Merged Merger::Take() {
  //! Indexed by MergeRule.
  static constexpr Step kSteps[] = {&Merger::TopK, &Merger::Union,
                                    &Merger::Count, &Merger::Lookup};
  // Kept as a separate statement: combined with the call, gcc 12 checks a wrong
  // index under -fsanitize=bounds -O0.
  const Step step = kSteps[static_cast<std::size_t>(m_rule)];
  (this->*step)();
  return std::exchange(m_merged, Merged{});
}

void Merger::TopK() {
  KeepBestOfEachId();
  std::ranges::sort(m_merged.hits, internal::BetterHit);
  m_merged.hits.resize(std::min<std::size_t>(m_merged.hits.size(), m_limit));
  m_merged.count = 0;
}

void Merger::Union() {
  KeepBestOfEachId();
  m_merged.hits.resize(std::min<std::size_t>(m_merged.hits.size(), m_limit));
  m_merged.count = 0;
}

void Merger::Count() {
  m_merged.hits.clear();
}

void Merger::Lookup() {
  KeepBestOfEachId();
  std::ranges::sort(m_merged.hits, internal::BetterHit);
  m_merged.hits.resize(std::min<std::size_t>(m_merged.hits.size(), 1));
  m_merged.count = 0;
}

void Merger::KeepBestOfEachId() {
  std::ranges::sort(m_merged.hits, internal::BeforeById);
  const auto repeated =
      std::unique(m_merged.hits.begin(), m_merged.hits.end(),
                  [](const Hit& a, const Hit& b) { return a.id == b.id; });
  m_merged.hits.erase(repeated, m_merged.hits.end());
}

}  // namespace jacinthdeck
