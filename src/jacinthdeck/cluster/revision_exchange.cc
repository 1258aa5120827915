// Leases from answers of the voters.
#include "jacinthdeck/cluster/revision_exchange.h"

#include "jacinthdeck/cluster/quorum.h"

namespace jacinthdeck {

std::uint64_t RevisionExchange::Start(TimePoint now) {
  const std::uint64_t sequence = m_next_sequence++;
  m_queries.emplace(sequence, now);
  return sequence;
}

void RevisionExchange::OnReport(const NodeId& from,
                                const RevisionReport& report) {
  const auto query = m_queries.find(report.sequence);
  if (query == m_queries.end()) {
    return;
  }
  const auto known = m_answers.find(from);
  if (known == m_answers.end() || known->second.asked <= query->second) {
    m_answers[from] = Answer{query->second, report.revision, report.recovered};
  }
}

void RevisionExchange::Clear() {
  m_queries.clear();
  m_answers.clear();
}

void RevisionExchange::DropBefore(TimePoint oldest) {
  std::erase_if(m_queries,
                [&](const auto& entry) { return entry.second < oldest; });
  std::erase_if(m_answers,
                [&](const auto& entry) { return entry.second.asked < oldest; });
}

bool RevisionExchange::Confirmed(const ConfigValue& value,
                                 TimePoint since,
                                 const NodeId& self,
                                 bool count_self) const {
  return IsQuorum(value, [&](const NodeId& voter) {
    if (voter == self) {
      return count_self;
    }
    const auto found = m_answers.find(voter);
    return found != m_answers.end() && found->second.recovered &&
           found->second.revision <= value.revision &&
           found->second.asked > since;
  });
}

}  // namespace jacinthdeck
