// Merge of what is said of targets.
#include "jacinthdeck/cluster/target_view.h"

#include <algorithm>
#include <set>

namespace jacinthdeck {

TargetState TargetView::StateOf(const TargetId& target) const {
  const auto found = m_records.find(target);
  if (found == m_records.end()) {
    return TargetState::kGone;
  }
  const Record& record = found->second;
  const TargetState said = std::max(record.by_host_list, record.by_health);
  return record.departed ? std::max(said, TargetState::kLeaving) : said;
}

std::vector<TargetInfo> TargetView::Targets() const {
  std::vector<TargetInfo> targets;
  targets.reserve(m_records.size());
  for (const auto& [id, record] : m_records) {
    targets.push_back(record.info);
    targets.back().state = StateOf(id);
  }
  return targets;
}

void TargetView::OnHostList(const std::vector<TargetInfo>& targets,
                            TimePoint now) {
  if (targets.empty()) {
    return;
  }
  std::set<TargetId> listed;
  for (const TargetInfo& info : targets) {
    listed.insert(info.id);
    Record& record = m_records[info.id];
    const bool moved =
        record.info.address != info.address || record.info.port != info.port;
    if (moved) {
      // Another process: what was met at the old address says nothing of it.
      record = Record{};
    }
    record.info = info;
    record.by_host_list = info.state;
    Note(record, info.state, now);
  }
  for (auto& [id, record] : m_records) {
    if (!listed.contains(id)) {
      record.by_host_list = TargetState::kGone;
    }
  }
  std::erase_if(m_records, [&](const auto& entry) {
    const Record& record = entry.second;
    return record.by_host_list == TargetState::kGone &&
           !Quarantined(record, now);
  });
}

void TargetView::OnHealth(const TargetId& target,
                          TargetState state,
                          TimePoint now) {
  const auto found = m_records.find(target);
  if (found == m_records.end()) {
    return;
  }
  found->second.by_health = state;
  Note(found->second, state, now);
}

// Only a source that speaks after the quarantine counts: until then a lagging
// one may be repeating what it knew before the departure.
void TargetView::Note(Record& record, TargetState said, TimePoint now) const {
  if (said != TargetState::kLive) {
    record.departed = now;
  } else if (Quarantined(record, now)) {
    return;
  } else {
    record.departed.reset();
  }
}

bool TargetView::Quarantined(const Record& record, TimePoint now) const {
  return record.departed && now < *record.departed + m_options.quarantine;
}

void TargetView::OnEvent(const TargetId& target,
                         TargetEvent event,
                         TimePoint now) {
  const auto found = m_records.find(target);
  if (found == m_records.end()) {
    return;
  }
  Record& record = found->second;
  if (event == TargetEvent::kAnswered) {
    record.refusals = 0;
    return;
  }
  if (event == TargetEvent::kDraining) {
    record.departed = now;
    return;
  }
  ++record.refusals;
  if (record.refusals >= m_options.refusals) {
    record.departed = now;
    record.refusals = 0;
  }
}

}  // namespace jacinthdeck
