// Who keeps a host's record in the store.
#ifndef JACINTHDECK_DISCOVERY_RECORD_WRITER_H_
#define JACINTHDECK_DISCOVERY_RECORD_WRITER_H_

#include <cstddef>
#include <optional>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Who keeps it. */
enum class RecordWriter {
  //! Nobody: too little is known yet.
  kNobody,
  //! The host itself, with a lease of its own.
  kSelf,
  //! The host that it learns from.
  kFeeder,
};

//! Names of the writers, for logs.
inline constexpr NameTable<RecordWriter, 3> kRecordWriterNames{
    {"nobody", "self", "feeder"}};

/*! \brief What a host knows of its part in the fleet. */
struct FleetRole {
  //! Something was read of the store, here or by another host.
  bool knows_hosts = false;
  //! Hosts that are known.
  std::size_t hosts = 0;
  //! Callers are sent to it.
  bool is_front = false;
  //! Others learn from it, or will.
  bool feeds_others = false;
  //! A feeder is heard.
  bool has_feeder = false;
};

/**
 * \brief Chooses who keeps this host's record.
 *
 * Hosts that others rely on have leases of their own: fronts, which must not be
 * named for long after their loss, and feeders. The others are written by
 * whom they learn from; the store then counts leases and failed calls by the
 * feeders and fronts, not by the hundreds of hosts.
 */
class RecordWriterChoice {
 public:
  /*! \brief Begins with nobody.
   * \param fleet_starts All hosts start now: what is known of the fleet in the
   * first seconds is a part of it. */
  RecordWriterChoice(bool fleet_starts, TimePoint now);

  [[nodiscard]] RecordWriter writer() const noexcept { return m_writer; }

  /*! \brief Chooses anew; called some times a second.
   * \return True if the choice is another one than before. */
  bool Update(const FleetRole& role, TimePoint now);

 private:
  [[nodiscard]] RecordWriter Choose(const FleetRole& role, TimePoint now);

  //! From when on the known hosts are the fleet.
  const TimePoint m_fleet_known_at;
  RecordWriter m_writer = RecordWriter::kNobody;
  //! Since when no feeder is heard; nothing while one is.
  std::optional<TimePoint> m_no_feeder_since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_RECORD_WRITER_H_
