// Pure rules by which a change turns one configuration value into the next.
#ifndef JACINTHDECK_CLUSTER_CONFIG_CHANGE_H_
#define JACINTHDECK_CLUSTER_CONFIG_CHANGE_H_

#include <optional>
#include <vector>

#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/cluster/operator_reply.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/*! \brief Finds the revision that an operation made, if the value still names
 * it. */
[[nodiscard]] std::optional<Revision> FindOperation(
    const ConfigValue& value,
    const OperationId& operation);

/*! \brief Tells whether every change after a revision is still among the
 * operations that the value remembers. */
[[nodiscard]] bool RemembersSince(const ConfigValue& value, Revision revision);

/**
 * \brief Applies an operator's change.
 * \param now_stored Value at the store.
 * \param change Change.
 * \return The next value; kConflict if the content changed after the expected
 * revision, kOutcomeUnknown if that was so long ago that the change itself may
 * have been one of those that did it, kInvalidArgument for a rollback to a
 * revision that the history does not hold.
 */
[[nodiscard]] Result<ConfigValue> ApplyChange(const ConfigValue& now_stored,
                                              const ConfigChange& change);

/**
 * \brief Changes the voters; the old list stays needed until settled.
 * \param now_stored Value at the store, settled.
 * \param voters New voters.
 */
[[nodiscard]] ConfigValue ChangeVoters(const ConfigValue& now_stored,
                                       std::vector<NodeId> voters);

/*! \brief Drops the former voters, once a revision with both lists is accepted.
 */
[[nodiscard]] ConfigValue SettleVoters(const ConfigValue& now_stored);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CONFIG_CHANGE_H_
