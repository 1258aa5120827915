// Settings of an entry process.
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

namespace jacinthdeck {

/*! \brief Checked settings; each key is explained in docs/operate/settings.md.
 */
struct EntrySettings {
  HostId name;
  FailureDomain domain;
  //! Where callers connect.
  Endpoint callers;
  //! Where the platform asks whether this host is ready.
  Endpoint ready;
  //! Where callers ask which hosts to use.
  Endpoint directory;
  Endpoint metrics;
  //! Where the product's own typed calls come in; may be absent.
  Endpoint queries;
  //! Where other hosts learn from this one; may be absent.
  Endpoint peers;
  //! Hosts to learn from before any is known.
  std::vector<Endpoint> seeds;
  //! All hosts of the deployment start for the first time.
  bool fleet_starts = false;
  Endpoint store;
  //! Part of a core that the host has.
  double cpu_share = 1;
  //! Speed of its core over a usual one.
  double cores = 1;
  //! Descriptors that the process may open.
  std::uint32_t descriptors = 1024;
  //! Extra attempts for each request, over all hosts.
  double extra_ratio = 0.2;
  //! Extra attempts in a window beside the ratio, over all hosts.
  double extra_constant = 20;
  Duration extra_window = std::chrono::seconds(10);
  //! Longest time that callers may keep a directory answer.
  Duration directory_ttl = std::chrono::seconds(1);
  //! From the request to stop to the end of the process.
  Duration grace = std::chrono::seconds(6);
  std::string log_level = "info";
  //! Bytes of log a second.
  std::uint32_t log_bytes_per_second = 65536;
  //! One in so many good calls is logged.
  std::uint32_t log_sample = 100;
};

/**
 * \brief Reads settings from TOML text.
 * \return The settings, or every fault found.
 */
[[nodiscard]] std::variant<EntrySettings, std::vector<SettingsError>>
ReadEntrySettings(const std::string& text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ENTRY_SETTINGS_H_
