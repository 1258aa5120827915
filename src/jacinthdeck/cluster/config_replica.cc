// Leases, recovery and spread of revisions; steps as in
// docs/design/configuration.md.
#include "jacinthdeck/cluster/config_replica.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/cluster/config_codec.h"
#include "jacinthdeck/cluster/quorum.h"
#include "jacinthdeck/cluster/random_choice.h"

namespace jacinthdeck {

namespace internal {

//! Voters asked beyond a majority, so that one loss does not cost a period.
constexpr std::size_t kSpareVoters = 2;
//! Nodes asked while it is not known who the voters are.
constexpr std::size_t kBlindQueries = 5;
//! A call to the store that the runtime never ended counts as lost after this
//! many timeouts.
constexpr int kLostTimeouts = 2;

[[nodiscard]] std::optional<ConfigValue> Decode(const std::string& text) {
  auto decoded = Capture([&] { return DecodeConfig(text); });
  if (auto* const value = std::get_if<ConfigValue>(&decoded)) {
    return std::move(*value);
  }
  return std::nullopt;
}

}  // namespace internal

ConfigReplica::ConfigReplica(const ClusterOptions& options,
                             std::uint64_t seed,
                             const MemberTable& table,
                             PeerSender& sender,
                             StoreCaller& store)
    : m_options(options),
      m_random(seed),
      m_backoff(options.store_backoff, options.store_backoff_limit),
      m_table(table),
      m_sender(sender),
      m_store(store) {}

ServeState ConfigReplica::StateAt(TimePoint now) const {
  if (!m_value) {
    return ServeState::kNoConfig;
  }
  if (!m_recovered) {
    return ServeState::kRecovering;
  }
  const TimePoint oldest = now - m_options.serving_lease;
  const bool proved =
      (m_read_sent && *m_read_sent > oldest) ||
      m_exchange.Confirmed(*m_value, oldest, m_table.self().node, true);
  return proved ? ServeState::kServing : ServeState::kLeaseLapsed;
}

TimePoint ConfigReplica::NextTimer() const {
  const TimePoint read = m_read ? m_read_started + internal::kLostTimeouts *
                                                       m_options.store_timeout
                                : m_next_read;
  return std::min(read, m_next_exchange.value_or(TimePoint{}));
}

void ConfigReplica::OnTimer(TimePoint now, ClusterEffects& effects) {
  if (m_read && now >= m_read_started +
                           internal::kLostTimeouts * m_options.store_timeout) {
    OnReadFailed(now);
  }
  if (!m_read && now >= m_next_read) {
    ReadStore(now, effects);
  }
  if (!m_next_exchange) {
    m_next_exchange = now + m_options.exchange_after;
  }
  if (now >= *m_next_exchange) {
    Exchange(now, effects);
  }
}

void ConfigReplica::OnResume() {
  m_read_sent.reset();
  m_exchange.Clear();
  m_next_read = TimePoint{};
  m_next_exchange.reset();
}

void ConfigReplica::ReadStore(TimePoint now, ClusterEffects& effects) {
  m_read = m_store.Read(kConfigKey, effects);
  m_read_started = now;
  if (!m_read) {
    m_next_read = now + m_options.store_backoff;
  }
}

void ConfigReplica::OnReadFailed(TimePoint now) {
  m_read.reset();
  m_store_reachable = false;
  m_next_read = now + m_backoff.OnFailure(m_random);
}

bool ConfigReplica::OnStoreReply(const StoreReply& reply,
                                 TimePoint now,
                                 ClusterEffects& effects) {
  if (m_read != reply.id) {
    return false;
  }
  const bool answered =
      (reply.status == StoreStatus::kOk && !reply.items.empty()) ||
      reply.status == StoreStatus::kNotFound;
  if (!answered) {
    OnReadFailed(now);
    return true;
  }
  m_read.reset();
  m_backoff.OnSuccess();
  m_store_reachable = true;
  // Jitter, or nodes that started together would read together for ever.
  const Duration half = m_options.serving_lease / 2;
  m_next_read = m_read_started + half - DrawDuration(half / 4, m_random);
  if (reply.status == StoreStatus::kNotFound) {
    return true;
  }
  const StoreItem& item = reply.items.front();
  if (m_value && item.revision == m_store_revision) {
    OnRead(*m_value, m_read_started, effects);
    return true;
  }
  const std::optional<ConfigValue> value = internal::Decode(item.value);
  if (!value) {
    OnReadFailed(now);
    return true;
  }
  OnRead(*value, m_read_started, effects);
  if (m_value->revision == value->revision) {
    m_store_revision = item.revision;
  }
  return true;
}

void ConfigReplica::OnRead(const ConfigValue& value,
                           TimePoint asked,
                           ClusterEffects& effects) {
  Adopt(value, effects);
  // A replica of the store that lags, or a read from before a change that a
  // peer has told us of, proves nothing about the present: taken as a renewal
  // it would keep this node serving the old revision.
  if (value.revision < m_value->revision || value.revision < m_heard) {
    return;
  }
  m_read_sent = std::max(asked, m_read_sent.value_or(asked));
  m_recovered = true;
}

void ConfigReplica::Adopt(const ConfigValue& value, ClusterEffects& effects) {
  if (m_value && value.revision <= m_value->revision) {
    return;
  }
  m_value = std::make_shared<const ConfigValue>(value);
  m_encoded = EncodeConfig(value);
  m_store_revision = StoreRevision();
  m_heard = std::max(m_heard, value.revision);
  m_sender.set_revision(value.revision);
  effects.config_changed = true;
  Announce(effects);
}

void ConfigReplica::Announce(ClusterEffects& effects) {
  for (const NodeId& node :
       Draw(m_table.Reachable(), m_options.announce_fan_out, m_random)) {
    m_sender.Send(node, RevisionAnnounce{m_value->revision}, effects);
  }
}

bool ConfigReplica::NeedsExchange(TimePoint now) const {
  const Duration overdue =
      m_options.serving_lease / 2 + m_options.exchange_after;
  return !m_recovered || !m_read_sent || *m_read_sent + overdue <= now;
}

std::vector<NodeId> ConfigReplica::NodesToAsk(TimePoint now) {
  if (!m_value) {
    std::vector<NodeId> known = m_table.Reachable();
    std::ranges::copy(m_table.Unreachable(), std::back_inserter(known));
    return Draw(std::move(known), internal::kBlindQueries, m_random);
  }
  std::vector<NodeId> voters = AllVoters(*m_value);
  std::erase(voters, m_table.self().node);
  const std::size_t count = MajorityOf(voters.size()) + internal::kSpareVoters;
  Shuffle(voters, m_random);
  std::stable_partition(voters.begin(), voters.end(), [&](const NodeId& voter) {
    return m_table.StateOf(voter, now) != MemberState::kDead;
  });
  voters.resize(std::min(voters.size(), count));
  return voters;
}

void ConfigReplica::Exchange(TimePoint now, ClusterEffects& effects) {
  if (!NeedsExchange(now)) {
    m_next_exchange = now + m_options.exchange_after;
    return;
  }
  m_next_exchange = now + m_options.exchange_period;
  m_exchange.DropBefore(now - m_options.serving_lease);
  const std::uint64_t sequence = m_exchange.Start(now);
  for (const NodeId& node : NodesToAsk(now)) {
    m_sender.Send(node, RevisionQuery{sequence, revision()}, effects);
  }
}

void ConfigReplica::OnQuery(const NodeId& from,
                            const RevisionQuery& query,
                            ClusterEffects& effects) {
  m_sender.Send(from, RevisionReport{query.sequence, revision(), m_recovered},
                effects);
}

void ConfigReplica::OnReport(const Envelope& envelope,
                             const RevisionReport& report,
                             TimePoint now,
                             ClusterEffects& effects) {
  m_exchange.OnReport(envelope.from, report);
  HearOf(report.revision, envelope.from, now, effects);
  Recover(now);
}

// Rule (i): the former life may have acknowledged a revision that this life
// does not know. Any majority that the former life was counted in meets any
// majority of recovered others, so one of these reports the revision.
void ConfigReplica::Recover(TimePoint now) {
  if (m_recovered || !m_value) {
    return;
  }
  m_recovered = m_exchange.Confirmed(*m_value, now - m_options.serving_lease,
                                     m_table.self().node, /*count_self=*/false);
}

void ConfigReplica::OnAckRequest(const NodeId& from,
                                 const AckRequest& request,
                                 TimePoint now,
                                 ClusterEffects& effects) {
  HearOf(request.revision, from, now, effects);
  if (m_recovered && revision() >= request.revision) {
    m_sender.Send(from,
                  RevisionAck{request.revision, request.round, revision()},
                  effects);
  }
}

void ConfigReplica::OnAnnounce(const NodeId& from,
                               const RevisionAnnounce& announce,
                               TimePoint now,
                               ClusterEffects& effects) {
  HearOf(announce.revision, from, now, effects);
}

void ConfigReplica::HearOf(Revision heard,
                           const NodeId& from,
                           TimePoint now,
                           ClusterEffects& effects) {
  m_heard = std::max(m_heard, heard);
  // One fetch at a time: a value may have a megabyte, and many tell of it.
  if (heard > revision() && now >= m_fetch_until) {
    m_fetch_until = now + m_options.exchange_after;
    m_sender.Send(from, ConfigFetch{revision()}, effects);
  }
}

void ConfigReplica::OnFetch(const NodeId& from,
                            const ConfigFetch& fetch,
                            ClusterEffects& effects) {
  if (revision() > fetch.above) {
    m_sender.Send(from, ConfigTransfer{revision(), m_encoded}, effects);
  }
}

void ConfigReplica::OnTransfer(const ConfigTransfer& transfer,
                               TimePoint now,
                               ClusterEffects& effects) {
  m_fetch_until = TimePoint{};
  if (transfer.revision <= revision()) {
    return;
  }
  if (const auto value = internal::Decode(transfer.value)) {
    Adopt(*value, effects);
    Recover(now);
  }
}

}  // namespace jacinthdeck
