// One line of the log that all targets of a run append to.
#ifndef SOAK_RUN_LINE_H_
#define SOAK_RUN_LINE_H_

#include <optional>
#include <string>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief Event that a target logs: a run, or its confirmed departure. */
struct RunLine {
  //! "run" or "leaving".
  std::string event;
  std::string target;
  //! Id of the request; empty for a departure.
  std::string request;
  TimePoint at;
  //! Value of the account header that came with the request; empty if none did.
  std::string account;
  //! Whether a key header came with the request.
  bool has_key = false;

  [[nodiscard]] bool operator==(const RunLine&) const = default;
};

/*! \brief Formats a line with its line end. Blanks in a member are replaced, so
 * that every member stays one word. */
[[nodiscard]] std::string Format(const RunLine& line);

/*! \brief Parses a line; std::nullopt if it is not one. */
[[nodiscard]] std::optional<RunLine> ParseRunLine(const std::string& text);

}  // namespace jacinthdeck::soak

#endif  // SOAK_RUN_LINE_H_
