// Records of members at the store, as JSON.
#include "jacinthdeck/cluster/member_records.h"

#include <jansson.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <memory>
#include <utility>

#include "jacinthdeck/cluster/random_choice.h"
#include "jacinthdeck/core/json_ptr.h"

namespace jacinthdeck {

namespace internal {

//! Spread of the first list over nodes that start together.
constexpr Duration kFirstListSpread = std::chrono::milliseconds(300);

struct TextDeleter {
  void operator()(char* text) const noexcept { std::free(text); }
};
using RecordText = std::unique_ptr<char, TextDeleter>;

[[nodiscard]] bool IsPort(json_int_t number) {
  return number > 0 && number <= std::numeric_limits<std::uint16_t>::max();
}

}  // namespace internal

std::string EncodeMemberRecord(const SelfInfo& self) {
  const JsonPtr json(json_pack("{s:I, s:s, s:i, s:i, s:s}", "incarnation",
                               static_cast<json_int_t>(self.incarnation.raw()),
                               "host", self.address.host.c_str(), "peer_port",
                               int{self.address.peer_port}, "caller_port",
                               int{self.address.caller_port}, "domain",
                               self.domain.raw().c_str()));
  const internal::RecordText text(
      json_dumps(json.get(), JSON_COMPACT | JSON_SORT_KEYS));
  return text ? std::string(text.get()) : std::string();
}

std::optional<MemberSeed> DecodeMemberRecord(const StoreItem& item) {
  const std::string prefix = kMemberPrefix;
  json_error_t error;
  const JsonPtr json(
      json_loadb(item.value.data(), item.value.size(), 0, &error));
  const char* host = nullptr;
  const char* domain = nullptr;
  json_int_t peer_port = 0;
  json_int_t caller_port = 0;
  const bool read = json_unpack(json.get(), "{s:s, s:I, s:I, s:s}", "host",
                                &host, "peer_port", &peer_port, "caller_port",
                                &caller_port, "domain", &domain) == 0;
  if (!read || !item.key.starts_with(prefix) ||
      item.key.size() == prefix.size() || !internal::IsPort(peer_port) ||
      !internal::IsPort(caller_port)) {
    return std::nullopt;
  }
  MemberSeed seed;
  seed.node = NodeId(item.key.substr(prefix.size()));
  seed.address = MemberAddress{host, static_cast<std::uint16_t>(peer_port),
                               static_cast<std::uint16_t>(caller_port)};
  seed.domain = FailureDomain(domain);
  return seed;
}

MemberRecords::MemberRecords(const ClusterOptions& options,
                             std::uint64_t seed,
                             MemberTable& table,
                             StoreCaller& store)
    : m_options(options),
      m_random(seed),
      m_backoff(options.store_backoff, options.store_backoff_limit),
      m_table(table),
      m_store(store) {}

Duration MemberRecords::Jittered(Duration period) {
  return period - DrawDuration(period / 4, m_random);
}

void MemberRecords::OnTimer(TimePoint now, ClusterEffects& effects) {
  if (now < m_next || m_list || m_write) {
    return;
  }
  if (m_next == TimePoint{}) {
    m_next = now + DrawDuration(internal::kFirstListSpread, m_random);
    return;
  }
  m_next = now + Jittered(m_options.record_period);
  m_list = m_store.List(kMemberPrefix, effects);
}

bool MemberRecords::OnStoreReply(const StoreReply& reply,
                                 TimePoint now,
                                 ClusterEffects& effects) {
  if (m_list == reply.id) {
    m_list.reset();
    OnList(reply, now, effects);
    return true;
  }
  if (m_write == reply.id) {
    m_write.reset();
    m_written = reply.status == StoreStatus::kOk;
    if (!m_written) {
      m_next = now + m_backoff.OnFailure(m_random);
    }
    return true;
  }
  return false;
}

void MemberRecords::OnList(const StoreReply& reply,
                           TimePoint now,
                           ClusterEffects& effects) {
  if (reply.status != StoreStatus::kOk) {
    m_next = now + m_backoff.OnFailure(m_random);
    return;
  }
  m_backoff.OnSuccess();
  const std::string own_key = kMemberPrefix + m_table.self().node.raw();
  const std::string own_value = EncodeMemberRecord(m_table.self());
  StoreRevision expected;
  for (const StoreItem& item : reply.items) {
    if (item.key == own_key) {
      expected = item.revision;
      m_written = item.value == own_value;
    } else if (const auto seed = DecodeMemberRecord(item)) {
      const bool added = m_table.AddSeed(SeedSource::kStore, *seed);
      effects.members_changed = effects.members_changed || added;
    }
  }
  if (!m_written) {
    m_write = m_store.CompareAndSwap(own_key, own_value, expected, effects);
  }
}

}  // namespace jacinthdeck
