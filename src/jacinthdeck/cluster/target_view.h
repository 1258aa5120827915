// Merges the host list, health and own experience into one state of each
// target.
#ifndef JACINTHDECK_CLUSTER_TARGET_VIEW_H_
#define JACINTHDECK_CLUSTER_TARGET_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief What this node met when it used a target itself. */
enum class TargetEvent {
  //! The target answered a request.
  kAnswered,
  //! The target refused and said that it is draining.
  kDraining,
  //! The target's host refused the connection.
  kRefused,
};

//! Names of the target events, for logs and metrics.
inline constexpr NameTable<TargetEvent, 3> kTargetEventNames{
    {"answered", "draining", "refused"}};

/*! \brief Timing of the view. */
struct TargetViewOptions {
  //! Refused connections in a row that count as a departure.
  std::uint32_t refusals = 3;
  //! Evidence of life counts again this long after the last evidence of
  //! departure; above the lag of the host list and of health.
  Duration quarantine = std::chrono::seconds(30);
};

/*!
 * \brief States of the targets.
 *
 * Leaving beats live: one source that says leaving is enough, whatever the
 * others say. A source that lags goes on saying "live" about a target that
 * left; so a return needs evidence newer than the departure: a source that says
 * live after the quarantine, while no other says leaving.
 */
class TargetView {
 public:
  explicit TargetView(TargetViewOptions options = {}) noexcept
      : m_options(options) {}

  /**
   * \brief Weighs the evidence about a target.
   * \param target Target; an unknown one is gone.
   */
  [[nodiscard]] TargetState StateOf(const TargetId& target) const;

  /*! \brief Every target of the last host list, or ever named, with its merged
   * state. */
  [[nodiscard]] std::vector<TargetInfo> Targets() const;

  /**
   * \brief Takes a whole host list.
   *
   * A target that is no longer listed is gone. An empty list is taken as a
   * fault of the host list and ignored: it would stop every service.
   */
  void OnHostList(const std::vector<TargetInfo>& targets, TimePoint now);

  /*! \brief Takes the answer of a target's health endpoint. */
  void OnHealth(const TargetId& target, TargetState state, TimePoint now);

  /*! \brief Takes what a request met. */
  void OnEvent(const TargetId& target, TargetEvent event, TimePoint now);

 private:
  struct Record {
    TargetInfo info;
    TargetState by_host_list = TargetState::kLive;
    TargetState by_health = TargetState::kLive;
    //! Last evidence of departure from any source; gone once a source said live
    //! after the quarantine.
    std::optional<TimePoint> departed;
    //! Refused connections since the last answer.
    std::uint32_t refusals = 0;
  };

  void Note(Record& record, TargetState said, TimePoint now) const;
  [[nodiscard]] bool Quarantined(const Record& record, TimePoint now) const;

  TargetViewOptions m_options;
  std::map<TargetId, Record> m_records;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_TARGET_VIEW_H_
