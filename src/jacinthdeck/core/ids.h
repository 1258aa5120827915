// Identifier types shared by all modules.
#ifndef JACINTHDECK_CORE_IDS_H_
#define JACINTHDECK_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/strong_id.h"

namespace jacinthdeck {

/*! \brief Name of a host from its settings file; stable across restarts. */
using HostId = StrongId<struct HostTag, std::string>;
/*! \brief Identifier of a target, a back-end server of shards. */
using TargetId = StrongId<struct TargetTag, std::string>;
/*! \brief Name of a query service declared by the operators. */
using ServiceId = StrongId<struct ServiceTag, std::string>;
/*! \brief Client account whose calls are counted and limited separately. */
using TenantId = StrongId<struct TenantTag, std::string>;
/*! \brief Set of machines that fail together. */
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
/*! \brief Identifier of a call, unique within one process. */
using CallId = StrongId<struct CallTag, std::uint64_t>;
/*! \brief Identifier of one request to one target; a process never reuses it.
 */
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/*! \brief Identifier of a shard within one partition map. */
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/*! \brief Version of a service's index snapshot; higher is newer. */
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
/*! \brief Revision of the operators' configuration; higher is newer. */
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/*! \brief Hash of a request's service, method and body in canonical form. */
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_IDS_H_
