// Parses the command line of jacinthdeckctl.
#ifndef JACINTHDECK_DAEMONS_CTL_ARGUMENTS_H_
#define JACINTHDECK_DAEMONS_CTL_ARGUMENTS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::ctl {

/*! \brief A parsed and validated command line. */
struct Arguments {
  bool help = false;
  bool version = false;
  bool json = false;
  //! For `explain`: counts the losses of all requests instead of printing the
  //! log lines of one.
  bool summary = false;
  //! Address of the platform's store.
  Endpoint store;
  //! Address of a host's metrics port.
  Endpoint host;
  //! Address of a host's port for typed calls.
  Endpoint queries;
  //! Timeout of one call to a host or the store.
  Duration timeout{};
  //! Positional arguments: the words of the command, then its operands.
  std::vector<std::string> words;
  std::string tenant;
  std::string request_id;
  std::optional<std::uint64_t> deadline_ms;
};

/*! \brief Prints the descriptions of all options. */
void PrintOptions(std::ostream& out);

/**
 * \brief Parses and validates a command line.
 * \param argc Number of entries in argv.
 * \param argv Arguments; the first is the name of the program.
 * \return The arguments, or kInvalidArgument with a description of the problem.
 */
[[nodiscard]] Result<Arguments> ReadArguments(int argc,
                                              const char* const* argv);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ARGUMENTS_H_
