// A host's view of configuration, targets and hosts, decoded from the store.
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

/*! \brief A request that another host found a target to end under. */
struct SharedCrash {
  Fingerprint fingerprint;
  //! Service of the target.
  ServiceId service;
};

/*! \brief What changed with one update of the discovery state. */
struct DiscoveryChange {
  bool config = false;
  bool targets = false;
  bool evacuations = false;
  bool hosts = false;
  bool schema = false;
  //! Services whose partition maps were written.
  std::vector<ServiceId> indexes;
  //! Requests that another host quarantined.
  std::vector<SharedCrash> quarantines;
  //! Requests that are suspect at another host.
  std::vector<SharedCrash> suspects;
  //! Errors of entries that could not be decoded.
  std::vector<Error> unreadable;

  //! Records a change of evacuations, which also changes the targets of the
  //! evacuated domains.
  void MarkEvacuations(bool changed) noexcept {
    evacuations |= changed;
    targets |= changed;
  }
};

/**
 * \brief Tables decoded from the store's entries; performs no I/O.
 *
 * An older change of a key never replaces a newer one, and the version of the
 * configuration never decreases within the life of a process.
 *
 * A store that is restored from a backup lacks the writes of the last seconds,
 * and operators and targets repeat them. Until they had time to do so, this
 * host keeps its previous state: entries that the backup lacks stay, entries
 * that were removed before and reappear in the backup are held back
 * (RestoreGuard), and a draining target stays draining.
 */
class DiscoveryState {
 public:
  /*! \brief Makes an empty state; the codec must outlive it. */
  explicit DiscoveryState(const PlatformCodec& codec) : m_codec(codec) {}

  [[nodiscard]] const std::shared_ptr<const RoutingConfig>& config()
      const noexcept {
    return m_config;
  }
  /*! \brief Returns all targets; those of evacuated domains are marked. */
  [[nodiscard]] std::vector<TargetEntry> Targets() const;
  [[nodiscard]] std::vector<Evacuation> Evacuations() const {
    return m_evacuations.Entries();
  }
  [[nodiscard]] std::vector<HostRecord> Hosts() const {
    return m_hosts.Entries();
  }
  [[nodiscard]] const HostRecord* FindHost(const HostId& name) const {
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
  /*! \brief Tells whether the store is considered unavailable. */
  [[nodiscard]] bool store_away() const noexcept {
    return m_removal_hold.away();
  }
  /**
   * \brief Returns the configuration in force if it was written in an earlier
   * era and the present one has none that is as new.
   *
   * It is sent to other hosts beside the content of the present era, since a
   * host that starts now would otherwise serve an older configuration than the
   * others.
   */
  [[nodiscard]] std::optional<StoreChange> CarriedOverConfig() const;

  /*! \brief Returns when OnTimer() is due; nothing if no timer is set. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /*! \brief Returns since when the store has been available without a break,
   * as far as this host knows; nothing before the first successful call and
   * while the store is considered unavailable. */
  [[nodiscard]] std::optional<TimePoint> available_since() const noexcept {
    return m_removal_hold.available_since();
  }

  /*! \brief Records that the store is unavailable. */
  void OnStoreAway() noexcept { m_removal_hold.OnCallFailed(); }

  /*! \brief Records since when the store has been available without a break,
   * as another host knows it. Removals that no outage explains take effect. */
  DiscoveryChange OnStoreAvailable(TimePoint since, TimePoint now);

  /*! \brief Applies the changes of a successful call, in the order of their
   * revisions. */
  DiscoveryChange OnChanges(std::span<const StoreChange> changes,
                            TimePoint now);

  /**
   * \brief Applies a full read: entries that it does not list are removed.
   * \param items Every key of the store.
   * \param position Position of the store when the read began.
   */
  DiscoveryChange OnFullRead(std::span<const StoreChange> items,
                             const StorePosition& position,
                             TimePoint now);

  /*! \brief Applies changes of an earlier era that another host sent; only a
   * configuration is applied, if its version is newer. */
  DiscoveryChange OnCarriedOver(std::span<const StoreChange> changes);

  /*! \brief Applies the removals that are due and the entries whose delay has
   * ended. */
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
  //! Applies the removals that are due.
  void ApplyDueRemovals(TimePoint now, DiscoveryChange& changed);
  /**
   * \brief Applies the due removals of one kind of entries.
   * \param hold_time How long a backup's entry of a removed key is held back.
   * \return True if an entry was removed.
   */
  template <typename Entry>
  [[nodiscard]] bool Expire(HeldEntries<Entry>& entries,
                            Duration hold_time,
                            TimePoint now);

  const PlatformCodec& m_codec;
  RemovalHold m_removal_hold;
  //! Newest era of a full read; nothing before the first one.
  std::optional<StoreEra> m_era;
  RestoreGuard m_restore_guard;
  std::shared_ptr<const RoutingConfig> m_config;
  //! Entry from which m_config was decoded.
  StoreChange m_config_entry;
  std::string m_schema;
  std::map<ServiceId, std::string> m_indexes;
  HeldEntries<TargetEntry> m_targets;
  //! Evacuations have no lease, so their removals take effect at once.
  HeldEntries<Evacuation> m_evacuations;
  HeldEntries<HostRecord> m_hosts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_KNOWLEDGE_H_
