// Message formats and paths of the platform that a host runs on.
#ifndef JACINTHDECK_ENTRY_ENTRY_PROTOCOL_H_
#define JACINTHDECK_ENTRY_ENTRY_PROTOCOL_H_

#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/platform_codec.h"
#include "jacinthdeck/http/edge_message.h"
#include "jacinthdeck/http/target_protocol.h"

namespace jacinthdeck {

/*! \brief Collects the platform's formats and paths that an EntryNode needs. */
struct EntryProtocol {
  TargetProtocol targets;
  //! Reads and writes store entries; never null, must outlive the EntryNode.
  const PlatformCodec* codec = nullptr;
  //! Path of the platform's readiness probe.
  std::string ready_path;
  //! Path at which callers request the addresses of hosts.
  std::string directory_path;
  //! Parses the caller's failure domain from the target of a directory request.
  FailureDomain (*read_directory_call)(const std::string& target) = nullptr;
  //! Builds the answer to a directory request.
  EdgeResponse (*write_directory_answer)(
      const std::vector<std::string>& addresses,
      Duration ttl) = nullptr;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ENTRY_PROTOCOL_H_
