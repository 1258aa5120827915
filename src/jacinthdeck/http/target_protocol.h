// Headers of the protocol between hosts and targets: request ids, remaining
// time, stamps and load.
#ifndef JACINTHDECK_HTTP_TARGET_PROTOCOL_H_
#define JACINTHDECK_HTTP_TARGET_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/forward/load_report.h"

namespace jacinthdeck {

/*! \brief Header names, and the parser for the value of the load header. */
struct TargetProtocol {
  //! Id that the caller gave its attempt; absent if it gave none. The target
  //! repeats it in its response.
  std::string request_id;
  //! Milliseconds for which the sender still waits.
  std::string time_left_ms;
  //! Id of the target that must run the request; any other target refuses it.
  std::string expected_target;
  //! Key of a client account, from callers; never sent to a target.
  std::string key;
  //! Name of the client account of a request.
  std::string tenant;
  //! Value by which a target proves that a response is its own.
  std::string stamp;
  //! Present in a response if the target did not run the request.
  std::string not_executed;
  //! Current load of the target.
  std::string load;
  //! In merged answers: stamps of the parts that are included.
  std::string part_stamps;
  //! In merged answers: number of parts that are missing.
  std::string missing_parts;
  //! Parses the value of the load header; returns std::nullopt if it is
  //! malformed. Null if loads are not read.
  std::optional<LoadReport> (*read_load)(std::string_view value) = nullptr;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_PROTOCOL_H_
