// Prefers the feeder as the writer in large fleets.
#include "jacinthdeck/discovery/record_writer.h"

#include <chrono>

#include "jacinthdeck/discovery/fleet.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Time in which most hosts become known when all of them start.
constexpr Duration kFleetStartTime = milliseconds(2500);
//! Time in which a lost feeder is usually replaced; shorter than its lease, so
//! that the host writes its record before the feeder's lease expires.
constexpr Duration kFeederLossTimeout = milliseconds(3000);

}  // namespace

RecordWriterChoice::RecordWriterChoice(bool fleet_starts, TimePoint now)
    : m_fleet_known_at(now +
                       (fleet_starts ? kFleetStartTime : Duration::zero())) {}

bool RecordWriterChoice::Update(const FleetRole& role, TimePoint now) {
  const RecordWriter before = m_writer;
  m_writer = Choose(role, now);
  return m_writer != before;
}

RecordWriter RecordWriterChoice::Choose(const FleetRole& role, TimePoint now) {
  if (role.has_feeder) {
    m_no_feeder_since.reset();
  } else if (!m_no_feeder_since) {
    m_no_feeder_since = now;
  }
  const bool knows_fleet = role.knows_hosts && now >= m_fleet_known_at;
  const bool small = role.hosts <= kSmallFleetSize;
  if (role.feeds_others || (knows_fleet && (small || role.is_front))) {
    return RecordWriter::kSelf;
  }
  if (role.has_feeder) {
    return RecordWriter::kFeeder;
  }
  return now - *m_no_feeder_since >= kFeederLossTimeout ? RecordWriter::kSelf
                                                        : m_writer;
}

}  // namespace jacinthdeck
