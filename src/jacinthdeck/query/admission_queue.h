// Calls of one service that wait to run: fair between tenants, by deadline
// within one.
#ifndef JACINTHDECK_QUERY_ADMISSION_QUEUE_H_
#define JACINTHDECK_QUERY_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/admission_options.h"
#include "jacinthdeck/query/call.h"

namespace jacinthdeck {

/**
 * \brief Bounded queue with weighted fair shares.
 *
 * Start-time fair queueing between tenants: each start moves the tenant's
 * virtual time on by its cost over its weight, and the tenant that is furthest
 * behind goes next. A tenant that floods lengthens its own wait only.
 */
class AdmissionQueue {
 public:
  /*! \brief Names a waiting call; the earlier deadline comes first. */
  struct Key {
    TimePoint deadline;
    std::uint64_t arrival = 0;

    [[nodiscard]] auto operator<=>(const Key&) const = default;
  };

  /*! \brief Makes a queue; the options outlive it. */
  explicit AdmissionQueue(const AdmissionOptions& options) noexcept
      : m_options(&options) {}

  [[nodiscard]] bool empty() const noexcept { return m_calls.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }
  [[nodiscard]] bool full() const noexcept {
    return m_calls.size() >= m_options->max_waiting_calls;
  }

  /*! \brief Counts the waiting calls of a tenant. */
  [[nodiscard]] std::size_t CountOf(const TenantId& tenant) const;

  /*! \brief Gives the earliest deadline; the queue is not empty. */
  [[nodiscard]] TimePoint EarliestDeadline() const {
    return m_calls.begin()->first.deadline;
  }

  /**
   * \brief Tells how many starts a new call of a tenant would wait for.
   * \return Its own calls ahead of it, scaled by its share of the starts.
   */
  [[nodiscard]] double StartsAhead(const TenantId& tenant) const;

  /*! \brief Tells whether a tenant holds more than its share of the queue, or
   * would with one more call. */
  [[nodiscard]] bool ExceedsShare(const TenantId& tenant) const;

  /**
   * \brief Adds a call; the queue is not full.
   * \param call Call.
   * \param cost Requests to targets that it will take; above zero.
   */
  Key Add(Call call, double cost);

  /*! \brief Takes the call that is to run next; the queue is not empty. */
  [[nodiscard]] Call TakeNext();

  /*! \brief Takes a call whose deadline is at or before a moment. */
  [[nodiscard]] std::optional<Call> TakeDueBy(TimePoint moment);

  /*! \brief Takes the last call of the tenant that is furthest over its share;
   * the queue is not empty. */
  [[nodiscard]] Call TakeExcess();

  /*! \brief Takes a call out, if it still waits. */
  [[nodiscard]] std::optional<Call> Take(const Key& key);

 private:
  struct Waiting {
    Call call;
    double cost = 1;
  };
  struct Tenant {
    double weight = 1;
    double virtual_time = 0;
    std::set<Key> calls;
  };

  [[nodiscard]] double WeightOf(const TenantId& tenant) const;
  [[nodiscard]] double ActiveWeight() const;
  [[nodiscard]] Call TakeExisting(const Key& key);

  const AdmissionOptions* m_options;
  std::uint64_t m_arrivals = 0;
  //! Virtual time of the last start; newcomers begin there, so that a tenant
  //! gathers no credit while it is away.
  double m_virtual_time = 0;
  std::map<Key, Waiting> m_calls;
  //! Exactly the tenants with waiting calls.
  std::map<TenantId, Tenant> m_tenants;
  //! Virtual times of tenants without waiting calls that are ahead of
  //! m_virtual_time. Forgotten, a tenant that always has one call waiting would
  //! go first each time and starve those that queue.
  std::map<TenantId, double> m_idle_virtual_times;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ADMISSION_QUEUE_H_
