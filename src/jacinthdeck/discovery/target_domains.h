// Failure domains from which a host reaches the shards without leaving them.
#ifndef JACINTHDECK_DISCOVERY_TARGET_DOMAINS_H_
#define JACINTHDECK_DISCOVERY_TARGET_DOMAINS_H_

#include <set>
#include <span>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/target_entry.h"

namespace jacinthdeck {

/**
 * \brief Returns the failure domains that hold targets of most shards.
 *
 * A host elsewhere gets each part of an answer from another domain, while a
 * host in one of these sends its caller the merged answer alone. Targets that
 * drain or are evacuated count: they are soon replaced or back.
 * \return Empty if no route fans out, or if no shard has a target.
 */
[[nodiscard]] std::set<FailureDomain> DomainsWithTargets(
    const RoutingConfig& config,
    std::span<const TargetEntry> targets);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_TARGET_DOMAINS_H_
