// Writes one key of the store.
#ifndef JACINTHDECK_DAEMONS_CTL_STORE_KEY_H_
#define JACINTHDECK_DAEMONS_CTL_STORE_KEY_H_

#include <string>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Replaces the value of a key.
 *
 * The write holds only if nobody else wrote in between. After a lost reply the
 * key is read again, so that the end is known: a change that was made is not
 * reported as failed.
 *
 * \return kDone once the store holds the value; kRefused on a conflict;
 * kUnknown if the store cannot be asked.
 */
ExitCode WriteKey(Session& session,
                  const std::string& key,
                  const std::string& value);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_STORE_KEY_H_
