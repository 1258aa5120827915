// The index versions of each service, and what targets said of them.
#ifndef JACINTHDECK_QUERY_VERSION_CATALOG_H_
#define JACINTHDECK_QUERY_VERSION_CATALOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/partition_map.h"
#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

/*! \brief Version that a call pins, with its map. */
struct VersionChoice {
  std::shared_ptr<const PartitionMap> map;
  //! Every asked shard has a usable replica.
  bool complete = false;
};

/*! \brief What a call needs of a version. */
struct VersionRequest {
  ServiceId service;
  //! Hash of the key of a keyed call; nothing asks for every shard.
  std::optional<std::uint64_t> key;
  //! Versions that this call gave up already.
  std::span<const IndexVersion> excluded;
};

/*! \brief Chooses the one snapshot of each answer. */
class VersionCatalog {
 public:
  //! Evidence ages out, since a target that does not serve a version yet may
  //! serve it soon.
  static constexpr Duration kVersionGoneTtl = std::chrono::seconds(2);

  /*! \brief Makes a catalog that asks a router, which outlives it, for the
   * state of targets. */
  explicit VersionCatalog(const Router& router) noexcept : m_router(router) {}

  /*! \brief Tells whether any version of a service is known. */
  [[nodiscard]] bool HasVersions(const ServiceId& service) const;

  /*! \brief Counts the shards of the newest version; 0 without any. */
  [[nodiscard]] std::size_t ShardCount(const ServiceId& service) const;

  /*! \brief Tells whether a version stands in the newest list of its service.
   */
  [[nodiscard]] bool IsListed(const ServiceId& service,
                              IndexVersion version) const;

  /**
   * \brief Chooses the newest version all of whose asked shards have a usable
   * replica; where there is none, the one with the most such shards.
   * \return The choice; without a map if no version is left.
   */
  [[nodiscard]] VersionChoice Choose(const VersionRequest& request,
                                     TimePoint now) const;

  /**
   * \brief Tells whether a target may serve a version.
   * \return False if it is not live or lately said that it does not serve it.
   */
  [[nodiscard]] bool IsUsable(const ServiceId& service,
                              IndexVersion version,
                              const TargetId& target,
                              TimePoint now) const;

  /**
   * \brief Replaces the versions of a service.
   * \param maps Maps, newest last. One that is not a partition of the key space
   * is left out: an answer could call itself whole over its gap.
   * \return Number of maps left out.
   */
  std::size_t Set(const ServiceId& service, std::vector<PartitionMap> maps);

  /*! \brief Remembers that a target said it does not serve a version. */
  void RecordVersionGone(const ServiceId& service,
                         IndexVersion version,
                         const TargetId& target,
                         TimePoint now);

 private:
  struct Versions {
    //! Ordered by version, newest last; each is a partition.
    std::vector<std::shared_ptr<const PartitionMap>> maps;
    //! When each target last said that it does not serve the version.
    std::map<IndexVersion, std::map<TargetId, TimePoint>> gone;
  };

  [[nodiscard]] bool IsUsable(const Versions& versions,
                              IndexVersion version,
                              const TargetId& target,
                              TimePoint now) const;

  const Router& m_router;
  std::map<ServiceId, Versions> m_services;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_VERSION_CATALOG_H_
