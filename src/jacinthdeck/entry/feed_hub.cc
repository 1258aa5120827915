// Carries out the actions of the feeder selection, and passes changes between
// the store session, the feeder and the followers.
#include "jacinthdeck/entry/feed_hub.h"

#include <chrono>
#include <utility>

namespace jacinthdeck {

namespace {

//! Interval of the heartbeats to followers. The timeouts of FeederSelector rely
//! on it.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

}  // namespace

FeedHub::FeedHub(asio::io_context& loop,
                 const Clock& clock,
                 StoreSession& store,
                 FeedHubObserver& observer,
                 const HostRecord& self,
                 const std::vector<Endpoint>& seeds,
                 bool fleet_starts,
                 std::uint64_t seed,
                 const DiscoveryTimes& times)
    : m_clock(clock),
      m_store(store),
      m_observer(observer),
      m_name(self.name),
      m_server(loop, *this, *this),
      m_link(loop, *this),
      m_feeder_selector(self, seeds, fleet_starts, seed, clock.Now(), times) {}

Result<void> FeedHub::Listen(const Endpoint& endpoint,
                             std::size_t max_followers) {
  return m_server.Listen(endpoint.address, endpoint.port, max_followers);
}

void FeedHub::OnHosts(const std::vector<HostRecord>& hosts) {
  m_feeder_selector.OnHosts(hosts, m_clock.Now());
}

void FeedHub::OnContent(const std::vector<StoreChange>& changes,
                        const StorePosition& position,
                        bool whole) {
  m_server.Publish({position, whole, changes});
}

void FeedHub::CountReceived() {
  const std::uint64_t counted =
      m_received.own_domain + m_received.other_domains;
  m_received.Add(m_link.received_bytes() - counted,
                 m_feeder_selector.IsFeederInOwnDomain());
}

void FeedHub::Tick() {
  const TimePoint now = m_clock.Now();
  CountReceived();
  if (now >= m_next_heartbeat) {
    m_server.SendHeartbeat();
    m_next_heartbeat = now + kHeartbeatInterval;
  }
  const FeederActions actions = m_feeder_selector.Step(now);
  if (actions.close_link) {
    m_link.Close();
    m_observer.OnFeedEnded("given up");
  }
  if (actions.open_link_to) {
    m_observer.OnFeedOpened(*actions.open_link_to);
    m_sent_record.clear();
    m_link.Open(*actions.open_link_to,
                {m_name, m_store.position(), m_sent_record});
  }
  SendRecord();
  // A host that has no content yet although its link is steady watches the
  // store itself. Otherwise it would stay without content, whichever host feeds
  // it.
  const bool lacks_content =
      !m_store.loaded() && m_feeder_selector.IsLinkSteady(m_clock.Now());
  m_store.SetWatching(actions.watch_store || lacks_content ||
                      m_store.IsNewEraOverdue());
}

void FeedHub::SetRecord(std::string value) {
  m_delegated_record = std::move(value);
  SendRecord();
}

// Each feeder that receives the record writes it to the store, and each write
// is sent to all hosts. The record is therefore sent only once the link is
// steady, so that a feeder that is left again at once does not write it.
void FeedHub::SendRecord() {
  if (m_sent_record == m_delegated_record ||
      !m_feeder_selector.IsLinkSteady(m_clock.Now())) {
    return;
  }
  m_sent_record = m_delegated_record;
  m_link.SendHello({m_name, m_store.position(), m_delegated_record});
}

void FeedHub::OnFollowerHello(const FeedHello& hello) {
  if (hello.record.empty()) {
    m_store.RemoveMember(hello.host);
  } else {
    m_store.AddMember(hello.record);
  }
}

void FeedHub::OnFollowerLeft(const HostId& host) {
  m_store.RemoveMember(host);
}

FeedChanges FeedHub::ContentSince(const StorePosition& position) const {
  return m_store.UpdateSince(position);
}

FeedHeartbeat FeedHub::Heartbeat() const {
  const auto last_contact_at = m_store.last_contact();
  FeedHeartbeat heartbeat;
  heartbeat.position = m_store.position();
  heartbeat.store_away = m_store.discovery_state().store_away();
  if (last_contact_at) {
    heartbeat.age = m_clock.Now() - *last_contact_at;
  }
  if (const auto since = m_store.discovery_state().available_since()) {
    heartbeat.available_for = m_clock.Now() - *since;
  }
  return heartbeat;
}

void FeedHub::OnFeedChanges(const FeedChanges& changes) {
  m_feeder_selector.OnChanges(m_clock.Now());
  m_store.ApplyPeerContent(changes.changes, changes.position, changes.whole);
}

void FeedHub::OnFeedPart() {
  m_feeder_selector.OnChanges(m_clock.Now());
}

void FeedHub::OnFeedHeartbeat(const FeedHeartbeat& heartbeat) {
  FeedHeartbeat adjusted = heartbeat;
  if (heartbeat.position.era < m_store.position().era) {
    // The feeder last heard from the store before the restore that began the
    // current era, so its age says nothing about the current content.
    adjusted.age.reset();
  }
  m_feeder_selector.OnHeartbeat(adjusted, m_clock.Now());
  m_store.ApplyPeerAge(adjusted.age, adjusted.store_away,
                       adjusted.available_for);
  Tick();
}

void FeedHub::OnFeedLost(const std::string& problem) {
  m_feeder_selector.OnLinkLost(m_clock.Now());
  m_observer.OnFeedEnded(problem);
}

}  // namespace jacinthdeck
