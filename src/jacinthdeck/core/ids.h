// The identifiers that the modules share.
#ifndef JACINTHDECK_CORE_IDS_H_
#define JACINTHDECK_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/strong_id.h"

namespace jacinthdeck {

/*! \brief One daemon, named in its settings; the name outlives restarts. */
using HostId = StrongId<struct HostTag, std::string>;
/*! \brief One back-end server. */
using TargetId = StrongId<struct TargetTag, std::string>;
/*! \brief A query service that operators declared. */
using ServiceId = StrongId<struct ServiceTag, std::string>;
/*! \brief A customer whose calls are counted and limited apart from others. */
using TenantId = StrongId<struct TenantTag, std::string>;
/*! \brief Part of an environment that fails as one. */
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
/*! \brief One call inside one process. */
using CallId = StrongId<struct CallTag, std::uint64_t>;
/*! \brief One request to one target; never reused by a process. */
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/*! \brief A shard of one partition map. */
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/*! \brief One snapshot of a service's index; higher is newer. */
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
/*! \brief One revision of the operators' configuration; higher is newer. */
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/*! \brief Canonical hash of a request's service, method and body. */
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_IDS_H_
