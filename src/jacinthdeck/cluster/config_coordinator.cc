// Steps of an operator's change, as in docs/design/configuration.md.
#include "jacinthdeck/cluster/config_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/cluster/config_codec.h"

namespace jacinthdeck {

namespace internal {

[[nodiscard]] ChangeState StateFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kConflict:
      return ChangeState::kConflict;
    case ErrorCode::kTooLarge:
      return ChangeState::kTooLarge;
    case ErrorCode::kOutcomeUnknown:
      return ChangeState::kUnknown;
    default:
      return ChangeState::kInvalid;
  }
}

[[nodiscard]] bool SameChange(const ConfigChange& one,
                              const ConfigChange& other) {
  return one.content == other.content && one.rollback_to == other.rollback_to;
}

}  // namespace internal

ConfigCoordinator::ConfigCoordinator(const ClusterOptions& options,
                                     std::uint64_t seed,
                                     const MemberTable& table,
                                     PeerSender& sender,
                                     StoreCaller& store,
                                     ConfigReplica& replica)
    : m_options(options),
      m_random(seed),
      m_table(table),
      m_sender(sender),
      m_store(store),
      m_replica(replica) {}

void ConfigCoordinator::Submit(const ConfigChange& change,
                               TimePoint now,
                               ClusterEffects& effects) {
  const auto refuse = [&](ChangeState state, std::string message) {
    effects.operator_replies.push_back(
        MakeReply(change, state, m_replica.revision(), std::move(message)));
  };
  if (change.operation == OperationId()) {
    refuse(ChangeState::kInvalid, "the operation id is missing");
    return;
  }
  const auto known = m_changes.find(change.operation);
  if (known != m_changes.end()) {
    if (internal::SameChange(known->second.change, change)) {
      known->second.calls.push_back(change.call);
    } else {
      refuse(ChangeState::kInvalid,
             "the operation id names another change; choose a new one");
    }
    return;
  }
  if (m_changes.size() >= kMaxChanges) {
    refuse(ChangeState::kUnavailable,
           "not applied: too many changes are under way; send it again");
    return;
  }
  Pending pending(
      change, now + m_options.operator_timeout,
      Backoff(m_options.store_backoff, m_options.store_backoff_limit));
  Read(m_changes.emplace(change.operation, std::move(pending)).first->second,
       now, effects);
}

std::optional<TimePoint> ConfigCoordinator::NextTimer() const {
  std::optional<TimePoint> next;
  for (const auto& [operation, pending] : m_changes) {
    TimePoint due =
        std::min(pending.deadline, pending.retry_at.value_or(pending.deadline));
    if (pending.acks) {
      due = std::min(due, pending.acks->NextTimer());
    }
    next = std::min(due, next.value_or(due));
  }
  return next;
}

void ConfigCoordinator::OnTimer(TimePoint now, ClusterEffects& effects) {
  for (auto& [operation, pending] : m_changes) {
    Drive(pending, now, effects);
  }
  RemoveClosed();
}

void ConfigCoordinator::Drive(Pending& pending,
                              TimePoint now,
                              ClusterEffects& effects) {
  if (pending.acks) {
    pending.acks->OnTimer(now, effects);
    if (pending.acks->Accepted(now)) {
      const Revision revision = pending.acks->revision();
      m_accepted = std::max(m_accepted, revision);
      Close(pending, ChangeState::kAccepted, revision,
            "in force on every node that serves", effects);
      return;
    }
  }
  if (now >= pending.deadline) {
    CloseLate(pending, effects);
    return;
  }
  if (pending.retry_at && now >= *pending.retry_at) {
    Read(pending, now, effects);
  }
}

void ConfigCoordinator::Read(Pending& pending,
                             TimePoint now,
                             ClusterEffects& effects) {
  pending.retry_at.reset();
  pending.writing = false;
  pending.call_sent = now;
  pending.store_call = m_store.Read(kConfigKey, effects);
  if (!pending.store_call) {
    RetryLater(pending, now);
  }
}

bool ConfigCoordinator::OnStoreReply(const StoreReply& reply,
                                     TimePoint now,
                                     ClusterEffects& effects) {
  const auto found = std::ranges::find_if(m_changes, [&](const auto& entry) {
    return entry.second.store_call == reply.id;
  });
  if (found == m_changes.end()) {
    return false;
  }
  Pending& pending = found->second;
  pending.store_call.reset();
  if (pending.writing) {
    OnWritten(pending, reply, now, effects);
  } else {
    OnValue(pending, reply, now, effects);
  }
  RemoveClosed();
  return true;
}

void ConfigCoordinator::OnValue(Pending& pending,
                                const StoreReply& reply,
                                TimePoint now,
                                ClusterEffects& effects) {
  if (reply.status == StoreStatus::kNotFound) {
    OnAbsent(pending, now, effects);
    return;
  }
  if (reply.status != StoreStatus::kOk || reply.items.empty()) {
    RetryLater(pending, now);
    return;
  }
  const StoreItem& item = reply.items.front();
  auto decoded = Capture([&] { return DecodeConfig(item.value); });
  if (const Error* const error = std::get_if<Error>(&decoded)) {
    Close(pending, ChangeState::kUnavailable, m_replica.revision(),
          "the store's value cannot be read: " + error->subject + " " +
              error->message,
          effects);
    return;
  }
  const ConfigValue& value = std::get<ConfigValue>(decoded);
  m_replica.OnRead(value, pending.call_sent, effects);
  if (const auto revision = FindOperation(value, pending.change.operation)) {
    Collect(pending, *revision, now, effects);
    return;
  }
  if (pending.unresolved && *pending.unresolved != item.revision) {
    // Its compare-and-swap can no longer succeed.
    pending.unresolved.reset();
  }
  Write(pending, value, item.revision, now, effects);
}

