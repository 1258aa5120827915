// Declares the conditional write of one key of the store.
#ifndef JACINTHDECK_DAEMONS_CTL_STORE_KEY_H_
#define JACINTHDECK_DAEMONS_CTL_STORE_KEY_H_

#include <string>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Replaces the value of a key and prints the result.
 *
 * The key is written only if it did not change since it was read. After a lost
 * reply the key is read again, so that a write which took effect is not
 * reported as failed.
 *
 * \return kDone once the store holds the value; kRefused on a conflict or if
 * the store is busy; kUnknown if the result of the write is not known.
 */
ExitCode WriteKey(Session& session,
                  const std::string& key,
                  const std::string& value);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_STORE_KEY_H_
