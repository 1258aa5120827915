// Attempts that wait for a place on one of their replicas.
#ifndef JACINTHDECK_QUERY_WAITING_ATTEMPTS_H_
#define JACINTHDECK_QUERY_WAITING_ATTEMPTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/attempt.h"

namespace jacinthdeck {

/*! \brief One shard of one call that waits. */
struct WaitingAttempt {
  CallId call;
  std::size_t shard = 0;
  AttemptKind kind = AttemptKind::kFirst;
  ServiceId service;
  //! Any of these may serve it.
  std::vector<TargetId> replicas;
  TimePoint deadline;
};

/*! \brief Names a waiting attempt; the earlier deadline, then the earlier
 * arrival, comes first. */
struct WaitingKey {
  TimePoint deadline;
  std::uint64_t arrival = 0;

  [[nodiscard]] auto operator<=>(const WaitingKey&) const = default;
};

/*! \brief Bounded, deadline-ordered queues, one seen from each target. */
class WaitingAttempts {
 public:
  /*! \brief Makes queues that hold at most so many attempts together. */
  explicit WaitingAttempts(std::size_t limit) noexcept : m_limit(limit) {}

  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  /*! \brief Counts the waiting attempts of a service. */
  [[nodiscard]] std::size_t CountOf(const ServiceId& service) const;

  /*! \brief Gives the targets that something waits for. */
  [[nodiscard]] std::vector<TargetId> Targets() const;

  /*! \brief Gives the first key that waits for a target. */
  [[nodiscard]] std::optional<WaitingKey> First(const TargetId& target) const;

  /*! \brief Gives an attempt that waits. */
  [[nodiscard]] const WaitingAttempt& Get(const WaitingKey& key) const;

  /*! \brief Adds an attempt; nothing if the queues are full. */
  [[nodiscard]] std::optional<WaitingKey> Add(WaitingAttempt attempt);

  /*! \brief Takes an attempt out. */
  void Remove(const WaitingKey& key);

 private:
  std::size_t m_limit;
  std::uint64_t m_arrivals = 0;
  std::map<WaitingKey, WaitingAttempt> m_entries;
  //! Holds each key of m_entries once for each of its replicas; no set is
  //! empty.
  std::map<TargetId, std::set<WaitingKey>> m_by_target;
  std::map<ServiceId, std::size_t> m_by_service;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_WAITING_ATTEMPTS_H_
