// Cuts the changes into parts by the plain size of their keys and values.
#include "jacinthdeck/peer/feed_content.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jacinthdeck {

namespace {

//! Approximate size of the fields of a change beside its key and value.
constexpr std::size_t kChangeOverheadBytes = 64;

[[nodiscard]] std::size_t SizeOfChange(const StoreChange& change) {
  return kChangeOverheadBytes + change.key.size() +
         (change.value ? change.value->size() : 0);
}

}  // namespace

FeedContent::FeedContent(FeedChanges changes, const StorePosition& since)
    : m_changes(std::move(changes)),
      m_since(m_changes.whole ? StorePosition{} : since),
      m_bytes(SizeOf(m_changes)) {}

std::size_t FeedContent::SizeOf(const FeedChanges& changes) {
  return std::accumulate(changes.changes.begin(), changes.changes.end(),
                         std::size_t{0},
                         [](std::size_t sum, const StoreChange& change) {
                           return sum + SizeOfChange(change);
                         });
}

bool FeedContent::BeginsLike(const FeedChanges& other,
                             const StorePosition& since) const {
  return m_changes.whole == other.whole &&
         m_changes.position.era == other.position.era &&
         m_since == (other.whole ? StorePosition{} : since);
}

FeedContent::Frame FeedContent::NextPart(Cursor& cursor,
                                         FeedCompression compression) const {
  const auto first = m_changes.changes.begin() +
                     static_cast<std::ptrdiff_t>(cursor.next_change);
  std::size_t bytes = 0;
  const auto end = std::find_if(first, m_changes.changes.end(),
                                [&](const StoreChange& change) {
                                  const bool is_first = bytes == 0;
                                  bytes += SizeOfChange(change);
                                  return !is_first && bytes > kMaxPartBytes;
                                });
  cursor.next_change =
      static_cast<std::size_t>(end - m_changes.changes.begin());
  cursor.done = end == m_changes.changes.end();
  FeedChanges part{m_changes.position, m_changes.whole, {first, end}};
  return std::make_shared<const std::string>(
      EncodeFeedMessage(cursor.done ? FeedMessage(std::move(part))
                                    : FeedMessage(FeedPart{std::move(part)}),
                        compression));
}

FeedContent::Frame FeedContent::WholeFrame(FeedCompression compression) {
  Frame& frame = m_whole_frames[static_cast<std::size_t>(compression)];
  if (frame == nullptr) {
    frame = std::make_shared<const std::string>(
        EncodeFeedMessage(m_changes, compression));
  }
  return frame;
}

}  // namespace jacinthdeck
