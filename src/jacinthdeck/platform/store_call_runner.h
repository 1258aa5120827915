// Carries out the store calls that the decision core asks for.
#ifndef JACINTHDECK_PLATFORM_STORE_CALL_RUNNER_H_
#define JACINTHDECK_PLATFORM_STORE_CALL_RUNNER_H_

#include "jacinthdeck/cluster/store_call.h"
#include "jacinthdeck/platform/store_client.h"

namespace jacinthdeck {

/**
 * \brief Makes one call and waits for its end; sends it once, never again.
 * \param client Store.
 * \param request The call.
 * \return Its end. kRefused only where the store said that nothing was done;
 * kNoReply for everything that leaves a write open.
 */
[[nodiscard]] StoreReply RunStoreCall(StoreClient& client,
                                      const StoreRequest& request);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_STORE_CALL_RUNNER_H_
