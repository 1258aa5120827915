// What the load generator is asked to do, and the bounds it keeps.
#ifndef JACINTHDECK_STANDINS_LOADGEN_LOAD_OPTIONS_H_
#define JACINTHDECK_STANDINS_LOADGEN_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck::standins {

/*! \brief Options as the command line gives them. */
struct LoadOptions {
  std::vector<std::string> entries;
  //! `SERVICE/METHOD`.
  std::string call;
  //! Request as JSON; `{n}` stands for the number of the request.
  std::string request = "{}";
  std::string arrivals = "poisson";
  double rate = 100;
  std::uint64_t count = 1000;
  std::uint64_t seconds = 60;
  std::uint64_t deadline_ms = 0;
  std::uint64_t in_flight = 2000;
  std::uint64_t resends = 2;
  std::uint64_t seed = 1;
  std::string tenant;
  std::string csv;
  //! Names each request by the token of its entry, so that a resend is known.
  bool request_ids = false;
  //! One connection a request: the library then never resends by itself.
  bool fresh_connections = false;
  bool histogram = false;
};

/**
 * \brief Checks the bounds.
 * \param options Options.
 * \return The entries, at least one; kInvalidArgument for an address outside
 * 127.0.0.0/8 or a load above the bounds.
 */
[[nodiscard]] Result<std::vector<Endpoint>> CheckLoadOptions(
    const LoadOptions& options);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_LOAD_OPTIONS_H_
