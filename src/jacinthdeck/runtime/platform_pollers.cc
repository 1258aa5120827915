// The threads that read the index versions and the host list.
#include "jacinthdeck/runtime/platform_pollers.h"

#include <string_view>
#include <utility>
#include <variant>

#include "jacinthdeck/platform/partition_map_reader.h"
#include "jacinthdeck/runtime/log.h"

namespace jacinthdeck {

namespace {

//! One list call a node and period, whatever the number of services.
constexpr Duration kIndexPeriod = std::chrono::seconds(1);
constexpr Duration kHostPeriod = std::chrono::seconds(1);

}  // namespace

PlatformPollers::PlatformPollers(StoreClient& store,
                                 HostListClient& hosts,
                                 DecisionLoop& loop,
                                 std::uint64_t seed)
    : m_store(store),
      m_hosts(hosts),
      m_loop(loop),
      m_index_poller(kIndexPeriod, seed + 1, [this] { return PollIndexes(); }),
      m_host_poller(kHostPeriod, seed + 2, [this] { return PollHosts(); }) {}

bool PlatformPollers::PollIndexes() {
  auto read = Capture([this] { return m_store.List(kIndexPrefix); });
  if (const Error* error = std::get_if<Error>(&read)) {
    Log(Severity::kWarning, "index versions not read",
        {{"reason", error->message}});
    return false;
  }
  for (const StoreItem& item : std::get<std::vector<StoreItem>>(read)) {
    if (m_seen[item.key] == item.revision) {
      continue;
    }
    auto maps =
        Capture([&] { return ReadPartitionMaps(item.value, item.key); });
    if (const Error* error = std::get_if<Error>(&maps)) {
      Log(Severity::kError, "index refused; the former one stays",
          {{"key", error->subject}, {"reason", error->message}});
      continue;
    }
    DecisionEvent event = VersionsRead{
        ServiceId(item.key.substr(std::string_view(kIndexPrefix).size())),
        std::move(std::get<std::vector<PartitionMap>>(maps))};
    if (m_loop.TryPush(event)) {
      m_seen[item.key] = item.revision;
    }
  }
  return true;
}

bool PlatformPollers::PollHosts() {
  auto read = Capture([this] { return m_hosts.Fetch(); });
  if (const Error* error = std::get_if<Error>(&read)) {
    Log(Severity::kWarning, "host list not read", {{"reason", error->message}});
    return false;
  }
  DecisionEvent event =
      HostsRead{std::move(std::get<std::vector<TargetInfo>>(read))};
  return m_loop.TryPush(event);
}

}  // namespace jacinthdeck
