// Finds requests that crash the targets that run them.
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

/*! \brief Hashes what makes a request the same request when it comes again. */
[[nodiscard]] Fingerprint FingerprintOf(const OpaqueRequest& request);

/**
 * \brief Counts the calls under which connections to targets were lost and no
 * target answered, by the fingerprint of their request.
 *
 * A caller repeats a request that got no answer. If the request itself crashes
 * its targets, the repeats take down one target after the other until none is
 * left. A request whose call failed that way is a suspect: its next call risks
 * no second target before one has answered. If that one fails too, it is
 * refused for a while. Losses by other causes seldom take all targets of two
 * calls of one request; an answer clears it.
 *
 * A request that crashes its targets has no answers. One that was answered
 * lately is therefore never refused: without this, a popular request was
 * refused by all hosts for a minute after targets had lost two answers in a
 * row.
 */
class CrashGuard {
 public:
  //! Calls that convict a request.
  static constexpr std::uint32_t kQuarantineThreshold = 2;
  //! How long losses and convictions are remembered.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  //! Fingerprints held at once; each is one failed request.
  static constexpr std::size_t kMaxRecords = 4096;
  //! Answered requests that are remembered; popular ones come back to their
  //! slot at once when another took it.
  static constexpr std::size_t kAnsweredSlots = 1024;

  /*! \brief Tells whether a request is refused. */
  [[nodiscard]] bool IsQuarantined(Fingerprint fingerprint,
                                   TimePoint now) const;

  /*! \brief Tells whether a call of it failed by lost connections before. */
  [[nodiscard]] bool IsSuspect(Fingerprint fingerprint, TimePoint now) const;

  /**
   * \brief Takes a call that failed by lost connections, without an answer.
   * \return True if that newly convicts its request.
   */
  [[nodiscard]] bool OnCallLost(Fingerprint fingerprint, TimePoint now);

  /*! \brief Takes an answer to a request. */
  void OnAnswered(Fingerprint fingerprint, TimePoint now);

  /*! \brief Takes another host's conviction, unless an answer disproves it. */
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
  //! The last answer of each slot.
  std::array<Answer, kAnsweredSlots> m_answers{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_CRASH_GUARD_H_
