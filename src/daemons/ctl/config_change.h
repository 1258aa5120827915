// One change of the configuration, carried through to a known end where there
// is one.
#ifndef JACINTHDECK_DAEMONS_CTL_CONFIG_CHANGE_H_
#define JACINTHDECK_DAEMONS_CTL_CONFIG_CHANGE_H_

#include <functional>

#include "ctl/exit_code.h"
#include "ctl/session.h"

struct json_t;

namespace jacinthdeck::ctl {

/**
 * \brief Changes the configuration in force.
 *
 * Reads the present content, edits it, and sends it with the revision that was
 * read and an operation id. While the end is pending or unknown the same
 * operation is sent again: the daemon recognises it by its id and never applies
 * it twice.
 *
 * \param session Session.
 * \param edit Edits the content `{"schema":"...","settings":{...}}`.
 * \return kDone once accepted; kRefused on a conflict or a wrong content;
 * kUnknown where the end is still open after the wait.
 */
ExitCode ChangeConfig(Session& session,
                      const std::function<void(json_t& content)>& edit);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_CONFIG_CHANGE_H_
