// Interface that receives changes of a host's discovery state.
#ifndef JACINTHDECK_DISCOVERY_KNOWLEDGE_OBSERVER_H_
#define JACINTHDECK_DISCOVERY_KNOWLEDGE_OBSERVER_H_

#include <string>
#include <vector>

#include "jacinthdeck/discovery/knowledge.h"

namespace jacinthdeck {

/*! \brief Receives events of a StoreSession; called from the event loop. */
class DiscoveryObserver {
 public:
  virtual ~DiscoveryObserver() = default;

  /*! \brief The decoded tables changed. */
  virtual void OnDiscoveryChange(const DiscoveryChange& change,
                                 const StorePosition& position) = 0;

  /*! \brief The store's content changed.
   * \param changes Only changes that were unknown here; all keys if `whole`. */
  virtual void OnContent(const std::vector<StoreChange>& changes,
                         const StorePosition& position,
                         bool whole) = 0;

  /**
   * \brief The store was restored from a backup and began a new era.
   * \param known Position up to which this host knew the content before.
   */
  virtual void OnStoreRestored(StoreEra before,
                               StoreEra era,
                               const StorePosition& known) = 0;

  /*! \brief All keys were read from the store. */
  virtual void OnStoreRead(const FullRead& reading) = 0;

  /*! \brief A call to the store failed after a successful one. */
  virtual void OnStoreLost(StoreStatus status, const std::string& problem) = 0;

  /*! \brief A call to the store succeeded after a failed one. */
  virtual void OnStoreRegained() = 0;

  /*! \brief A write of this host's own record succeeded or failed. */
  virtual void OnRegistration(StoreStatus status) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_KNOWLEDGE_OBSERVER_H_
