// Reads each key with its range, and keeps the default of a key that is absent.
#include "jacinthdeck/entry/entry_settings.h"

#include <algorithm>
#include <chrono>

namespace jacinthdeck {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Ranges are wide: a host that makes no full use of an unusual value still
// serves, and one that refuses it does not start.
constexpr Duration kLongest = hours(24);
constexpr SettingDurations kChangeDelay{Duration::zero(), kLongest};
constexpr SettingRange kDescriptors{64, 2'147'483'647};
constexpr SettingRange kMemoryMb{1, 1'048'576};
constexpr std::uint64_t kMegabyte = std::uint64_t{1} << 20U;
constexpr SettingRange kCpuShare{0.001, 1024};
constexpr SettingRange kCores{0.001, 1024};
constexpr SettingRange kExtraRatio{0, 10};
constexpr SettingRange kExtraConstant{0, 1'000'000};
constexpr SettingDurations kExtraWindow{milliseconds(100), kLongest};
constexpr SettingDurations kDirectoryTtl{milliseconds(100), hours(1)};
constexpr SettingDurations kGrace{Duration::zero(), kLongest};
constexpr SettingDurations kRevoke{milliseconds(100), kLongest};
constexpr SettingDurations kWindow{milliseconds(100), kLongest};
constexpr SettingRange kOvershoot{0, 10};
constexpr SettingRange kSlack{0, 1'000'000};
constexpr SettingRange kLogBytesPerSecond{1024, 67'108'864};
constexpr SettingRange kLogSample{1, 1'000'000};

[[nodiscard]] std::uint32_t ToUint32(double value) {
  return static_cast<std::uint32_t>(value);
}

void ReadHost(SettingsTable& table, EntrySettings& settings) {
  settings.name = HostId(table.Text("host.name", SettingPresence::kRequired));
  settings.domain = FailureDomain(
      table.Text("host.failure_domain", SettingPresence::kRequired));
  settings.cpu_share =
      table.Number("host.cpu_share", kCpuShare, SettingPresence::kOptional,
                   settings.cpu_share);
  settings.cores = table.Number("host.cores", kCores,
                                SettingPresence::kOptional, settings.cores);
  settings.descriptors =
      ToUint32(table.Number("host.descriptors", kDescriptors,
                            SettingPresence::kOptional, settings.descriptors));
  const std::uint64_t default_mb = settings.memory_bytes / kMegabyte;
  settings.memory_bytes =
      kMegabyte * ToUint32(table.Number("host.memory_mb", kMemoryMb,
                                        SettingPresence::kOptional,
                                        static_cast<double>(default_mb)));
}

void ReadListen(SettingsTable& table, EntrySettings& settings) {
  settings.callers =
      table.Address("listen.callers", SettingPresence::kRequired);
  settings.ready = table.Address("listen.ready", SettingPresence::kOptional);
  settings.directory =
      table.Address("listen.directory", SettingPresence::kOptional);
  settings.metrics =
      table.Address("listen.metrics", SettingPresence::kOptional);
  settings.queries =
      table.Address("listen.queries", SettingPresence::kOptional);
  settings.peers = table.Address("listen.peers", SettingPresence::kOptional);
  settings.seeds = table.Addresses("peers.seeds");
  settings.fleet_starts = table.Flag("peers.fleet_starts", false);
  settings.store = table.Address("store.address", SettingPresence::kRequired);
}

void ReadBounds(SettingsTable& table, EntrySettings& settings) {
  const Duration drain =
      table.Time("bounds.drain", kChangeDelay, DiscoveryTimes::kDefaultBound);
  const Duration config_apply = table.Time("bounds.config_apply", kChangeDelay,
                                           DiscoveryTimes::kDefaultBound);
  settings.max_change_delay = std::min(drain, config_apply);
}

void ReadLimits(SettingsTable& table, EntrySettings& settings) {
  settings.extra_ratio =
      table.Number("extra_attempts.ratio", kExtraRatio,
                   SettingPresence::kOptional, settings.extra_ratio);
  settings.extra_constant =
      table.Number("extra_attempts.constant", kExtraConstant,
                   SettingPresence::kOptional, settings.extra_constant);
  settings.extra_window =
      table.Time("extra_attempts.window", kExtraWindow, settings.extra_window);
  settings.directory_ttl =
      table.Time("directory.ttl", kDirectoryTtl, settings.directory_ttl);
  settings.grace = table.Time("shutdown.grace", kGrace, settings.grace);
}

void ReadKeys(SettingsTable& table, EntrySettings& settings) {
  settings.strict_revoke =
      table.Flag("keys.strict_revoke", settings.strict_revoke);
  settings.revoke_after =
      table.Time("keys.revoke", kRevoke, settings.revoke_after);
}

void ReadRateLimits(SettingsTable& table, RateLimitSettings& limits) {
  limits.listen =
      table.Address("rate_limits.listen", SettingPresence::kOptional);
  limits.window = table.Time("rate_limits.window", kWindow, limits.window);
  limits.overshoot = table.Number("rate_limits.overshoot", kOvershoot,
                                  SettingPresence::kOptional, limits.overshoot);
  limits.slack = table.Number("rate_limits.slack", kSlack,
                              SettingPresence::kOptional, limits.slack);
}

void ReadLog(SettingsTable& table, EntrySettings& settings) {
  settings.log_level =
      table.OneOf("log.level", {"trace", "debug", "info", "warning", "error"},
                  settings.log_level);
  settings.log_bytes_per_second = ToUint32(
      table.Number("log.bytes_per_second", kLogBytesPerSecond,
                   SettingPresence::kOptional, settings.log_bytes_per_second));
  settings.log_sample =
      ToUint32(table.Number("log.sample", kLogSample,
                            SettingPresence::kOptional, settings.log_sample));
}

}  // namespace

std::variant<EntrySettings, std::vector<SettingsError>> ReadEntrySettings(
    const std::string& text) {
  SettingsTable table(text);
  EntrySettings settings;
  ReadHost(table, settings);
  ReadListen(table, settings);
  ReadBounds(table, settings);
  ReadLimits(table, settings);
  ReadKeys(table, settings);
  ReadRateLimits(table, settings.rate_limits);
  ReadLog(table, settings);
  std::vector<SettingsError> errors = table.TakeErrors();
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

}  // namespace jacinthdeck
