// The command line of jacinthdeckctl.
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

/*! \brief A command line after its checks. */
struct Arguments {
  bool help = false;
  bool version = false;
  bool json = false;
  //! Of explain: all losses in place of one request's story.
  bool summary = false;
  //! The platform's store.
  Endpoint store;
  //! A host's metrics port.
  Endpoint host;
  //! A host's port for typed calls.
  Endpoint queries;
  //! Of one call.
  Duration timeout{};
  //! Words of the command and its operands.
  std::vector<std::string> words;
  std::string tenant;
  std::string request_id;
  std::optional<std::uint64_t> deadline_ms;
};

/*! \brief Prints the options for the help text. */
void PrintOptions(std::ostream& out);

/**
 * \brief Reads a command line.
 * \param argc Count of arguments.
 * \param argv Arguments; the first is the program.
 * \return The arguments; kInvalidArgument with what is wrong.
 */
[[nodiscard]] Result<Arguments> ReadArguments(int argc,
                                              const char* const* argv);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ARGUMENTS_H_
