// Memory that the callers of a host may take together.
#ifndef JACINTHDECK_HTTP_CALLER_MEMORY_H_
#define JACINTHDECK_HTTP_CALLER_MEMORY_H_

#include <algorithm>
#include <cstdint>
#include <memory>

#include "jacinthdeck/core/byte_budget.h"
#include "jacinthdeck/http/edge_message.h"

namespace jacinthdeck {

/*! \brief Budgets that the servers of a host share. */
class CallerMemory {
 public:
  //! Memory of a host whose settings do not state it.
  static constexpr std::uint64_t kDefaultHostBytes = std::uint64_t{160} << 20U;

  /*! \brief Gives callers their parts of the memory of a host.
   * \param host_bytes Memory of the host. */
  explicit CallerMemory(std::uint64_t host_bytes = kDefaultHostBytes)
      : m_request_bytes(host_bytes / kRequestDivisor),
        m_requests(std::make_shared<ByteBudget>(m_request_bytes)) {}

  /*! \brief Memory for requests, from their first byte until nothing holds them
   * any more. Requests of up to EdgeConnection::kFreeBytes are not counted. */
  [[nodiscard]] const std::shared_ptr<ByteBudget>& requests() const noexcept {
    return m_requests;
  }

  /*! \brief Makes room for at least one request within the limits. */
  void Fit(const EdgeLimits& limits) const {
    m_requests->SetLimit(
        std::max(m_request_bytes, LargestRequestBytes(limits)));
  }

 private:
  static constexpr std::uint64_t kRequestDivisor = 4;

  std::uint64_t m_request_bytes;
  //! Never null.
  std::shared_ptr<ByteBudget> m_requests;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_CALLER_MEMORY_H_
