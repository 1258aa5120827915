// Options of the load generator and their bounds.
#ifndef JACINTHDECK_STANDINS_LOADGEN_LOAD_OPTIONS_H_
#define JACINTHDECK_STANDINS_LOADGEN_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck::standins {

/*! \brief Options of the load generator, one for each command line flag. */
struct LoadOptions {
  //! Addresses of the entries, `IP:PORT`.
  std::vector<std::string> entries;
  //! Method to call, `SERVICE/METHOD`.
  std::string call;
  //! Request as JSON; `{n}` is replaced by the number of the request.
  std::string request = "{}";
  //! Arrival process, "poisson" or "constant".
  std::string arrivals = "poisson";
  //! Requests per second.
  double rate = 100;
  //! Requests of the whole run.
  std::uint64_t count = 1000;
  //! No request is due later than this after the start.
  std::uint64_t seconds = 60;
  //! Deadline that is sent with each request; 0 sends none.
  std::uint64_t deadline_ms = 0;
  //! Maximum number of requests in flight; further ones wait.
  std::uint64_t in_flight = 2000;
  //! Maximum number of resends of one request.
  std::uint64_t resends = 2;
  std::uint64_t seed = 1;
  //! Client account of the requests; empty sends none.
  std::string tenant;
  //! Path of the CSV file to write; empty writes none.
  std::string csv;
  //! Sends a request id that stays the same for all resends of a request, so
  //! that a resend is recognised.
  bool request_ids = false;
  //! Opens a new connection for each request. libcurl resends a request by
  //! itself only on a reused connection, so then it never does.
  bool fresh_connections = false;
  bool histogram = false;
};

/**
 * \brief Checks options against their bounds.
 * \param options Options to check.
 * \return The addresses of the entries, at least one; kInvalidArgument for an
 * address outside 127.0.0.0/8, for no address, for a load out of bounds or for
 * an unknown arrival process.
 */
[[nodiscard]] Result<std::vector<Endpoint>> CheckLoadOptions(
    const LoadOptions& options);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_LOAD_OPTIONS_H_
