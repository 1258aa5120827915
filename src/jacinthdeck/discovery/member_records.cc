// Members and strays by name; a write takes as many as the store allows.
#include "jacinthdeck/discovery/member_records.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace jacinthdeck {

namespace {

//! A host whose link ended may come back, or be written elsewhere, within this
//! time; its record is left alone so long.
constexpr Duration kLinger = std::chrono::milliseconds(3000);
//! Each removal is an entry of a write, and so is its condition.
constexpr std::size_t kMaxRemovals = StoreWrite::kMaxEntries / 2;

}  // namespace

void MemberRecords::OnMember(HostRecord record) {
  record.writer = m_self;
  m_strays.erase(record.name);
  Member& member = m_members[record.name];
  member.dirty = member.dirty || member.record != record;
  member.record = std::move(record);
}

void MemberRecords::OnMemberLeft(const NodeId& name) {
  m_members.erase(name);
}

void MemberRecords::OnLeaseLost() {
  m_strays.clear();
  for (auto& [name, member] : m_members) {
    member.dirty = true;
    member.position = {};
  }
}

void MemberRecords::OnHosts(std::span<const StoredRecord> held,
                            const StorePosition& position,
                            TimePoint now) {
  std::set<NodeId> named;
  std::map<NodeId, Stray> strays;
  for (const StoredRecord& host : held) {
    const NodeId& name = host.record.name;
    named.insert(name);
    const bool own = host.record.writer == m_self && name != m_self;
    if (!own || m_members.contains(name)) {
      continue;
    }
    const auto known = m_strays.find(name);
    const bool same =
        known != m_strays.end() && known->second.held.position == host.position;
    strays[name] = same ? known->second : Stray{host, now};
  }
  m_strays = std::move(strays);
  for (auto& [name, member] : m_members) {
    // The store may drop a key while its lease seems to hold.
    const bool known =
        member.position.revision != 0 && position >= member.position;
    member.dirty = member.dirty || (known && !named.contains(name));
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
  for (const auto& [name, stray] : m_strays) {
    if (now < stray.since + kLinger) {
      continue;
    }
    if (stray.alone) {
      return {.puts = {}, .removals = {stray.held}};
    }
    if (write.removals.size() < kMaxRemovals) {
      write.removals.push_back(stray.held);
    }
  }
  return write;
}

void MemberRecords::OnWritten(const MemberWrite& write,
                              MemberWriteResult end,
                              const StorePosition& position) {
  for (const HostRecord& put : write.puts) {
    const auto found = m_members.find(put.name);
    if (found != m_members.end()) {
      found->second.position = position;
      found->second.dirty = found->second.record != put;
    }
  }
  for (const StoredRecord& removal : write.removals) {
    const auto found = m_strays.find(removal.record.name);
    if (found == m_strays.end()) {
      continue;
    }
    if (end == MemberWriteResult::kConflict && write.removals.size() > 1) {
      found->second.alone = true;
    } else {
      m_strays.erase(found);
    }
  }
}

}  // namespace jacinthdeck
