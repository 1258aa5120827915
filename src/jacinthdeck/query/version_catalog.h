// Index versions of each service, and which targets do not serve them.
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

/*! \brief Index version chosen for a call, with its partition map. */
struct VersionChoice {
  std::shared_ptr<const PartitionMap> map;
  //! Whether every shard asked for has a usable replica.
  bool complete = false;
};

/*! \brief Requirements of a call on the index version chosen for it. */
struct VersionRequest {
  ServiceId service;
  //! Hash of the key of a keyed call; empty if the call asks every shard.
  std::optional<std::uint64_t> key;
  //! Versions that must not be chosen, since the call already abandoned them.
  std::span<const IndexVersion> excluded;
};

/*! \brief Chooses the index version that all shards of a call are read from. */
class VersionCatalog {
 public:
  //! How long a target's report that it does not serve a version is used. It
  //! expires because a target may still be loading the version.
  static constexpr Duration kVersionGoneTtl = std::chrono::seconds(2);

  /**
   * \brief Constructs a catalog.
   * \param router Source of the targets' states; must outlive the catalog.
   */
  explicit VersionCatalog(const Router& router) noexcept : m_router(router) {}

  /*! \brief Returns whether any version of a service is known. */
  [[nodiscard]] bool HasVersions(const ServiceId& service) const;

  /*! \brief Returns the number of shards of a service's newest version; 0 if
   * no version is known. */
  [[nodiscard]] std::size_t ShardCount(const ServiceId& service) const;

  /*! \brief Returns whether the last Set() for a service contained a version.
   */
  [[nodiscard]] bool IsListed(const ServiceId& service,
                              IndexVersion version) const;

  /**
   * \brief Chooses the newest version in which every shard asked for has a
   * usable replica; if there is none, the version with the most such shards.
   * \return The choice; its map is null if no version is left.
   */
  [[nodiscard]] VersionChoice Choose(const VersionRequest& request,
                                     TimePoint now) const;

  /**
   * \brief Returns whether a target may serve a version.
   * \return False if the target is not live, or reported less than
   * kVersionGoneTtl ago that it does not serve the version.
   */
  [[nodiscard]] bool IsUsable(const ServiceId& service,
                              IndexVersion version,
                              const TargetId& target,
                              TimePoint now) const;

  /**
   * \brief Replaces the versions of a service.
   * \param maps Maps, newest last. A map that is not a partition of the key
   * space is ignored: with a gap, an answer that lacks the keys of the gap
   * would be reported as whole.
   * \return Number of ignored maps.
   */
  std::size_t Set(const ServiceId& service, std::vector<PartitionMap> maps);

  /*! \brief Records a target's report that it does not serve a version. */
  void RecordVersionGone(const ServiceId& service,
                         IndexVersion version,
                         const TargetId& target,
                         TimePoint now);

 private:
  struct Versions {
    //! Ordered by version, newest last; each is a partition of the key space.
    std::vector<std::shared_ptr<const PartitionMap>> maps;
    //! Time of each target's last report that it does not serve the version.
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
