// Decides which host writes a host's record into the store.
#ifndef JACINTHDECK_DISCOVERY_RECORD_WRITER_H_
#define JACINTHDECK_DISCOVERY_RECORD_WRITER_H_

#include <cstddef>
#include <optional>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief The writer of a host's record. */
enum class RecordWriter {
  //! No host: too little is known yet.
  kNobody,
  //! The host itself, with a lease of its own.
  kSelf,
  //! The feeder that the host follows.
  kFeeder,
};

//! Names of the writers, for logs.
inline constexpr NameTable<RecordWriter, 3> kRecordWriterNames{
    {"nobody", "self", "feeder"}};

/*! \brief A host's role in the fleet, as far as it is known. */
struct FleetRole {
  //! Store content is known, from the store or from another host.
  bool knows_hosts = false;
  //! Number of known hosts.
  std::size_t hosts = 0;
  //! Callers are sent to this host.
  bool is_front = false;
  //! Other hosts follow this host, or it is chosen as a watcher.
  bool feeds_others = false;
  //! A connection to a feeder is established.
  bool has_feeder = false;
};

/**
 * \brief Chooses which host writes this host's record.
 *
 * Fronts and feeders have leases of their own: a front must not stay listed for
 * long after its loss, and feeders write the records of others with theirs. The
 * records of the other hosts are written by their feeders, so the number of
 * leases and of failed calls grows with the feeders and fronts, not with the
 * hundreds of hosts.
 */
class RecordWriterChoice {
 public:
  /*! \brief Begins with RecordWriter::kNobody.
   * \param fleet_starts All hosts start now, so only a part of the fleet is
   * known in the first seconds. */
  RecordWriterChoice(bool fleet_starts, TimePoint now);

  [[nodiscard]] RecordWriter writer() const noexcept { return m_writer; }

  /*! \brief Updates the choice; called several times a second.
   * \return True if the choice changed. */
  bool Update(const FleetRole& role, TimePoint now);

 private:
  [[nodiscard]] RecordWriter Choose(const FleetRole& role, TimePoint now);

  //! Moment from which the known hosts are assumed to be the whole fleet.
  const TimePoint m_fleet_known_at;
  RecordWriter m_writer = RecordWriter::kNobody;
  //! Since when there is no feeder; nothing while there is one.
  std::optional<TimePoint> m_no_feeder_since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_RECORD_WRITER_H_
