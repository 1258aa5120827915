// What a router holds of one target.
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

/*! \brief How readily a target is chosen; lower is better. */
enum class TargetRank {
  kPreferred,
  //! Silent or shedding: only if nothing else is free.
  kDegraded,
  //! Gets probes only.
  kEjected,
  //! Gets no new work.
  kExcluded,
};

/*! \brief State of one target, as this entry sees it. */
class TargetRecord {
 public:
  /*! \brief Makes a record; the service outlives it. */
  TargetRecord(const TargetInfo& info, ServiceRecord& service);

  [[nodiscard]] const TargetInfo& info() const noexcept { return m_info; }
  [[nodiscard]] ServiceRecord& service() noexcept { return *m_service; }
  [[nodiscard]] TargetHealth& health() noexcept { return m_health; }
  [[nodiscard]] const TargetHealth& health() const noexcept { return m_health; }
  [[nodiscard]] const InFlightWindow& window() const noexcept {
    return m_window;
  }
  /*! \brief Tells whether requests at it are likely lost, so that sending one
   * elsewhere is a failover and not a hedge. */
  [[nodiscard]] bool IsSuspect(TimePoint now) const noexcept {
    return m_health.State(now) != HealthState::kTrusted ||
           IsUnresponsive(now) || m_consecutive_unanswered > 0;
  }
  [[nodiscard]] std::uint32_t in_flight() const noexcept { return m_in_flight; }

  /*! \brief Average latency of its answers, and of late attempts that were
   * cancelled; zero before the first. */
  [[nodiscard]] Duration latency() const noexcept;

  /*! \brief Tells whether it said lately that it is draining. */
  [[nodiscard]] bool IsDraining(TimePoint now) const noexcept {
    return m_draining_until && now < *m_draining_until;
  }

  /*! \brief Tells whether it shed a moment ago. */
  [[nodiscard]] bool HasShedRecently(TimePoint now) const noexcept {
    return now < m_shed_until;
  }

  /*! \brief Tells whether it gets no more before one of its requests ends.
   * \param share This entry's share of its connections.
   * \param now Present time.
   * \return Never true while nothing is in flight. */
  [[nodiscard]] bool IsFull(std::uint32_t share, TimePoint now) const noexcept;

  /*! \brief Moment of its last reply of any kind. */
  [[nodiscard]] TimePoint last_reply() const noexcept { return m_last_reply; }

  /*! \brief Tells whether its latency stands out from that of its peers. */
  [[nodiscard]] bool IsSlow() const noexcept;

  /*! \brief Ranks it, without regard to its limit. */
  [[nodiscard]] TargetRank Rank(TimePoint now) const noexcept;

  /*! \brief Gives what a strategy sees of it. */
  [[nodiscard]] ReplicaView View(TimePoint now) const noexcept;

  /*! \brief Takes a newer word of the host list. */
  void set_info(const TargetInfo& info) { m_info = info; }

  /*! \brief Takes the latency of the fastest target that holds the same data;
   * zero where there is none. */
  void set_peer_latency(Duration latency) noexcept { m_peer_latency = latency; }

  /*! \brief Marks it as gone from the host list. */
  void SetGone() noexcept { m_info.state = TargetState::kGone; }

  /*! \brief Says among how many entries its slots are shared. */
  void ShareSlots(std::uint32_t hosts) noexcept {
    m_window.SetFloor(m_info.slots, hosts);
  }

  /*! \brief Counts a request that is being sent. */
  void OnSend(TimePoint now) noexcept;

  /*! \brief Gives the place of a request back. */
  void OnEnd(TimePoint now) noexcept;

  /*! \brief Learns from an answer. */
  void OnAnswer(Duration latency, std::uint32_t share, TimePoint now) noexcept;

  /*! \brief Takes a lower bound of a latency. */
  void OnOverdue(Duration latency) noexcept;

  /*! \brief Learns that a late attempt was cancelled without a reply.
   * \param sent When it was sent.
   * \param now Present time.
   * \return Such attempts in a row. */
  std::uint32_t OnUnanswered(TimePoint sent, TimePoint now) noexcept;

  /*! \brief Learns from a refusal, which proves that it is alive. */
  void OnShed(TimePoint now) noexcept;

  /*! \brief Learns that it is draining. */
  void OnDraining(TimePoint now) noexcept;

  /*! \brief Takes a reported load. */
  void OnReportedLoad(double load, TimePoint now) noexcept {
    m_hint.Add(load, now);
  }

 private:
  void OnReply(TimePoint now) noexcept;
  //! Weight of what was learned at the last end, 1 to 0.
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
  //! Since when requests have been in flight without a reply.
  TimePoint m_waiting_since{};
  TimePoint m_last_end{};
  //! Last reply of any kind.
  TimePoint m_last_reply{};
  std::uint32_t m_consecutive_unanswered = 0;
  std::uint32_t m_consecutive_sheds = 0;
  TimePoint m_shed_until{};
  //! End of a pause after missing answers.
  TimePoint m_degraded_until{};
  std::optional<TimePoint> m_draining_until;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_RECORD_H_
