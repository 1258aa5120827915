// Attempts that wait for capacity on one of their replicas.
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

/*! \brief Attempt for a shard of a call that waits for capacity. */
struct WaitingAttempt {
  CallId call;
  std::size_t shard = 0;
  AttemptKind kind = AttemptKind::kFirst;
  ServiceId service;
  //! Targets that may serve the attempt.
  std::vector<TargetId> replicas;
  TimePoint deadline;
};

/*! \brief Identifies a waiting attempt; ordered by deadline, then arrival. */
struct WaitingKey {
  TimePoint deadline;
  std::uint64_t arrival = 0;

  [[nodiscard]] auto operator<=>(const WaitingKey&) const = default;
};

/*! \brief Bounded set of waiting attempts with a deadline-ordered queue for
 * each target; an attempt is in the queue of each of its replicas. */
class WaitingAttempts {
 public:
  /*! \brief Constructs an empty set that holds at most `limit` attempts. */
  explicit WaitingAttempts(std::size_t limit) noexcept : m_limit(limit) {}

  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  /*! \brief Returns the number of waiting attempts of a service. */
  [[nodiscard]] std::size_t CountOf(const ServiceId& service) const;

  /*! \brief Returns the targets that at least one attempt waits for. */
  [[nodiscard]] std::vector<TargetId> Targets() const;

  /*! \brief Returns the key of the first attempt that waits for a target. */
  [[nodiscard]] std::optional<WaitingKey> First(const TargetId& target) const;

  /*! \brief Returns a waiting attempt; the key must be in the set. */
  [[nodiscard]] const WaitingAttempt& Get(const WaitingKey& key) const;

  /*! \brief Adds an attempt; returns no key if the set is full. */
  [[nodiscard]] std::optional<WaitingKey> Add(WaitingAttempt attempt);

  /*! \brief Removes an attempt; does nothing if it is no longer in the set. */
  void Remove(const WaitingKey& key);

 private:
  std::size_t m_limit;
  std::uint64_t m_arrivals = 0;
  std::map<WaitingKey, WaitingAttempt> m_entries;
  //! Contains each key of m_entries under each of its replicas; no set is
  //! empty.
  std::map<TargetId, std::set<WaitingKey>> m_by_target;
  std::map<ServiceId, std::size_t> m_by_service;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_WAITING_ATTEMPTS_H_