// A key that vanished after this node has seen it is a fault of the store: a
// value made anew would start at revision one, below what every node has.
void ConfigCoordinator::OnAbsent(Pending& pending,
                                 TimePoint now,
                                 ClusterEffects& effects) {
  if (m_replica.value()) {
    Close(pending, ChangeState::kUnavailable, m_replica.revision(),
          "not applied: the store has lost the key 'config'; restore it there",
          effects);
    return;
  }
  Write(pending, FirstValue(now), StoreRevision(), now, effects);
}

ConfigValue ConfigCoordinator::FirstValue(TimePoint now) const {
  ConfigValue value;
  for (const auto& [node, member] : m_table.members()) {
    const bool self = node == m_table.self().node;
    if (self || (m_table.StateOf(node, now) == MemberState::kLive &&
                 value.voters.size() + 1 < m_options.max_voters)) {
      value.voters.push_back(node);
    }
  }
  std::ranges::sort(value.voters);
  return value;
}

void ConfigCoordinator::Write(Pending& pending,
                              const ConfigValue& stored,
                              StoreRevision expected,
                              TimePoint now,
                              ClusterEffects& effects) {
  ConfigValue next;
  const auto text = Capture([&]() -> Result<std::string> {
    BOOST_LEAF_ASSIGN(next, ApplyChange(stored, pending.change));
    return EncodeWithinLimit(next);
  });
  if (const Error* const error = std::get_if<Error>(&text)) {
    const bool unknown = error->code == ErrorCode::kOutcomeUnknown;
    Close(pending, internal::StateFor(error->code), stored.revision,
          (unknown ? "" : "not applied: ") + error->message, effects);
    return;
  }
  pending.writing = true;
  pending.call_sent = now;
  pending.written = std::move(next);
  pending.store_call = m_store.CompareAndSwap(
      kConfigKey, std::get<std::string>(text), expected, effects);
  pending.expected = expected;
  if (!pending.store_call) {
    RetryLater(pending, now);
  }
}

void ConfigCoordinator::OnWritten(Pending& pending,
                                  const StoreReply& reply,
                                  TimePoint now,
                                  ClusterEffects& effects) {
  switch (reply.status) {
    case StoreStatus::kOk:
      m_replica.OnRead(*pending.written, pending.call_sent, effects);
      Collect(pending, pending.written->revision, now, effects);
      return;
    case StoreStatus::kConflict:
    case StoreStatus::kNotFound:
      Read(pending, now, effects);
      return;
    case StoreStatus::kNoReply:
      // The write may have taken effect, or may do so yet. Taken as failed, the
      // change would be applied twice; taken as done, it could be lost.
      pending.unresolved = pending.expected;
      RetryLater(pending, now);
      return;
    case StoreStatus::kRefused:
      RetryLater(pending, now);
      return;
  }
}

void ConfigCoordinator::Collect(Pending& pending,
                                Revision revision,
                                TimePoint now,
                                ClusterEffects& effects) {
  pending.unresolved.reset();
  pending.acks.emplace(m_options, m_table, m_sender, m_replica, revision);
  pending.acks->OnTimer(now, effects);
}

void ConfigCoordinator::OnAck(const Envelope& envelope,
                              const RevisionAck& ack,
                              TimePoint now,
                              ClusterEffects& effects) {
  for (auto& [operation, pending] : m_changes) {
    if (pending.acks) {
      pending.acks->OnAck(envelope, ack, now);
      pending.acks->OnTimer(now, effects);
    }
  }
}

void ConfigCoordinator::RetryLater(Pending& pending, TimePoint now) {
  pending.retry_at = now + pending.backoff.OnFailure(m_random);
}

void ConfigCoordinator::Close(Pending& pending,
                              ChangeState state,
                              Revision revision,
                              const std::string& message,
                              ClusterEffects& effects) {
  for (const OperatorCallId& call : pending.calls) {
    OperatorReply reply = MakeReply(pending.change, state, revision, message);
    reply.call = call;
    if (pending.acks && state == ChangeState::kPending) {
      reply.waiting_for = pending.acks->WaitingFor();
    }
    effects.operator_replies.push_back(std::move(reply));
  }
  pending.calls.clear();
}

void ConfigCoordinator::CloseLate(Pending& pending, ClusterEffects& effects) {
  const bool write_open = pending.writing && pending.store_call;
  if (pending.acks) {
    Close(pending, ChangeState::kPending, pending.acks->revision(),
          "at the store, not yet known to be in force everywhere; ask again "
          "with the same operation id",
          effects);
  } else if (pending.unresolved || write_open) {
    Close(pending, ChangeState::kUnknown, m_replica.revision(),
          "the store did not say whether the change was written; ask again "
          "with the same operation id",
          effects);
  } else {
    Close(pending, ChangeState::kUnavailable, m_replica.revision(),
          "not applied: the store cannot be reached; send it again", effects);
  }
}

void ConfigCoordinator::RemoveClosed() {
  std::erase_if(m_changes,
                [](const auto& entry) { return entry.second.calls.empty(); });
}

std::vector<NodeId> ConfigCoordinator::WaitingFor() const {
  std::vector<NodeId> waiting;
  for (const auto& [operation, pending] : m_changes) {
    if (pending.acks) {
      std::ranges::copy(pending.acks->WaitingFor(),
                        std::back_inserter(waiting));
    }
  }
  std::ranges::sort(waiting);
  waiting.erase(std::unique(waiting.begin(), waiting.end()), waiting.end());
  return waiting;
}

}  // namespace jacinthdeck
