// Limits each suspect request to one target at a time, and each target to one
// suspect.
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

/*! \brief Shard of a call whose attempt is held until a probe ends. */
struct HeldShard {
  CallId call;
  std::uint32_t epoch = 0;
  std::size_t shard = 0;
  AttemptKind kind = AttemptKind::kFirst;
};

/**
 * \brief Tracks the probes in flight and the shards that wait for them.
 *
 * A probe is an attempt of a suspect, which may crash its target. If two
 * suspects ran on one target, its crash would count against both, and a
 * harmless one could be quarantined with the other.
 */
class ProbeGate {
 public:
  /*! \brief Returns whether a probe of a fingerprint is in flight. */
  [[nodiscard]] bool IsProbing(Fingerprint fingerprint) const {
    return m_fingerprints.contains(fingerprint);
  }

  /*! \brief Returns the targets that run a probe. */
  [[nodiscard]] const std::set<TargetId>& targets() const noexcept {
    return m_targets;
  }

  /*! \brief Holds a shard until the probe of its fingerprint ends. The shard is
   * returned by End() or Release(). */
  void Hold(Fingerprint fingerprint, const HeldShard& held) {
    m_held[fingerprint].push_back(held);
  }

  /*! \brief Holds a shard until any probe ends: some of its replicas run probes
   * and no other may get work. */
  void HoldForAnyProbe(const HeldShard& held) {
    m_held_for_any_probe.push_back(held);
  }

  /*! \brief Records that a probe was sent. */
  void Begin(Fingerprint fingerprint, const TargetId& target) {
    m_fingerprints.insert(fingerprint);
    m_targets.insert(target);
  }

  /*! \brief Records the end of a probe and returns the shards held for it, and
   * those held for any probe. */
  [[nodiscard]] std::vector<HeldShard> End(Fingerprint fingerprint,
                                           const TargetId& target) {
    m_fingerprints.erase(fingerprint);
    m_targets.erase(target);
    std::vector<HeldShard> freed = Release(fingerprint);
    freed.insert(freed.end(), m_held_for_any_probe.begin(),
                 m_held_for_any_probe.end());
    m_held_for_any_probe.clear();
    return freed;
  }

  /*! \brief Returns the shards held for a fingerprint, which are then no longer
   * held. */
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
  //! Fingerprints with a probe in flight.
  std::set<Fingerprint> m_fingerprints;
  //! Targets that run a probe.
  std::set<TargetId> m_targets;
  std::map<Fingerprint, std::vector<HeldShard>> m_held;
  std::vector<HeldShard> m_held_for_any_probe;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_PROBE_GATE_H_
