// Choice of entries for one caller.
#include "jacinthdeck/cluster/entry_directory.h"

#include <algorithm>
#include <map>
#include <utility>

namespace jacinthdeck {

namespace internal {

using EntriesByDomain = std::map<FailureDomain, std::vector<EntryAddress>>;

[[nodiscard]] EntriesByDomain LiveEntries(const MemberTable& table,
                                          TimePoint now) {
  EntriesByDomain domains;
  for (const auto& [node, member] : table.members()) {
    if (table.StateOf(node, now) == MemberState::kLive) {
      const MemberUpdate& latest = member.latest;
      domains[latest.domain].push_back(EntryAddress{node, latest.address.host,
                                                    latest.address.caller_port,
                                                    latest.domain});
    }
  }
  return domains;
}

template <typename T>
[[nodiscard]] T TakeRandom(std::vector<T>& items, Random& random) {
  std::swap(items[random.Below(items.size())], items.back());
  T item = std::move(items.back());
  items.pop_back();
  return item;
}

}  // namespace internal

EntryDirectory::EntryDirectory(const ClusterOptions& options,
                               std::uint64_t seed,
                               const MemberTable& table)
    : m_options(options), m_random(seed), m_table(table) {}

EntryAnswer EntryDirectory::Answer(std::string token, TimePoint now) {
  EntryAnswer answer;
  answer.token = std::move(token);
  answer.ttl = m_options.entry_ttl;
  internal::EntriesByDomain live = internal::LiveEntries(m_table, now);
  std::vector<std::vector<EntryAddress>> domains;
  for (auto& [domain, entries] : live) {
    domains.push_back(std::move(entries));
  }
  std::vector<std::vector<EntryAddress>> later;
  while (answer.entries.size() < m_options.entries_per_answer) {
    if (domains.empty()) {
      domains.swap(later);
    }
    if (domains.empty()) {
      break;
    }
    std::vector<EntryAddress> domain = internal::TakeRandom(domains, m_random);
    answer.entries.push_back(internal::TakeRandom(domain, m_random));
    if (!domain.empty()) {
      later.push_back(std::move(domain));
    }
  }
  return answer;
}

}  // namespace jacinthdeck
