// Size estimates: strings at their length plus the vector header of the
// encoding, scalars at their width, one table header a struct.
#include "jacinthdeck/cluster/message_size.h"

#include <numeric>
#include <variant>

namespace jacinthdeck {

namespace internal {

// Length prefix of the frame, root offset, envelope table with its vtable.
constexpr std::size_t kEnvelopeBytes = 56;
// Table with its vtable offset, union type and offset in the parent.
constexpr std::size_t kTableBytes = 16;
// Offset, length and terminator or padding.
constexpr std::size_t kStringBytes = 9;
constexpr std::size_t kWordBytes = 8;
constexpr std::size_t kOffsetBytes = 4;

[[nodiscard]] std::size_t Size(const std::string& text) {
  return kStringBytes + text.size();
}

[[nodiscard]] std::size_t Size(const NodeId& node) {
  return Size(node.raw());
}

[[nodiscard]] std::size_t Size(const MemberAddress& address) {
  return kTableBytes + Size(address.host) + kOffsetBytes;
}

[[nodiscard]] std::size_t Size(const std::vector<MemberUpdate>& updates) {
  return std::accumulate(updates.begin(), updates.end(), kOffsetBytes,
                         [](std::size_t sum, const MemberUpdate& update) {
                           return sum + EstimateSize(update);
                         });
}

struct BodySize {
  std::size_t operator()(const Ping&) const { return kWordBytes; }
  std::size_t operator()(const PingAck& ack) const {
    return 2 * kWordBytes + Size(ack.subject);
  }
  std::size_t operator()(const PingRequest& request) const {
    return kWordBytes + Size(request.subject) + Size(request.address);
  }
  std::size_t operator()(const RevisionQuery&) const { return 2 * kWordBytes; }
  std::size_t operator()(const RevisionReport&) const { return 3 * kWordBytes; }
  std::size_t operator()(const AckRequest&) const { return 2 * kWordBytes; }
  std::size_t operator()(const RevisionAck&) const { return 3 * kWordBytes; }
  std::size_t operator()(const RevisionAnnounce&) const { return kWordBytes; }
  std::size_t operator()(const ConfigFetch&) const { return kWordBytes; }
  std::size_t operator()(const ConfigTransfer& transfer) const {
    return kWordBytes + Size(transfer.value);
  }
  std::size_t operator()(const ForwardRequest& request) const {
    return 3 * kWordBytes + Size(request.id.node) + Size(request.id.nonce) +
           Size(request.service.raw()) + Size(request.method) +
           Size(request.tenant.raw()) + Size(request.body);
  }
  std::size_t operator()(const ForwardReply& reply) const {
    return 2 * kWordBytes + Size(reply.body);
  }
  std::size_t operator()(const QuarantineNotice& notice) const {
    return (notice.suspected.size() + notice.cleared.size() + 1) * kWordBytes;
  }
  std::size_t operator()(const SyncRequest&) const { return 0; }
  std::size_t operator()(const MemberSync& sync) const {
    return Size(sync.members);
  }
};

}  // namespace internal

std::size_t EstimateSize(const MemberUpdate& update) {
  std::size_t size = internal::kTableBytes + internal::kOffsetBytes +
                     internal::Size(update.node) + internal::kWordBytes +
                     internal::kWordBytes + internal::Size(update.address) +
                     internal::Size(update.domain.raw());
  for (const NodeId& accuser : update.accusers) {
    size += internal::kOffsetBytes + internal::Size(accuser);
  }
  return size;
}

std::size_t EstimateSize(const Envelope& envelope) {
  return internal::kEnvelopeBytes + internal::Size(envelope.from) +
         internal::Size(envelope.to) + internal::kTableBytes +
         std::visit(internal::BodySize{}, envelope.message) +
         internal::Size(envelope.gossip);
}

}  // namespace jacinthdeck
