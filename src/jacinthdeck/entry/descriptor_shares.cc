// Each share is a part of what the process does not need itself, within bounds.
#include "jacinthdeck/entry/descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>

namespace jacinthdeck {

namespace {

// Descriptors for files, ports, the store and the feed: one in this many,
// within bounds.
constexpr std::uint32_t kOwnDivisor = 8;
constexpr std::uint32_t kMinOwn = 32;
constexpr std::uint32_t kMaxOwn = 232;
//! Targets get this many parts of kTargetDivisor.
constexpr std::uint32_t kTargetParts = 5;
constexpr std::uint32_t kTargetDivisor = 16;
constexpr std::uint32_t kDirectoryDivisor = 16;
constexpr std::uint32_t kQueriesDivisor = 8;
constexpr std::uint32_t kMonitoringDivisor = 64;
constexpr std::uint32_t kFollowersDivisor = 8;
//! Largest share of a port other than that of the callers.
constexpr std::uint32_t kMaxPort = 512;
constexpr std::uint32_t kMaxMonitoring = 128;
constexpr std::uint32_t kMaxFollowers = 256;

[[nodiscard]] std::uint32_t PortShare(const Endpoint& port,
                                      std::uint32_t share,
                                      std::uint32_t max) {
  return port.address.empty() ? 0 : std::clamp(share, 1U, max);
}

}  // namespace

DescriptorShares ShareDescriptors(const EntrySettings& settings) {
  const std::uint32_t own =
      std::clamp(settings.descriptors / kOwnDivisor, kMinOwn, kMaxOwn);
  const std::uint32_t rest = settings.descriptors - own;
  DescriptorShares shares;
  shares.targets = rest / kTargetDivisor * kTargetParts;
  shares.directory =
      PortShare(settings.directory, rest / kDirectoryDivisor, kMaxPort);
  shares.queries =
      PortShare(settings.queries, rest / kQueriesDivisor, kMaxPort);
  shares.monitoring = std::clamp(rest / kMonitoringDivisor, 1U, kMaxMonitoring);
  shares.followers =
      PortShare(settings.peers, rest / kFollowersDivisor, kMaxFollowers);
  shares.callers = rest - shares.targets - shares.directory - shares.queries -
                   2 * shares.monitoring - shares.followers;
  return shares;
}

void RaiseDescriptorLimit(std::uint32_t descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= descriptors) {
    return;
  }
  limit.rlim_cur = std::min<rlim_t>(descriptors, limit.rlim_max);
  (void)setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace jacinthdeck
