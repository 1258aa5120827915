// The threads that read the index versions and the host list.
#ifndef JACINTHDECK_RUNTIME_PLATFORM_POLLERS_H_
#define JACINTHDECK_RUNTIME_PLATFORM_POLLERS_H_

#include <cstdint>
#include <map>

#include "jacinthdeck/platform/host_list_client.h"
#include "jacinthdeck/platform/store_client.h"
#include "jacinthdeck/runtime/decision_loop.h"
#include "jacinthdeck/runtime/poller.h"

namespace jacinthdeck {

//! Prefix of the store keys that hold partition maps.
inline constexpr const char* kIndexPrefix = "index/";

/*! \brief Polls the platform; what was read last stays in force while it is
 * away. */
class PlatformPollers {
 public:
  /*! \brief Starts the threads; what is given outlives them. */
  PlatformPollers(StoreClient& store,
                  HostListClient& hosts,
                  DecisionLoop& loop,
                  std::uint64_t seed);

 private:
  [[nodiscard]] bool PollIndexes();
  [[nodiscard]] bool PollHosts();

  StoreClient& m_store;
  HostListClient& m_hosts;
  DecisionLoop& m_loop;
  //! Store revisions handed on already; used on the index thread only.
  std::map<std::string, StoreRevision> m_seen;
  //! Last members: they start when all others stand.
  Poller m_index_poller;
  Poller m_host_poller;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_PLATFORM_POLLERS_H_
