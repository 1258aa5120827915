// Collects as many records into a write as the store allows.
#include "jacinthdeck/discovery/member_records.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace jacinthdeck {

namespace {

//! Time before an orphaned record is removed: its host may reconnect, or
//! another feeder may write its record.
constexpr Duration kOrphanGrace = std::chrono::milliseconds(3000);
//! A removal counts as two entries of a write: the removal and its condition.
constexpr std::size_t kMaxRemovals = StoreWrite::kMaxEntries / 2;

}  // namespace

void MemberRecords::OnMember(HostRecord record) {
  record.writer = m_self;
  m_orphans.erase(record.name);
  Member& member = m_members[record.name];
  member.dirty = member.dirty || member.record != record;
  member.record = std::move(record);
}

void MemberRecords::OnMemberLeft(const HostId& name) {
  m_members.erase(name);
}

void MemberRecords::OnLeaseLost() {
  m_orphans.clear();
  for (auto& [name, member] : m_members) {
    member.dirty = true;
    member.position = {};
  }
}

void MemberRecords::OnHosts(std::span<const StoredRecord> stored,
                            const StorePosition& position,
                            TimePoint now) {
  std::set<HostId> listed;
  std::map<HostId, Orphan> orphans;
  for (const StoredRecord& host : stored) {
    const HostId& name = host.record.name;
    listed.insert(name);
    const bool own = host.record.writer == m_self && name != m_self;
    if (!own || m_members.contains(name)) {
      continue;
    }
    const auto known = m_orphans.find(name);
    const bool same = known != m_orphans.end() &&
                      known->second.stored.position == host.position;
    orphans[name] = same ? known->second : Orphan{host, now};
  }
  m_orphans = std::move(orphans);
  for (auto& [name, member] : m_members) {
    // The store may drop a key although its lease still seems valid.
    const bool known =
        member.position.revision != 0 && position >= member.position;
    member.dirty = member.dirty || (known && !listed.contains(name));
  }
}

MemberWrite MemberRecords::NextWrite(TimePoint now) const {
  MemberWrite write;
  for (const auto& [name, member] : m_members) {
    if (member.dirty && write.puts.size() < StoreWrite::kMaxEntries) {
      write.puts.push_back(member.record);
    }
  }
  if (!write.puts.empty()) {
    return write;
  }
  for (const auto& [name, orphan] : m_orphans) {
    if (now < orphan.since + kOrphanGrace) {
      continue;
    }
    if (orphan.remove_alone) {
      return {.puts = {}, .removals = {orphan.stored}};
    }
    if (write.removals.size() < kMaxRemovals) {
      write.removals.push_back(orphan.stored);
    }
  }
  return write;
}

void MemberRecords::OnWritten(const MemberWrite& write,
                              MemberWriteResult result,
                              const StorePosition& position) {
  for (const HostRecord& put : write.puts) {
    const auto found = m_members.find(put.name);
    if (found != m_members.end()) {
      found->second.position = position;
      found->second.dirty = found->second.record != put;
    }
  }
  for (const StoredRecord& removal : write.removals) {
    const auto found = m_orphans.find(removal.record.name);
    if (found == m_orphans.end()) {
      continue;
    }
    if (result == MemberWriteResult::kConflict && write.removals.size() > 1) {
      found->second.remove_alone = true;
    } else {
      m_orphans.erase(found);
    }
  }
}

}  // namespace jacinthdeck
