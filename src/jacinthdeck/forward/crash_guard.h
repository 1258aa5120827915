// Detects requests that crash the targets that execute them.
#ifndef JACINTHDECK_FORWARD_CRASH_GUARD_H_
#define JACINTHDECK_FORWARD_CRASH_GUARD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief Hashes method, host, path with query, and body; equal requests have
 * equal fingerprints. */
[[nodiscard]] Fingerprint FingerprintOf(const OpaqueRequest& request);

/**
 * \brief Quarantines requests that crash their targets.
 *
 * Counts by request fingerprint the calls in which connections to targets were
 * lost and no target answered. A caller repeats a request that got no answer.
 * If the request itself crashes its targets, the repeats crash one target after
 * another until none is left. A request with one such call is suspect: its next
 * call is not sent to a second target before one has answered. If that call
 * fails too, the request is quarantined, which means refused for kRetention.
 * Connections that are lost for other reasons rarely affect all targets of two
 * calls with the same request; an answer clears the request.
 *
 * A request that crashes its targets gets no answers. One that was answered
 * within kRetention is therefore never quarantined: without this rule, all
 * hosts refused a popular request for a minute after targets had lost two
 * answers in a row.
 */
class CrashGuard {
 public:
  //! Number of failed calls after which a request is quarantined.
  static constexpr std::uint32_t kQuarantineThreshold = 2;
  //! How long failed calls, quarantines and answers are remembered.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  //! Maximum number of fingerprints of failed requests held at once.
  static constexpr std::size_t kMaxRecords = 4096;
  //! Number of slots for answered requests. A popular request whose slot
  //! another one took gets it back with its next answer.
  static constexpr std::size_t kAnsweredSlots = 1024;

  /*! \brief Returns whether a request is refused. */
  [[nodiscard]] bool IsQuarantined(Fingerprint fingerprint,
                                   TimePoint now) const;

  /*! \brief Returns whether a call with this request failed by lost
   * connections. */
  [[nodiscard]] bool IsSuspect(Fingerprint fingerprint, TimePoint now) const;

  /**
   * \brief Records a call that failed by lost connections, without an answer.
   * \return True if this call newly quarantines its request.
   */
  [[nodiscard]] bool OnCallLost(Fingerprint fingerprint, TimePoint now);

  /*! \brief Records an answer to a request, which clears its failed calls. */
  void OnAnswered(Fingerprint fingerprint, TimePoint now);

  /*! \brief Applies the quarantine of a request by another host, unless this
   * host got an answer to the request within kRetention. */
  void QuarantineRequest(Fingerprint fingerprint, TimePoint now);

 private:
  struct Record {
    std::uint32_t calls = 0;
    TimePoint last;
  };

  struct Answer {
    Fingerprint request;
    std::optional<TimePoint> at;
  };

  [[nodiscard]] Answer& SlotOf(Fingerprint fingerprint);
  [[nodiscard]] bool WasAnswered(Fingerprint fingerprint, TimePoint now);
  void EvictIfFull(TimePoint now);

  std::unordered_map<Fingerprint, Record> m_records;
  //! Last answered request of each slot.
  std::array<Answer, kAnsweredSlots> m_answers{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_CRASH_GUARD_H_
