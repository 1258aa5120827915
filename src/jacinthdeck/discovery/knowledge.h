// What a host knows of configuration, targets and hosts, and when it believes
// what the store says.
#ifndef JACINTHDECK_DISCOVERY_KNOWLEDGE_H_
#define JACINTHDECK_DISCOVERY_KNOWLEDGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/evacuation.h"
#include "jacinthdeck/discovery/held_entries.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/platform_codec.h"
#include "jacinthdeck/discovery/removal_hold.h"
#include "jacinthdeck/discovery/restore_doubt.h"
#include "jacinthdeck/discovery/store_types.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/target_entry.h"

namespace jacinthdeck {

/*! \brief What changed with one step. */
struct DiscoveryChange {
  bool config = false;
  bool targets = false;
  bool evacuations = false;
  bool hosts = false;
  bool schema = false;
  //! Services whose partition maps were written.
  std::vector<ServiceId> indexes;
  //! Requests that another host found to crash targets.
  std::vector<Fingerprint> convictions;
  //! Entries that could not be read: key and what is wrong.
  std::vector<Error> unreadable;

  //! Targets change with the evacuations of their domains.
  void MarkEvacuations(bool changed) noexcept {
    evacuations |= changed;
    targets |= changed;
  }
};

/**
 * \brief The tables that the store's entries make, without a network.
 *
 * Positions only rise: an older word on a key never replaces a newer one, and
 * the configuration's version never falls within the life of a process.
 *
 * A store that comes back from a copy lacks the last seconds, and operators and
 * targets write again what they wrote in them. Until they had the time, this
 * host keeps to what it knew: entries that the copy lacks stay, those that were
 * removed before and are back in the copy are put off (RestoreGuard), and a
 * target that was leaving still is.
 */
class DiscoveryState {
 public:
  /*! \brief Makes an empty one; the codec outlives it. */
  explicit DiscoveryState(const PlatformCodec& codec) : m_codec(codec) {}

  [[nodiscard]] const std::shared_ptr<const RoutingConfig>& config()
      const noexcept {
    return m_config;
  }
  /*! \brief All targets; those of evacuated domains are marked. */
  [[nodiscard]] std::vector<TargetEntry> Targets() const;
  [[nodiscard]] std::vector<Evacuation> Evacuations() const {
    return m_evacuations.Entries();
  }
  [[nodiscard]] std::vector<HostRecord> Hosts() const {
    return m_hosts.Entries();
  }
  [[nodiscard]] const HostRecord* FindHost(const NodeId& name) const {
    return m_hosts.Find(m_codec.HostKey(name));
  }
  /*! \brief Text of the schema of typed calls; empty if there is none. */
  [[nodiscard]] const std::string& schema() const noexcept { return m_schema; }
  /*! \brief Text of a service's partition maps; empty if there is none. */
  [[nodiscard]] std::string IndexOf(const ServiceId& service) const {
    const auto found = m_indexes.find(service);
    return found == m_indexes.end() ? std::string() : found->second;
  }
  [[nodiscard]] std::size_t target_count() const noexcept {
    return m_targets.size();
  }
  [[nodiscard]] std::size_t host_count() const noexcept {
    return m_hosts.size();
  }
  [[nodiscard]] bool store_away() const noexcept {
    return m_removal_hold.away();
  }
  /**
   * \brief The configuration in force, if an era before wrote it and this one
   * has none that is as new.
   *
   * Handed on beside the content of this era: a host that starts now would
   * serve an older one than the others.
   */
  [[nodiscard]] std::optional<StoreChange> CarriedOverConfig() const;

  /*! \brief Moment at which OnTimer() is due. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /*! \brief Takes a failed call to the store. */
  void OnStoreAway() noexcept { m_removal_hold.OnCallFailed(); }

  /*! \brief Takes changes, in the order of their revisions, after a call that
   * went well. */
  DiscoveryChange OnChanges(std::span<const StoreChange> changes,
                            TimePoint now);

  /**
   * \brief Takes a reading of all keys.
   * \param items Every key of the store.
   * \param position The store's position when the reading began.
   */
  DiscoveryChange OnFullRead(std::span<const StoreChange> items,
                             const StorePosition& position,
                             TimePoint now);

  /*! \brief Takes what another host carries over from an era before; only a
   * configuration counts, by its version. */
  DiscoveryChange OnCarriedOver(std::span<const StoreChange> changes);

  /*! \brief Lets removals count that are due, and entries that were put off. */
  DiscoveryChange OnTimer(TimePoint now);

 private:
  void Apply(const StoreChange& change,
             TimePoint now,
             DiscoveryChange& changed);
  void ApplyConfig(const StoreChange& change, DiscoveryChange& changed);
  void ApplyEvacuation(const std::string& id,
                       const StoreChange& change,
                       TimePoint now,
                       DiscoveryChange& changed);
  void ApplyTarget(const std::string& id,
                   const StoreChange& change,
                   TimePoint now,
                   DiscoveryChange& changed);
  void ApplyHost(const StoreChange& change,
                 TimePoint now,
                 DiscoveryChange& changed);
  void OnCallSucceeded(TimePoint now);
  void BeginEra(const StorePosition& position, TimePoint now);
  //! Lets removals count that are due.
  void ApplyDueRemovals(TimePoint now, DiscoveryChange& changed);
  /**
   * \brief Lets removals of one kind of entries count that are due.
   * \param hold_time How long a copy's entry of a removed key is put off.
   */
  template <typename Entry>
  [[nodiscard]] bool Expire(HeldEntries<Entry>& entries,
                            Duration hold_time,
                            TimePoint now);

  const PlatformCodec& m_codec;
  RemovalHold m_removal_hold;
  //! Of the last reading; nothing before the first.
  std::optional<StoreEra> m_era;
  RestoreGuard m_restore_guard;
  std::shared_ptr<const RoutingConfig> m_config;
  //! What m_config was read from.
  StoreChange m_config_entry;
  std::string m_schema;
  std::map<ServiceId, std::string> m_indexes;
  HeldEntries<TargetEntry> m_targets;
  //! No lease holds them: their removals count at once.
  HeldEntries<Evacuation> m_evacuations;
  HeldEntries<HostRecord> m_hosts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_KNOWLEDGE_H_
