// The product's own calls: engine, router and schema joined.
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
 * \brief Runs typed calls on one host; holds no socket, thread or clock.
 */
class TypedCallRunner {
 public:
  /*! \brief Attempts of typed calls have ids from here on, so that one
   * transport can carry these and opaque ones. */
  static constexpr std::uint64_t kFirstAttemptId = std::uint64_t{1} << 48U;

  /*! \brief Makes it without schema or targets; the port outlives it. */
  TypedCallRunner(std::uint64_t seed, TypedPort& port);
  TypedCallRunner(const TypedCallRunner&) = delete;
  TypedCallRunner& operator=(const TypedCallRunner&) = delete;

  [[nodiscard]] const std::shared_ptr<const Schema>& schema() const noexcept {
    return m_schema;
  }
  [[nodiscard]] const Engine& engine() const noexcept { return m_engine; }
  /*! \brief Moment at which OnTimer() is due; nothing while nothing is. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const {
    return m_engine.NextTimer();
  }

  /*! \brief Takes a schema text; the former one stays where it is refused. */
  [[nodiscard]] Result<void> SetSchema(const std::string& text);

  /*! \brief Takes a service's partition maps; the former ones stay where the
   * text is refused. */
  [[nodiscard]] Result<void> SetIndex(const ServiceId& service,
                                      const std::string& text);

  /*! \brief Replaces the known targets. */
  void SetTargets(const std::vector<TargetInfo>& targets, TimePoint now);

  /*! \brief Says among how many hosts the targets' limits are shared. */
  void SetHosts(std::uint32_t hosts, TimePoint now);

  /*! \brief Starts a call, or refuses it at once. */
  void Submit(Call call, TimePoint now);

  /*! \brief Drops a call whose caller left. */
  void Abandon(CallId call, TimePoint now);

  /*! \brief Takes the end of an attempt. */
  void OnReply(const AttemptReply& reply, TimePoint now);

  /*! \brief Acts on whatever is due. */
  void OnTimer(TimePoint now);

  /*! \brief Refuses calls from now on. */
  void Drain() noexcept { m_engine.Drain(); }

 private:
  void ApplyEffects(Effects& effects, TimePoint now);

  TypedPort& m_port;
  Router m_router;
  Engine m_engine;
  //! Null while no schema could be read.
  std::shared_ptr<const Schema> m_schema;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TYPED_CALL_RUNNER_H_
