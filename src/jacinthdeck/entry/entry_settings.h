// Settings of a host's process, read from a TOML file.
#ifndef JACINTHDECK_ENTRY_ENTRY_SETTINGS_H_
#define JACINTHDECK_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/settings_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/discovery_times.h"
#include "jacinthdeck/http/caller_memory.h"

namespace jacinthdeck {

/*! \brief Settings of the limits that all hosts hold together. */
struct RateLimitSettings {
  //! Address for the messages of other hosts; empty if this host takes part in
  //! none.
  Endpoint listen;
  //! Over any span of this length, an account's admitted requests stay within
  //! (rate * window + burst) * (1 + overshoot) + slack.
  Duration window = std::chrono::seconds(5);
  double overshoot = 0;
  double slack = 0;

  [[nodiscard]] bool operator==(const RateLimitSettings&) const = default;
};

/*! \brief Settings after validation; docs/operate/settings.md explains each
 * key. */
struct EntrySettings {
  HostId name;
  FailureDomain domain;
  //! Address on which callers connect.
  Endpoint callers;
  //! Address on which the platform probes whether this host is ready.
  Endpoint ready;
  //! Address of the directory, which tells callers which hosts to use.
  Endpoint directory;
  Endpoint metrics;
  //! Address of the typed calls of the product itself; optional.
  Endpoint queries;
  //! Address on which other hosts read the discovery feed of this host;
  //! optional.
  Endpoint peers;
  //! Hosts whose discovery feed is read before any other host is known.
  std::vector<Endpoint> seeds;
  //! Whether all hosts of the deployment start for the first time.
  bool fleet_starts = false;
  Endpoint store;
  //! Time within which a change that the store confirmed must be applied.
  Duration max_change_delay = DiscoveryTimes::kDefaultBound;
  //! Number of cores available to the host; may be a fraction.
  double cpu_share = 1;
  //! Speed of one of its cores, as a multiple of a usual core.
  double cores = 1;
  //! Maximum number of file descriptors that the process may open.
  std::uint32_t descriptors = 1024;
  //! Memory of the host in bytes, of which callers may take parts.
  std::uint64_t memory_bytes = CallerMemory::kDefaultHostBytes;
  //! Extra attempts allowed for each request, over all hosts.
  double extra_ratio = 0.2;
  //! Extra attempts allowed in each window in addition to the ratio, over all
  //! hosts.
  double extra_constant = 20;
  Duration extra_window = std::chrono::seconds(10);
  RateLimitSettings rate_limits;
  //! Maximum time that callers may cache an answer of the directory.
  Duration directory_ttl = std::chrono::seconds(1);
  //! Maximum time from the request to stop to the end of the process.
  Duration grace = std::chrono::seconds(6);
  //! Whether a host without news of the store refuses requests with keys.
  bool strict_revoke = false;
  //! Time without news of the store after which it refuses them.
  Duration revoke_after = std::chrono::seconds(5);
  std::string log_level = "info";
  //! Maximum number of bytes logged per second.
  std::uint32_t log_bytes_per_second = 65536;
  //! One in this many calls is logged that are neither refused, failed, partial
  //! nor slow.
  std::uint32_t log_sample = 100;

  [[nodiscard]] bool operator==(const EntrySettings&) const = default;
};

/**
 * \brief Reads and validates settings from TOML text.
 * \return The settings, or all errors found.
 */
[[nodiscard]] std::variant<EntrySettings, std::vector<SettingsError>>
ReadEntrySettings(const std::string& text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ENTRY_SETTINGS_H_
