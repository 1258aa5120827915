// Tracks requests that crash the targets that run them: suspects run under
// restrictions, quarantined ones are refused.
#ifndef JACINTHDECK_QUERY_QUARANTINE_H_
#define JACINTHDECK_QUERY_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/key_range.h"

namespace jacinthdeck {

/*! \brief Quarantine state of a request, which its fingerprint identifies. */
enum class QuarantineState {
  kNone,
  //! A target crashed while running it. The request runs on one target at a
  //! time and is not hedged.
  kSuspect,
  //! It is refused without being sent; operators see this state as "convicted".
  kQuarantined,
};

//! Names of the quarantine states, for operators and metrics.
inline constexpr NameTable<QuarantineState, 3> kQuarantineStateNames{
    {"none", "suspect", "convicted"}};

/*! \brief Options of the quarantine. */
struct QuarantineOptions {
  //! Rounds of crashes after which a request is quarantined. All attempts in
  //! flight before the first crash is seen are one round, and each probe after
  //! it is another.
  std::uint32_t crash_rounds_to_quarantine = 2;
  //! How long a request stays a suspect without another crash.
  Duration suspect_ttl = std::chrono::minutes(1);
  //! How long a request stays quarantined the first time, when the target of
  //! its probe may have ended for another reason.
  Duration first_quarantine_ttl = std::chrono::minutes(10);
  //! How long a request stays quarantined from the second time on. It then
  //! becomes a suspect that one more round quarantines again.
  Duration quarantine_ttl = std::chrono::minutes(10);
  //! Maximum number of fingerprints tracked at once.
  std::size_t limit = 4096;
};

/*! \brief Quarantine state of one fingerprint, for operators. */
struct QuarantineEntry {
  Fingerprint fingerprint;
  QuarantineState state = QuarantineState::kNone;
  //! Rounds of crashes counted so far.
  std::uint32_t crash_rounds = 0;
  //! Time at which the state expires without operator action.
  TimePoint expires_at;
};

/*! \brief Table of suspect and quarantined requests, updated from the ends of
 * attempts and from reports of peers. */
class Quarantine {
 public:
  explicit Quarantine(const QuarantineOptions& options) noexcept
      : m_options(options) {}

  /*! \brief Returns the state of a fingerprint. */
  [[nodiscard]] QuarantineState StateOf(Fingerprint fingerprint,
                                        TimePoint now) const;

  /*! \brief Returns when a quarantine expires; empty if the fingerprint is not
   * quarantined. */
  [[nodiscard]] std::optional<TimePoint> QuarantinedUntil(
      Fingerprint fingerprint,
      TimePoint now) const;

  /*! \brief Returns whether a target crashed while running a request for a
   * range that overlaps the given one. */
  [[nodiscard]] bool CrashedInRange(Fingerprint fingerprint,
                                    const KeyRange& range) const;

  /*! \brief Returns all suspect and quarantined fingerprints, in order. */
  [[nodiscard]] std::vector<QuarantineEntry> Entries(TimePoint now) const;

  /**
   * \brief Records that a target crashed while it ran a request.
   * \param fingerprint Fingerprint of the request.
   * \param range Key range that the attempt asked for.
   * \param probe Whether the request was already a suspect when it was sent.
   * \param now Current time.
   * \return New state if the crash changed it, otherwise kNone.
   */
  [[nodiscard]] QuarantineState RecordCrash(Fingerprint fingerprint,
                                            const KeyRange& range,
                                            bool probe,
                                            TimePoint now);

  /**
   * \brief Records that a target ran a request to its end without a crash.
   *
   * Clears a suspect only if the range overlaps one that a target crashed on,
   * or if no such range is known: a request may crash on the data of one shard
   * only. A quarantined fingerprint is never cleared.
   * \return True if a suspect was cleared.
   */
  bool RecordCompletion(Fingerprint fingerprint,
                        const KeyRange& range,
                        TimePoint now);

  /*! \brief Makes a fingerprint a suspect on a peer's report, which may name
   * the range that the peer's attempt asked for. */
  void AddPeerSuspect(Fingerprint fingerprint,
                      TimePoint now,
                      std::optional<KeyRange> range = std::nullopt);

  /*! \brief Quarantines a fingerprint on a peer's report. */
  void AddPeerQuarantine(Fingerprint fingerprint, TimePoint now);

  /**
   * \brief Clears the state of a fingerprint, at an operator's request.
   * \return False if the fingerprint had no entry.
   */
  bool Release(Fingerprint fingerprint);

 private:
  struct Entry {
    QuarantineState state = QuarantineState::kSuspect;
    //! At least 1.
    std::uint32_t crash_rounds = 1;
    TimePoint expires_at;
    //! Whether the fingerprint was quarantined and its quarantine expired.
    bool was_quarantined = false;
    //! Key ranges whose attempts crashed a target, at most kMaxCrashRanges;
    //! empty if the crashes are known from peers only.
    std::vector<KeyRange> ranges;
  };

  static constexpr std::size_t kMaxCrashRanges = 32;

  [[nodiscard]] QuarantineState StateAt(const Entry& entry,
                                        TimePoint now) const;
  //! Returns the entry, added if absent; null if the table is full of
  //! quarantined entries.
  [[nodiscard]] Entry* FindOrAdd(Fingerprint fingerprint, TimePoint now);
  //! Quarantines an entry; longer than before if it was quarantined already.
  void SetQuarantined(Entry& entry, TimePoint now) const;
  void MakeRoom(TimePoint now);

  QuarantineOptions m_options;
  //! At most m_options.limit entries.
  std::unordered_map<Fingerprint, Entry> m_entries;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_QUARANTINE_H_
