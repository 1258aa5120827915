// One function a message kind, from the core's values to the generated types.
#include "jacinthdeck/peer/message_encoder.h"

#include <memory>
#include <utility>
#include <variant>

namespace jacinthdeck::internal {

namespace {

[[nodiscard]] std::vector<std::uint64_t> RawOf(
    const std::vector<Fingerprint>& fingerprints) {
  std::vector<std::uint64_t> raw;
  raw.reserve(fingerprints.size());
  for (const Fingerprint& fingerprint : fingerprints) {
    raw.push_back(fingerprint.raw());
  }
  return raw;
}

struct Encoder {
  [[nodiscard]] wire::PingT operator()(const Ping& from) const {
    wire::PingT to;
    to.sequence = from.sequence;
    return to;
  }
  [[nodiscard]] wire::PingAckT operator()(const PingAck& from) const {
    wire::PingAckT to;
    to.sequence = from.sequence;
    to.subject = from.subject.raw();
    to.subject_incarnation = from.subject_incarnation.raw();
    return to;
  }
  [[nodiscard]] wire::PingRequestT operator()(const PingRequest& from) const {
    wire::PingRequestT to;
    to.sequence = from.sequence;
    to.subject = from.subject.raw();
    to.address = EncodeAddress(from.address);
    return to;
  }
  [[nodiscard]] wire::RevisionQueryT operator()(
      const RevisionQuery& from) const {
    wire::RevisionQueryT to;
    to.sequence = from.sequence;
    to.revision = from.revision.raw();
    return to;
  }
  [[nodiscard]] wire::RevisionReportT operator()(
      const RevisionReport& from) const {
    wire::RevisionReportT to;
    to.sequence = from.sequence;
    to.revision = from.revision.raw();
    to.recovered = from.recovered;
    return to;
  }
  [[nodiscard]] wire::AckRequestT operator()(const AckRequest& from) const {
    wire::AckRequestT to;
    to.revision = from.revision.raw();
    to.round = from.round;
    return to;
  }
  [[nodiscard]] wire::RevisionAckT operator()(const RevisionAck& from) const {
    wire::RevisionAckT to;
    to.revision = from.revision.raw();
    to.round = from.round;
    to.in_force = from.in_force.raw();
    return to;
  }
  [[nodiscard]] wire::RevisionAnnounceT operator()(
      const RevisionAnnounce& from) const {
    wire::RevisionAnnounceT to;
    to.revision = from.revision.raw();
    return to;
  }
  [[nodiscard]] wire::ConfigFetchT operator()(const ConfigFetch& from) const {
    wire::ConfigFetchT to;
    to.above = from.above.raw();
    return to;
  }
  [[nodiscard]] wire::ConfigTransferT operator()(
      const ConfigTransfer& from) const {
    wire::ConfigTransferT to;
    to.revision = from.revision.raw();
    to.value = from.value;
    return to;
  }
  [[nodiscard]] wire::ForwardRequestT operator()(
      const ForwardRequest& from) const {
    wire::ForwardRequestT to;
    to.sequence = from.sequence;
    to.id_node = from.id.node.raw();
    to.id_incarnation = from.id.incarnation.raw();
    to.id_nonce = from.id.nonce;
    to.service = from.service.raw();
    to.method = from.method;
    to.tenant = from.tenant.raw();
    to.body = from.body;
    to.time_left_us = from.time_left.count();
    return to;
  }
  [[nodiscard]] wire::ForwardReplyT operator()(const ForwardReply& from) const {
    wire::ForwardReplyT to;
    to.sequence = from.sequence;
    to.status = from.status;
    to.body = from.body;
    return to;
  }
  [[nodiscard]] wire::QuarantineNoticeT operator()(
      const QuarantineNotice& from) const {
    wire::QuarantineNoticeT to;
    to.suspected = RawOf(from.suspected);
    to.cleared = RawOf(from.cleared);
    to.convicted = RawOf(from.convicted);
    return to;
  }
  [[nodiscard]] wire::SyncRequestT operator()(
      const SyncRequest& /*from*/) const {
    return wire::SyncRequestT();
  }
  [[nodiscard]] wire::MemberSyncT operator()(const MemberSync& from) const {
    wire::MemberSyncT to;
    for (const MemberUpdate& update : from.members) {
      to.members.push_back(EncodeUpdate(update));
    }
    return to;
  }
};

}  // namespace

std::unique_ptr<wire::AddressT> EncodeAddress(const MemberAddress& address) {
  auto to = std::make_unique<wire::AddressT>();
  to->host = address.host;
  to->peer_port = address.peer_port;
  to->caller_port = address.caller_port;
  return to;
}

std::unique_ptr<wire::MemberUpdateT> EncodeUpdate(const MemberUpdate& from) {
  auto to = std::make_unique<wire::MemberUpdateT>();
  to->node = from.node.raw();
  to->incarnation = from.incarnation.raw();
  to->refutation = from.refutation;
  to->health = static_cast<std::uint8_t>(from.health);
  to->leaving = from.leaving;
  to->address = EncodeAddress(from.address);
  to->domain = from.domain.raw();
  for (const NodeId& accuser : from.accusers) {
    to->accusers.push_back(accuser.raw());
  }
  return to;
}

wire::MessageUnion EncodeMessage(const PeerMessage& message) {
  wire::MessageUnion to;
  std::visit([&to](const auto& from) { to.Set(Encoder()(from)); }, message);
  return to;
}

}  // namespace jacinthdeck::internal
