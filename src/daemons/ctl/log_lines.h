// Lines of the hosts' logs, as every command on logs reads them.
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

/*! \brief How many lines were read, and how many told nothing. */
struct LineCounts {
  std::size_t read = 0;
  std::size_t unreadable = 0;
};

/*! \brief A text field of a line; empty if there is none. */
[[nodiscard]] std::string_view TextOf(const json_t* json, const char* name);

/*! \brief A whole number of a line, with its fraction cut off; 0 if there is
 * none. */
[[nodiscard]] json_int_t NumberOf(const json_t* json, const char* name);

/**
 * \brief Reads each line that is an event.
 *
 * What stands before the first brace is passed over, since collectors put their
 * own words there. A line without an event counts as unreadable: a log may end
 * in the middle of one.
 */
void ReadLines(std::istream& in,
               LineCounts& counts,
               const std::function<void(const json_t&)>& take);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_LOG_LINES_H_
