// What an entry is given by the platform it runs on.
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

/*! \brief Formats of the platform, joined for an entry. */
struct EntryProtocol {
  TargetProtocol targets;
  //! Never null; outlives the entry.
  const PlatformCodec* codec = nullptr;
  //! Path that the platform asks for readiness.
  std::string ready_path;
  //! Path that callers ask for hosts.
  std::string directory_path;
  //! Finds the caller's failure domain in the directory call's target.
  FailureDomain (*read_directory_call)(const std::string& target) = nullptr;
  //! Builds the directory's answer.
  EdgeResponse (*write_directory_answer)(
      const std::vector<std::string>& addresses,
      Duration ttl) = nullptr;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ENTRY_PROTOCOL_H_
