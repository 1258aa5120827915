// What the voters last reported of their revisions, and the lease that it
// gives.
#ifndef JACINTHDECK_CLUSTER_REVISION_EXCHANGE_H_
#define JACINTHDECK_CLUSTER_REVISION_EXCHANGE_H_

#include <cstdint>
#include <map>

#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/cluster/messages.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*!
 * \brief Answers to this life's queries.
 *
 * An answer proves what its sender had after the query was sent, so the send
 * time counts, not the arrival: an answer that was held up, or read after a
 * pause, is as old as its query.
 */
class RevisionExchange {
 public:
  /*! \brief Notes that a query is sent now.
   * \return Its sequence. */
  std::uint64_t Start(TimePoint now);

  /*! \brief Takes an answer; one to an unknown query is dropped. */
  void OnReport(const NodeId& from, const RevisionReport& report);

  /*! \brief Forgets all answers and open queries. */
  void Clear();

  /*! \brief Forgets queries and answers sent before a moment. */
  void DropBefore(TimePoint oldest);

  /**
   * \brief Tells whether a majority has confirmed a revision.
   * \param value Value that names the voters and the revision.
   * \param since Queries sent at this moment or earlier do not count.
   * \param self This node; counted where `count_self` is set.
   * \param count_self Whether this node's own knowledge counts as a voter's.
   */
  [[nodiscard]] bool Confirmed(const ConfigValue& value,
                               TimePoint since,
                               const NodeId& self,
                               bool count_self) const;

 private:
  struct Answer {
    TimePoint asked;
    Revision revision;
    bool recovered = false;
  };

  std::uint64_t m_next_sequence = 1;
  //! Send times of queries that may still be answered.
  std::map<std::uint64_t, TimePoint> m_queries;
  //! Newest answer of each node.
  std::map<NodeId, Answer> m_answers;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_REVISION_EXCHANGE_H_
