// Choice of the statements that travel along.
#include "jacinthdeck/cluster/gossip_queue.h"

#include <algorithm>
#include <cmath>

#include "jacinthdeck/cluster/message_size.h"

namespace jacinthdeck {

namespace internal {

// Tellings for each decade of the member count; with three, the chance that a
// member never hears a statement is below one in n.
constexpr double kTellingsPerDecade = 3;

[[nodiscard]] std::uint32_t TellingLimit(std::size_t members) {
  const double decades = std::log10(static_cast<double>(members) + 1);
  return static_cast<std::uint32_t>(std::ceil(kTellingsPerDecade * decades)) +
         1;
}

}  // namespace internal

void GossipQueue::Add(const MemberUpdate& update) {
  m_items[update.node] = Item{update, 0, EstimateSize(update)};
}

std::vector<MemberUpdate> GossipQueue::Take(std::size_t members) {
  std::vector<Item*> order;
  order.reserve(m_items.size());
  for (auto& [node, item] : m_items) {
    order.push_back(&item);
  }
  std::ranges::stable_sort(order, {}, &Item::told);
  std::vector<MemberUpdate> taken;
  std::size_t bytes = 0;
  for (Item* item : order) {
    if (bytes + item->size > m_bytes) {
      break;
    }
    bytes += item->size;
    ++item->told;
    taken.push_back(item->update);
  }
  const std::uint32_t limit = internal::TellingLimit(members);
  std::erase_if(m_items, [limit](const auto& entry) {
    return entry.second.told >= limit;
  });
  return taken;
}

}  // namespace jacinthdeck
