// Queue of the calls of a service that wait to run: weighted fair between
// tenants, by deadline within a tenant.
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
 * \brief Bounded queue with weighted fair shares for tenants.
 *
 * Uses start-time fair queueing: each start advances the tenant's virtual time
 * by the call's cost divided by the tenant's weight, and the tenant with the
 * lowest virtual time goes next. A tenant that sends too many calls therefore
 * only delays its own.
 */
class AdmissionQueue {
 public:
  /*! \brief Identifies a waiting call; ordered by deadline, then arrival. */
  struct Key {
    TimePoint deadline;
    std::uint64_t arrival = 0;

    [[nodiscard]] auto operator<=>(const Key&) const = default;
  };

  /*! \brief Constructs an empty queue; the options must outlive it. */
  explicit AdmissionQueue(const AdmissionOptions& options) noexcept
      : m_options(&options) {}

  [[nodiscard]] bool empty() const noexcept { return m_calls.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }
  [[nodiscard]] bool full() const noexcept {
    return m_calls.size() >= m_options->max_waiting_calls;
  }

  /*! \brief Returns the number of waiting calls of a tenant. */
  [[nodiscard]] std::size_t CountOf(const TenantId& tenant) const;

  /*! \brief Returns the earliest deadline; the queue must not be empty. */
  [[nodiscard]] TimePoint EarliestDeadline() const {
    return m_calls.begin()->first.deadline;
  }

  /**
   * \brief Estimates how many starts precede that of a new call of a tenant.
   * \return Number of the tenant's waiting calls divided by its share of the
   * starts, at most the size of the queue.
   */
  [[nodiscard]] double StartsAhead(const TenantId& tenant) const;

  /*! \brief Returns whether a tenant with one more call would exceed its share
   * of the queue. */
  [[nodiscard]] bool ExceedsShare(const TenantId& tenant) const;

  /**
   * \brief Adds a call; the queue must not be full.
   * \param call Call to add.
   * \param cost Number of requests to targets that the call needs; above zero.
   * \return Key that identifies the call in Take().
   */
  Key Add(Call call, double cost);

  /*! \brief Removes and returns the call that runs next; the queue must not be
   * empty. */
  [[nodiscard]] Call TakeNext();

  /*! \brief Removes and returns the call with the earliest deadline if that is
   * at or before a given time. */
  [[nodiscard]] std::optional<Call> TakeDueBy(TimePoint time);

  /*! \brief Removes and returns the call with the latest deadline of the tenant
   * with the most calls for its weight; the queue must not be empty. */
  [[nodiscard]] Call TakeExcess();

  /*! \brief Removes and returns a call if it is still in the queue. */
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
  //! Virtual time of the last start. A tenant without waiting calls resumes at
  //! least there, so that it gains no priority by being idle.
  double m_virtual_time = 0;
  std::map<Key, Waiting> m_calls;
  //! The tenants that have waiting calls, and no others.
  std::map<TenantId, Tenant> m_tenants;
  //! Virtual times of the tenants without waiting calls that are ahead of
  //! m_virtual_time. Without them, a tenant that adds one call whenever its
  //! last one started would always go first and starve tenants with a backlog.
  std::map<TenantId, double> m_idle_virtual_times;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ADMISSION_QUEUE_H_
