// Lets each suspect run on one target at a time, and no two suspects on one
// target.
#ifndef JACINTHDECK_QUERY_PROBE_GATE_H_
#define JACINTHDECK_QUERY_PROBE_GATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/routing/attempt.h"

namespace jacinthdeck {

/*! \brief A shard of a call that is held until a probe ends. */
struct HeldShard {
  CallId call;
  std::uint32_t epoch = 0;
  std::size_t shard = 0;
  AttemptKind kind = AttemptKind::kFirst;
};

/**
 * \brief Probes in flight and the shards that wait for their ends.
 *
 * Two suspects on one target would both be blamed for its death, and the
 * innocent one of them could be convicted with the other.
 */
class ProbeGate {
 public:
  /*! \brief Tells whether a probe of a fingerprint is in flight. */
  [[nodiscard]] bool IsProbing(Fingerprint fingerprint) const {
    return m_fingerprints.contains(fingerprint);
  }

  /*! \brief Gives the targets that a probe runs on. */
  [[nodiscard]] const std::set<TargetId>& targets() const noexcept {
    return m_targets;
  }

  /*! \brief Holds a shard until the probe of its fingerprint ends. */
  void Hold(Fingerprint fingerprint, const HeldShard& held) {
    m_held[fingerprint].push_back(held);
  }

  /*! \brief Holds a shard until any probe ends. */
  void HoldForTarget(const HeldShard& held) { m_for_target.push_back(held); }

  /*! \brief Counts a probe that was sent. */
  void Begin(Fingerprint fingerprint, const TargetId& target) {
    m_fingerprints.insert(fingerprint);
    m_targets.insert(target);
  }

  /*! \brief Counts the end of a probe and gives what was held for it. */
  [[nodiscard]] std::vector<HeldShard> End(Fingerprint fingerprint,
                                           const TargetId& target) {
    m_fingerprints.erase(fingerprint);
    m_targets.erase(target);
    std::vector<HeldShard> freed = Release(fingerprint);
    freed.insert(freed.end(), m_for_target.begin(), m_for_target.end());
    m_for_target.clear();
    return freed;
  }

  /*! \brief Gives what was held for a fingerprint that is free again. */
  [[nodiscard]] std::vector<HeldShard> Release(Fingerprint fingerprint) {
    const auto held = m_held.find(fingerprint);
    if (held == m_held.end()) {
      return {};
    }
    std::vector<HeldShard> freed = std::move(held->second);
    m_held.erase(held);
    return freed;
  }

 private:
  std::set<Fingerprint> m_fingerprints;
  std::set<TargetId> m_targets;
  std::map<Fingerprint, std::vector<HeldShard>> m_held;
  std::vector<HeldShard> m_for_target;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_PROBE_GATE_H_
