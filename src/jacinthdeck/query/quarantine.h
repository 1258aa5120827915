// Which requests are suspected or convicted of crashing the targets that run
// them.
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

/*! \brief What is held against a fingerprint. */
enum class QuarantineState {
  kNone,
  //! A target died under it: it runs on one target at a time and is not hedged.
  kSuspect,
  //! It is refused.
  kQuarantined,
};

//! Names of the suspicions, for operators and metrics.
inline constexpr NameTable<QuarantineState, 3> kQuarantineStateNames{
    {"none", "suspect", "convicted"}};

/*! \brief Bounds of the quarantine. */
struct QuarantineOptions {
  //! Rounds of kills that convict. The attempts that were in flight before the
  //! first death is seen are one round, each probe after it is another.
  std::uint32_t crash_rounds_to_quarantine = 2;
  //! How long a suspicion lasts without new evidence.
  Duration suspect_ttl = std::chrono::minutes(1);
  //! How long a conviction lasts; a suspicion of one round follows it.
  Duration quarantine_ttl = std::chrono::minutes(10);
  //! Fingerprints held at once.
  std::size_t limit = 4096;
};

/*! \brief One fingerprint as operators see it. */
struct QuarantineEntry {
  Fingerprint fingerprint;
  QuarantineState state = QuarantineState::kNone;
  //! Rounds of kills counted so far.
  std::uint32_t crash_rounds = 0;
  //! When the suspicion or conviction ends by itself.
  TimePoint expires_at;
};

/*! \brief Evidence for and against fingerprints, from attempts and peers. */
class Quarantine {
 public:
  explicit Quarantine(const QuarantineOptions& options) noexcept
      : m_options(options) {}

  /*! \brief Tells what is held against a fingerprint. */
  [[nodiscard]] QuarantineState StateOf(Fingerprint fingerprint,
                                        TimePoint now) const;

  /*! \brief Tells when a conviction ends; nothing while there is none. */
  [[nodiscard]] std::optional<TimePoint> QuarantinedUntil(
      Fingerprint fingerprint,
      TimePoint now) const;

  /*! \brief Tells whether a target died under a request for keys of a range. */
  [[nodiscard]] bool CrashedInRange(Fingerprint fingerprint,
                                    const KeyRange& range) const;

  /*! \brief IsListed what is held, ordered by fingerprint. */
  [[nodiscard]] std::vector<QuarantineEntry> Entries(TimePoint now) const;

  /**
   * \brief Takes a target's death under a request.
   * \param fingerprint Request.
   * \param range Keys that it was asked for.
   * \param probe The request was a suspect already when it was sent.
   * \return What the death newly led to; kNone if nothing changed.
   */
  [[nodiscard]] QuarantineState RecordCrash(Fingerprint fingerprint,
                                            const KeyRange& range,
                                            bool probe,
                                            TimePoint now);

  /**
   * \brief Takes the survival of a target that ran a request to its end.
   *
   * Clears a suspect where the keys are those that a target died on: a request
   * may crash on the data of one shard only. Never clears a conviction.
   * \return True if a suspect was cleared.
   */
  bool RecordCompletion(Fingerprint fingerprint,
                        const KeyRange& range,
                        TimePoint now);

  /*! \brief Takes a peer's word that a fingerprint is a suspect. */
  void AddPeerSuspect(Fingerprint fingerprint, TimePoint now);

  /*! \brief Takes a peer's word that a fingerprint is convicted. */
  void AddPeerQuarantine(Fingerprint fingerprint, TimePoint now);

  /**
   * \brief Ends a suspicion or conviction, on an operator's word.
   * \return False if nothing was held against the fingerprint.
   */
  bool Release(Fingerprint fingerprint);

 private:
  struct Entry {
    QuarantineState state = QuarantineState::kSuspect;
    //! At least 1.
    std::uint32_t crash_rounds = 1;
    TimePoint expires_at;
    //! Keys that targets died on; empty where only a peer knows. At most
    //! kMaxCrashRanges.
    std::vector<KeyRange> ranges;
  };

  static constexpr std::size_t kMaxCrashRanges = 32;

  [[nodiscard]] QuarantineState StateAt(const Entry& entry,
                                        TimePoint now) const;
  //! Finds or makes the entry; null if the table is full of convictions.
  [[nodiscard]] Entry* FindOrAdd(Fingerprint fingerprint, TimePoint now);
  void MakeRoom(TimePoint now);

  QuarantineOptions m_options;
  //! At most m_options.limit entries.
  std::unordered_map<Fingerprint, Entry> m_entries;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_QUARANTINE_H_
