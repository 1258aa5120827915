// Serves the typed calls of the product itself over HTTP.
#ifndef JACINTHDECK_ENTRY_TYPED_SERVICE_H_
#define JACINTHDECK_ENTRY_TYPED_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/entry/call_metrics.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/http/edge_connection.h"
#include "jacinthdeck/http/edge_handler.h"
#include "jacinthdeck/http/target_pool.h"
#include "jacinthdeck/typed/typed_call_runner.h"

namespace jacinthdeck {

/**
 * \brief Reads typed calls from HTTP, runs them, and writes their answers.
 *
 * Calls are `POST /v1/SERVICE/METHOD`; `GET /v1/entries` lists the hosts that
 * accept them (docs/design/protocols.md).
 */
class TypedService final : public EdgeHandler, private TypedPort {
 public:
  //! Returns the hosts that are known now.
  using HostsFunction = std::function<std::vector<HostRecord>()>;
  //! Returns the client account whose key a request has; empty if keys are not
  //! checked, kUnauthorized without a valid key.
  using AccountFunction =
      std::function<Result<std::optional<TenantId>>(const EdgeRequest&)>;
  //! Tells the other hosts that a request is suspect or quarantined.
  using ShareFunction = std::function<void(Fingerprint, QuarantineState)>;

  /*! \brief Makes the service; all referenced objects must outlive it. */
  TypedService(const Clock& clock,
               TargetPool& pool,
               CallMetrics& metrics,
               HostsFunction hosts,
               AccountFunction account,
               ShareFunction share,
               std::uint64_t seed);

  /*! \brief Returns the number of calls whose caller waits for an answer. */
  [[nodiscard]] std::size_t waiting() const noexcept {
    return m_waiting.size();
  }
  [[nodiscard]] TypedCallRunner& calls() noexcept { return m_calls; }

  void OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                 EdgeRequest request,
                 TimePoint arrived) override;
  void OnDisconnect(EdgeConnection& connection) override;

  /*! \brief Returns whether an attempt belongs to a typed call. */
  [[nodiscard]] static bool Owns(AttemptId attempt) noexcept {
    return attempt.raw() >= TypedCallRunner::kFirstAttemptId;
  }

  /*! \brief Passes the end of an attempt of a typed call to the call. */
  void OnAttemptEnd(const AttemptEnd& end);

 private:
  //! An open call: the caller's connection, and what its answer and metrics
  //! need.
  struct WaitingCaller {
    std::shared_ptr<EdgeConnection> connection;
    std::string request_id;
    TimePoint arrived;
    CallLabels labels;
    //! Memory of the request, which the call holds.
    std::shared_ptr<const HeldBytes> held;
  };

  void SendTyped(const SendAttempt& attempt,
                 const TargetInfo& target,
                 std::uint32_t connection_limit) override;
  void CancelTyped(AttemptId attempt) override;
  void DeliverTyped(CallId call, Answer answer) override;
  void ShareTypedSuspect(Fingerprint fingerprint) override;
  void ShareTypedQuarantine(Fingerprint fingerprint) override;
  [[nodiscard]] EdgeResponse EntriesResponse() const;
  void Begin(const std::shared_ptr<EdgeConnection>& connection,
             const EdgeRequest& request,
             TimePoint arrived);

  const Clock& m_clock;
  TargetPool& m_pool;
  CallMetrics& m_metrics;
  HostsFunction m_hosts;
  AccountFunction m_account;
  ShareFunction m_share;
  TypedCallRunner m_calls;
  std::uint64_t m_next_call = 1;
  std::unordered_map<CallId, WaitingCaller> m_waiting;
  std::unordered_map<const EdgeConnection*, CallId> m_call_by_connection;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_TYPED_SERVICE_H_
