// Which entry addresses a caller should use.
#ifndef JACINTHDECK_CLUSTER_ENTRY_DIRECTORY_H_
#define JACINTHDECK_CLUSTER_ENTRY_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*! \brief One entry as callers see it. */
struct EntryAddress {
  NodeId node;
  std::string host;
  std::uint16_t port = 0;
  FailureDomain domain;

  [[nodiscard]] bool operator==(const EntryAddress&) const = default;
};

/*! \brief Answer to "which addresses". */
struct EntryAnswer {
  //! Live entries, failure domains mixed, in the order of use; empty only where
  //! none is known.
  std::vector<EntryAddress> entries;
  //! Starts the ids of the caller's requests that may not be repeated; binds
  //! them to the answering node, which is therefore the cheapest to send them
  //! to. See OnceRegistry::MakeToken().
  std::string token;
  //! How long the answer may be kept.
  Duration ttl{};
};

/*! \brief Chooses entries for callers from the member table. */
class EntryDirectory {
 public:
  /*! \brief Makes a directory; `table` outlives it. */
  EntryDirectory(const ClusterOptions& options,
                 std::uint64_t seed,
                 const MemberTable& table);

  /**
   * \brief Answers one caller.
   *
   * A different random order for every caller spreads them; taking the failure
   * domains in turn keeps one lost domain from emptying an answer. Leaving,
   * suspect, dead and unproven entries are left out.
   * \param token Token of this node for the caller.
   * \param now Present moment.
   * \return The answer.
   */
  [[nodiscard]] EntryAnswer Answer(std::string token, TimePoint now);

 private:
  ClusterOptions m_options;
  Random m_random;
  const MemberTable& m_table;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_ENTRY_DIRECTORY_H_
