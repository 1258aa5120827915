// What the decision thread needs from the threads around it; tests put fakes
// here.
#ifndef JACINTHDECK_RUNTIME_DECISION_PORTS_H_
#define JACINTHDECK_RUNTIME_DECISION_PORTS_H_

#include <memory>

#include "jacinthdeck/cluster/cluster_effects.h"
#include "jacinthdeck/runtime/target_command.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck {

/*! \brief Ways out of the decision thread; none of them blocks. */
class DecisionPorts {
 public:
  virtual ~DecisionPorts() = default;

  /*! \brief Hands a command to the target transport; false if it has no room,
   * and nothing was sent. */
  [[nodiscard]] virtual bool ToTarget(TargetCommand command) = 0;

  /*! \brief Sends a message to a peer; it may be lost. */
  virtual void ToPeer(const PeerSend& send) = 0;

  /*! \brief Starts a store call; false if it cannot be started, and nothing was
   * written. */
  [[nodiscard]] virtual bool ToStore(const StoreRequest& request) = 0;

  /*! \brief Makes a schema known to the edges, or none where the node must not
   * serve. */
  virtual void Publish(std::shared_ptr<const Schema> schema) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_DECISION_PORTS_H_
