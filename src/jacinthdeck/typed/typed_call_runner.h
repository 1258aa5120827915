// Runs typed calls: connects the query engine, the router and the schema.
#ifndef JACINTHDECK_TYPED_TYPED_CALL_RUNNER_H_
#define JACINTHDECK_TYPED_TYPED_CALL_RUNNER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/routing/router.h"
#include "jacinthdeck/schema/schema.h"
#include "jacinthdeck/typed/typed_port.h"

namespace jacinthdeck {

/**
 * \brief Runs the typed calls of one host.
 *
 * It holds no socket, thread or clock: the caller passes in replies and the
 * time, and the port sends requests and delivers answers.
 */
class TypedCallRunner {
 public:
  /*! \brief Lowest attempt id of a typed call. Forwarded calls use lower ids,
   * so that one transport can carry the attempts of both. */
  static constexpr std::uint64_t kFirstAttemptId = std::uint64_t{1} << 48U;

  /*! \brief Creates a runner without schema or targets; the port must outlive
   * it. */
  TypedCallRunner(std::uint64_t seed, TypedPort& port);
  TypedCallRunner(const TypedCallRunner&) = delete;
  TypedCallRunner& operator=(const TypedCallRunner&) = delete;

  /*! \brief Returns the schema in force; null while none could be read. */
  [[nodiscard]] const std::shared_ptr<const Schema>& schema() const noexcept {
    return m_schema;
  }
  [[nodiscard]] const Engine& engine() const noexcept { return m_engine; }
  /*! \brief Returns the time at which OnTimer() is due; nothing if no timer is
   * set. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const {
    return m_engine.NextTimer();
  }

  /*! \brief Replaces the schema; on an error the former one stays in force. */
  [[nodiscard]] Result<void> SetSchema(const std::string& text);

  /*! \brief Replaces a service's partition maps; on an error the former ones
   * stay in force. */
  [[nodiscard]] Result<void> SetIndex(const ServiceId& service,
                                      const std::string& text);

  /*! \brief Replaces the known targets. */
  void SetTargets(const std::vector<TargetInfo>& targets, TimePoint now);

  /*! \brief Sets the number of hosts that share the limits of the targets. */
  void SetHostCount(std::uint32_t hosts, TimePoint now);

  /*! \brief Starts a call, or refuses it at once through the port. */
  void Submit(Call call, TimePoint now);

  /*! \brief Ends a call whose caller has disconnected; it gets no answer. */
  void Abandon(CallId call, TimePoint now);

  /*! \brief Processes the end of an attempt. */
  void OnReply(const AttemptReply& reply, TimePoint now);

  /*! \brief Applies the report of another host that a target crashed under a
   * request. */
  void AddPeerSuspect(Fingerprint fingerprint, TimePoint now);

  /*! \brief Applies the quarantine of a request by another host. */
  void AddPeerQuarantine(Fingerprint fingerprint, TimePoint now);

  /*! \brief Processes all timers that are due. */
  void OnTimer(TimePoint now);

  /*! \brief Prepares for the end of the host: each call gets its answer by a
   * given time. */
  void BeginStop(TimePoint answer_by, TimePoint now);

  /*! \brief Refuses new calls from now on; running ones go on. */
  void Drain() noexcept { m_engine.Drain(); }

 private:
  //! Passes what the engine decided to the port.
  void ApplyEffects(Effects& effects, TimePoint now);

  TypedPort& m_port;
  Router m_router;
  Engine m_engine;
  //! Schema in force; null while none could be read.
  std::shared_ptr<const Schema> m_schema;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TYPED_CALL_RUNNER_H_
