// Receiver of what a host learns from the store.
#ifndef JACINTHDECK_DISCOVERY_KNOWLEDGE_OBSERVER_H_
#define JACINTHDECK_DISCOVERY_KNOWLEDGE_OBSERVER_H_

#include <string>
#include <vector>

#include "jacinthdeck/discovery/knowledge.h"

namespace jacinthdeck {

/*! \brief Told of changes; called from the event loop. */
class DiscoveryObserver {
 public:
  virtual ~DiscoveryObserver() = default;

  /*! \brief Something in the tables changed. */
  virtual void OnDiscoveryChange(const DiscoveryChange& change,
                                 const StorePosition& position) = 0;

  /*! \brief The store's content changed, as far as it is news here. */
  virtual void OnContent(const std::vector<StoreChange>& changes,
                         const StorePosition& position,
                         bool whole) = 0;

  /**
   * \brief The store came back from a copy.
   * \param known Up to where its content was known.
   */
  virtual void OnStoreRestored(StoreEra before,
                               StoreEra era,
                               const StorePosition& known) = 0;

  /*! \brief All keys were read from the store. */
  virtual void OnStoreRead(const FullRead& reading) = 0;

  /*! \brief A call to the store failed after one that went well. */
  virtual void OnStoreLost(StoreStatus status, const std::string& problem) = 0;

  /*! \brief A call to the store went well after one that failed. */
  virtual void OnStoreRegained() = 0;

  /*! \brief This host's own record was written, or could not be. */
  virtual void OnRegistration(StoreStatus status) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_KNOWLEDGE_OBSERVER_H_
