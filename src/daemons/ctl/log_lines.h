// Reads lines of the hosts' logs for all commands that evaluate logs.
#ifndef JACINTHDECK_DAEMONS_CTL_LOG_LINES_H_
#define JACINTHDECK_DAEMONS_CTL_LOG_LINES_H_

#include <jansson.h>

#include <cstddef>
#include <functional>
#include <istream>
#include <string>
#include <string_view>

#include "jacinthdeck/core/json_ptr.h"

namespace jacinthdeck::ctl {

/*! \brief Number of lines that were read, and of those without an event. */
struct LineCounts {
  std::size_t read = 0;
  std::size_t unreadable = 0;
};

/*! \brief Returns a text field of a line; empty if the line has none. */
[[nodiscard]] std::string_view StringField(const json_t* json,
                                           const char* name);

/*! \brief Returns a number field of a line without its fraction; 0 if the line
 * has none. */
[[nodiscard]] json_int_t IntegerField(const json_t* json, const char* name);

/**
 * \brief Reads a log and passes each line with an event to a callback.
 *
 * Text before the first brace is skipped, since log collectors add prefixes of
 * their own. A line without an event counts as unreadable, since a log may end
 * in the middle of a line.
 *
 * \param in The log.
 * \param counts Counts that the lines of this log are added to.
 * \param on_event Called with each line that has an event.
 */
void ReadLines(std::istream& in,
               LineCounts& counts,
               const std::function<void(const json_t&)>& on_event);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_LOG_LINES_H_
