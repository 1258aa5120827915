// Memory that the callers of a host may take together.
#ifndef JACINTHDECK_HTTP_CALLER_MEMORY_H_
#define JACINTHDECK_HTTP_CALLER_MEMORY_H_

#include <algorithm>
#include <cstdint>
#include <memory>

#include "jacinthdeck/core/byte_budget.h"
#include "jacinthdeck/http/edge_message.h"
#include "jacinthdeck/http/response_limits.h"

namespace jacinthdeck {

/*! \brief Budgets that the servers of a host share. */
class CallerMemory {
 public:
  //! Memory of a host whose settings do not state it.
  static constexpr std::uint64_t kDefaultHostBytes = std::uint64_t{160} << 20U;
  //! Each budget is this part of the host's memory, so that all of them, what
  //! arrives from targets and the process itself fit together.
  static constexpr std::uint64_t kDivisor = 8;

  /*! \brief Gives callers their parts of the memory of a host.
   * \param host_bytes Memory of the host. */
  explicit CallerMemory(std::uint64_t host_bytes = kDefaultHostBytes)
      : m_request_bytes(host_bytes / kDivisor),
        m_requests(std::make_shared<ByteBudget>(m_request_bytes)),
        m_responses(std::make_shared<ByteBudget>(
            std::max(m_request_bytes, kLargestResponseBytes))) {}

  /*! \brief Memory for requests, from their first byte until nothing holds them
   * any more. Requests of up to EdgeConnection::kFreeBytes are not counted. */
  [[nodiscard]] const std::shared_ptr<ByteBudget>& requests() const noexcept {
    return m_requests;
  }
  /*! \brief Memory for responses that their callers have not taken yet. Those
   * of up to EdgeConnection::kFreeBytes are not counted. */
  [[nodiscard]] const std::shared_ptr<ByteBudget>& responses() const noexcept {
    return m_responses;
  }

  /*! \brief Makes room for at least one request within the limits. */
  void Fit(const EdgeLimits& limits) const {
    m_requests->SetLimit(
        std::max(m_request_bytes, LargestRequestBytes(limits)));
  }

 private:
  static constexpr std::uint64_t kLargestResponseBytes =
      internal::kMaxResponseBodyBytes + internal::kMaxResponseHeaderBytes;

  std::uint64_t m_request_bytes;
  // Never null.
  std::shared_ptr<ByteBudget> m_requests;
  std::shared_ptr<ByteBudget> m_responses;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_CALLER_MEMORY_H_
