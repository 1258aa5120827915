// Prefers the feeder where the fleet is large.
#include "jacinthdeck/discovery/record_writer.h"

#include <chrono>

#include "jacinthdeck/discovery/fleet.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! When all hosts start: time in which most of them are heard of.
constexpr Duration kFleetStart = milliseconds(2500);
//! Time in which a lost feeder is mostly replaced, below the life of its lease.
constexpr Duration kLinkPatience = milliseconds(3000);

}  // namespace

RecordWriterChoice::RecordWriterChoice(bool fleet_starts, TimePoint now)
    : m_settled_at(now + (fleet_starts ? kFleetStart : Duration::zero())) {}

bool RecordWriterChoice::Update(const FleetRole& part, TimePoint now) {
  const RecordWriter before = m_writer;
  m_writer = Choose(part, now);
  return m_writer != before;
}

RecordWriter RecordWriterChoice::Choose(const FleetRole& part, TimePoint now) {
  if (part.has_feeder) {
    m_unlinked_since.reset();
  } else if (!m_unlinked_since) {
    m_unlinked_since = now;
  }
  const bool knows = part.knows_hosts && now >= m_settled_at;
  const bool small = part.hosts <= kSmallFleetSize;
  if (part.feeds_others || (knows && (small || part.is_front))) {
    return RecordWriter::kSelf;
  }
  if (part.has_feeder) {
    return RecordWriter::kFeeder;
  }
  return now - *m_unlinked_since >= kLinkPatience ? RecordWriter::kSelf
                                                  : m_writer;
}

}  // namespace jacinthdeck
