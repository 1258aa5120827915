// Every message between the entries. Plain values: the peer module gives them
// their encoding. Changes are additive.
#ifndef JACINTHDECK_CLUSTER_MESSAGES_H_
#define JACINTHDECK_CLUSTER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/cluster/member_update.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/request_id.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Asks the receiver for a sign of life. */
struct Ping {
  //! Echoed in the answer.
  std::uint64_t sequence = 0;

  [[nodiscard]] bool operator==(const Ping&) const = default;
};

/*! \brief Answers a Ping, or a PingRequest on behalf of its subject. */
struct PingAck {
  std::uint64_t sequence = 0;
  //! Member that is alive; the sender itself, or the subject of a PingRequest.
  NodeId subject;
  Incarnation subject_incarnation;

  [[nodiscard]] bool operator==(const PingAck&) const = default;
};

/*! \brief Asks the receiver to ping the subject, which the sender cannot reach.
 */
struct PingRequest {
  std::uint64_t sequence = 0;
  NodeId subject;
  MemberAddress address;

  [[nodiscard]] bool operator==(const PingRequest&) const = default;
};

/*! \brief Asks for the receiver's revision; the send time starts the lease that
 * the answer gives. */
struct RevisionQuery {
  std::uint64_t sequence = 0;
  //! Revision that the sender has in force; 0 for none.
  Revision revision;

  [[nodiscard]] bool operator==(const RevisionQuery&) const = default;
};

/*! \brief Answers a RevisionQuery. */
struct RevisionReport {
  std::uint64_t sequence = 0;
  Revision revision;
  //! Whether the sender may be counted: false after a restart until it has
  //! learned what it may have acknowledged before.
  bool recovered = false;

  [[nodiscard]] bool operator==(const RevisionReport&) const = default;
};

/*! \brief Asks the receiver to put a revision in force and to say so. */
struct AckRequest {
  Revision revision;
  //! Counts the coordinator's rounds; echoed.
  std::uint64_t round = 0;

  [[nodiscard]] bool operator==(const AckRequest&) const = default;
};

/*! \brief States that the sender has the revision, or a higher one, in force.
 */
struct RevisionAck {
  //! Revision asked for.
  Revision revision;
  std::uint64_t round = 0;
  //! Revision in force, never below the one asked for.
  Revision in_force;

  [[nodiscard]] bool operator==(const RevisionAck&) const = default;
};

/*! \brief Tells that a revision exists. */
struct RevisionAnnounce {
  Revision revision;

  [[nodiscard]] bool operator==(const RevisionAnnounce&) const = default;
};

/*! \brief Asks for the configuration if the receiver has a higher one. */
struct ConfigFetch {
  //! Revision that the sender has; 0 for none.
  Revision above;

  [[nodiscard]] bool operator==(const ConfigFetch&) const = default;
};

/*! \brief The whole configuration value as the store holds it. */
struct ConfigTransfer {
  Revision revision;
  //! Encoded ConfigValue, at most kMaxConfigBytes.
  std::string value;

  [[nodiscard]] bool operator==(const ConfigTransfer&) const = default;
};

/*! \brief A request that may not be repeated, sent on to the node life that its
 * id names. */
struct ForwardRequest {
  //! The sender's own number for the answer to come.
  std::uint64_t sequence = 0;
  RequestId id;
  ServiceId service;
  std::string method;
  TenantId tenant;
  //! Request as JSON.
  std::string body;
  //! Time left to the caller's deadline.
  Duration time_left{};

  [[nodiscard]] bool operator==(const ForwardRequest&) const = default;
};

/*! \brief The answer to a ForwardRequest, ready for the caller. */
struct ForwardReply {
  std::uint64_t sequence = 0;
  //! HTTP status.
  std::uint16_t status = 0;
  //! Answer as JSON.
  std::string body;

  [[nodiscard]] bool operator==(const ForwardReply&) const = default;
};

/*! \brief Tells of requests that are suspected or convicted of crashing
 * targets, or cleared of it. */
struct QuarantineNotice {
  std::vector<Fingerprint> suspected;
  std::vector<Fingerprint> cleared;
  std::vector<Fingerprint> convicted;

  [[nodiscard]] bool operator==(const QuarantineNotice&) const = default;
};

/*! \brief Asks for all that the receiver knows of the members. */
struct SyncRequest {
  [[nodiscard]] bool operator==(const SyncRequest&) const = default;
};

/*! \brief All proven members that the sender knows; the one message whose size
 * grows with their number, sent rarely. */
struct MemberSync {
  std::vector<MemberUpdate> members;

  [[nodiscard]] bool operator==(const MemberSync&) const = default;
};

/*! \brief Any message between peers; new kinds are added at the end. */
using PeerMessage = std::variant<Ping,
                                 PingAck,
                                 PingRequest,
                                 RevisionQuery,
                                 RevisionReport,
                                 AckRequest,
                                 RevisionAck,
                                 RevisionAnnounce,
                                 ConfigFetch,
                                 ConfigTransfer,
                                 ForwardRequest,
                                 ForwardReply,
                                 QuarantineNotice,
                                 SyncRequest,
                                 MemberSync>;

/*! \brief A message with its sender; receivers fence by the sender's
 * incarnation. */
struct Envelope {
  NodeId from;
  Incarnation incarnation;
  NodeId to;
  PeerMessage message;
  //! Statements about members that travel along; bounded in bytes.
  std::vector<MemberUpdate> gossip;
  //! Configuration revision that the sender has in force; 0 for none. Whoever
  //! is behind learns of it with any message.
  Revision revision{};

  [[nodiscard]] bool operator==(const Envelope&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MESSAGES_H_
