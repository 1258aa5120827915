// The one value at the store that holds the operators' configuration.
#ifndef JACINTHDECK_CLUSTER_CONFIG_VALUE_H_
#define JACINTHDECK_CLUSTER_CONFIG_VALUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Names one change of an operator across resends. */
using OperationId = StrongId<struct OperationTag, std::string>;

//! Key of the configuration at the store.
inline constexpr const char* kConfigKey = "config";
//! Largest value that the store takes, 1 MiB.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{1} << 20U;
//! Former contents kept for history and rollback; fewer where they do not fit.
inline constexpr std::size_t kMaxHistory = 16;
//! Operation ids kept, so that a resend is recognised.
inline constexpr std::size_t kMaxOperations = 64;

/*! \brief What operators write: the schema and the settings. */
struct ConfigContent {
  //! FlatBuffers IDL.
  std::string schema;
  std::map<std::string, std::string> settings;

  [[nodiscard]] bool operator==(const ConfigContent&) const = default;
};

/*! \brief A change that has reached the store. */
struct OperationRecord {
  OperationId operation;
  //! Revision that the change made.
  Revision revision;

  [[nodiscard]] bool operator==(const OperationRecord&) const = default;
};

/*! \brief A former content. */
struct HistoryRecord {
  Revision revision;
  ConfigContent content;

  [[nodiscard]] bool operator==(const HistoryRecord&) const = default;
};

/*! \brief The value; every write raises the revision by one. */
struct ConfigValue {
  Revision revision;
  //! Revision that last changed the content; never above revision. Changes of
  //! the voters raise revision alone, so they do not conflict with operators.
  Revision content_revision;
  ConfigContent content;
  //! Newest last, at most kMaxOperations.
  std::vector<OperationRecord> operations;
  //! Newest last, at most kMaxHistory; the first to go when space is short.
  std::vector<HistoryRecord> history;
  //! Nodes whose acknowledgement is counted; sorted, no duplicates.
  std::vector<NodeId> voters;
  //! Voters before an unsettled change, else empty: a majority of both lists is
  //! needed until the change is accepted.
  std::vector<NodeId> former_voters;

  [[nodiscard]] bool operator==(const ConfigValue&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CONFIG_VALUE_H_
