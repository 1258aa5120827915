// How targets are spoken to beyond plain HTTP: the headers that carry ids, time
// left, proofs and load.
#ifndef JACINTHDECK_HTTP_TARGET_PROTOCOL_H_
#define JACINTHDECK_HTTP_TARGET_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/forward/load_report.h"

namespace jacinthdeck {

/*! \brief Names of headers, and the reading of the one that has a form. */
struct TargetProtocol {
  //! Id of one attempt of a caller; targets send it back.
  std::string request_id;
  //! Milliseconds that the sender still waits.
  std::string time_left_ms;
  //! Id of the target that must run the request; any other refuses.
  std::string expected_target;
  //! Proof of a target that a response is its own.
  std::string stamp;
  //! Present where the target did not run the request.
  std::string not_executed;
  //! Load of the target.
  std::string load;
  //! Merged answers: the stamps of the parts that are in.
  std::string part_stamps;
  //! Merged answers: how many parts are left out.
  std::string missing_parts;
  //! Reads the value of the load header.
  std::optional<LoadReport> (*read_load)(std::string_view value) = nullptr;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_PROTOCOL_H_
