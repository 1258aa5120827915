// State and statistics of one target, kept by the router.
#ifndef JACINTHDECK_ROUTING_TARGET_RECORD_H_
#define JACINTHDECK_ROUTING_TARGET_RECORD_H_

#include <cstdint>
#include <optional>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/decaying_average.h"
#include "jacinthdeck/routing/in_flight_window.h"
#include "jacinthdeck/routing/load_hint.h"
#include "jacinthdeck/routing/replica_chooser.h"
#include "jacinthdeck/routing/service_record.h"
#include "jacinthdeck/routing/target_health.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief Preference class of a target; lower values are chosen first. */
enum class TargetRank {
  kPreferred,
  //! Unresponsive or shedding; chosen only if no preferred target has room.
  kDegraded,
  //! Gets only probes.
  kEjected,
  //! Gets no new requests.
  kExcluded,
};

/*! \brief State of one target as observed by this host. */
class TargetRecord {
 public:
  /*! \brief Creates a record; the service must outlive it. */
  TargetRecord(const TargetInfo& info, ServiceRecord& service);

  [[nodiscard]] const TargetInfo& info() const noexcept { return m_info; }
  [[nodiscard]] ServiceRecord& service() noexcept { return *m_service; }
  [[nodiscard]] TargetHealth& health() noexcept { return m_health; }
  [[nodiscard]] const TargetHealth& health() const noexcept { return m_health; }
  [[nodiscard]] const InFlightWindow& window() const noexcept {
    return m_window;
  }
  /*! \brief Returns true if requests at the target are probably lost, so that
   * sending one elsewhere is a failover and not a hedge. */
  [[nodiscard]] bool IsSuspect(TimePoint now) const noexcept {
    return m_health.State(now) != HealthState::kTrusted ||
           IsUnresponsive(now) || m_consecutive_unanswered > 0;
  }
  [[nodiscard]] std::uint32_t in_flight() const noexcept { return m_in_flight; }

  /*! \brief Returns the average latency of answers and of late attempts that
   * were cancelled; zero before the first. */
  [[nodiscard]] Duration latency() const noexcept;

  /*! \brief Returns true if the target recently reported that it is draining.
   */
  [[nodiscard]] bool IsDraining(TimePoint now) const noexcept {
    return m_draining_until && now < *m_draining_until;
  }

  /*! \brief Returns true during the backoff after a shed. */
  [[nodiscard]] bool HasShedRecently(TimePoint now) const noexcept {
    return now < m_shed_until;
  }

  /*! \brief Checks whether the target has no room until one of its requests
   * ends.
   * \param share This host's share of its connections.
   * \param now Current time.
   * \return True if it is full; never while no request is in flight. */
  [[nodiscard]] bool IsFull(std::uint32_t share, TimePoint now) const noexcept;

  /*! \brief Returns the time of the last reply of any kind. */
  [[nodiscard]] TimePoint last_reply() const noexcept { return m_last_reply; }

  /*! \brief Returns true if its latency is far above that of its fastest peer.
   */
  [[nodiscard]] bool IsSlow() const noexcept;

  /*! \brief Returns the rank, regardless of the in-flight limit. */
  [[nodiscard]] TargetRank Rank(TimePoint now) const noexcept;

  /*! \brief Returns the data on which a replica choice strategy decides. */
  [[nodiscard]] ReplicaView View(TimePoint now) const noexcept;

  /*! \brief Replaces the description by a newer one from the host list. */
  void set_info(const TargetInfo& info) { m_info = info; }

  /*! \brief Sets the latency of the fastest target that holds the same data;
   * zero if there is none. */
  void set_peer_latency(Duration latency) noexcept { m_peer_latency = latency; }

  /*! \brief Marks the target as removed from the host list. */
  void SetGone() noexcept { m_info.state = TargetState::kGone; }

  /*! \brief Sets the number of hosts among which its slots are divided. */
  void ShareSlots(std::uint32_t hosts) noexcept {
    m_window.SetFloor(m_info.slots, hosts);
  }

  /*! \brief Adds a request in flight. */
  void OnSend(TimePoint now) noexcept;

  /*! \brief Removes a request in flight. */
  void OnEnd(TimePoint now) noexcept;

  /*! \brief Records an answer. */
  void OnAnswer(Duration latency, std::uint32_t share, TimePoint now) noexcept;

  /*! \brief Records the latency of a late attempt that was cancelled; it is a
   * lower bound. */
  void OnOverdue(Duration latency) noexcept;

  /*! \brief Records that a late attempt was cancelled without a reply.
   * \param sent Time at which the attempt was sent.
   * \param now Current time.
   * \return Number of consecutive such attempts; 0 if the target has replied to
   * any request since the attempt was sent. */
  std::uint32_t OnUnanswered(TimePoint sent, TimePoint now) noexcept;

  /*! \brief Records a shed, which proves that the target is alive. */
  void OnShed(TimePoint now) noexcept;

  /*! \brief Records that the target reported that it is draining. */
  void OnDraining(TimePoint now) noexcept;

  /*! \brief Records a reported load. */
  void OnReportedLoad(double load, TimePoint now) noexcept {
    m_hint.Add(load, now);
  }

 private:
  void OnReply(TimePoint now) noexcept;
  //! Weight of the statistics by the age of the last sample, from 1 down to 0.
  [[nodiscard]] double Freshness(TimePoint now) const noexcept;
  [[nodiscard]] bool IsUnresponsive(TimePoint now) const noexcept;

  TargetInfo m_info;
  //! Never null.
  ServiceRecord* m_service;
  TargetHealth m_health;
  InFlightWindow m_window;
  LoadHint m_hint;
  DecayingAverage m_latency;
  Duration m_peer_latency{};
  std::uint32_t m_in_flight = 0;
  //! Time since which requests have been in flight without a reply.
  TimePoint m_waiting_since{};
  TimePoint m_last_end{};
  //! Time of the last reply of any kind.
  TimePoint m_last_reply{};
  std::uint32_t m_consecutive_unanswered = 0;
  std::uint32_t m_consecutive_sheds = 0;
  TimePoint m_shed_until{};
  //! End of the backoff after attempts without a reply.
  TimePoint m_degraded_until{};
  std::optional<TimePoint> m_draining_until;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_RECORD_H_
