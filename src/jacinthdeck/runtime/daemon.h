// One entry process: every thread of it, started in order and stopped in the
// reverse one.
#ifndef JACINTHDECK_RUNTIME_DAEMON_H_
#define JACINTHDECK_RUNTIME_DAEMON_H_

#include <cstdint>
#include <memory>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/runtime/settings.h"

namespace jacinthdeck {

/*! \brief Ports that the kernel gave, or the settings named. */
struct DaemonPorts {
  std::uint16_t callers = 0;
  std::uint16_t operators = 0;
  std::uint16_t peers = 0;
};

/*! \brief A running entry. */
class Daemon {
 public:
  Daemon(Daemon&&) noexcept;
  Daemon& operator=(Daemon&&) noexcept;
  ~Daemon();

  /**
   * \brief Opens the ports and starts the threads.
   * \param settings Checked settings.
   * \return The daemon, or kUnavailable for a port that is taken.
   */
  [[nodiscard]] static Result<Daemon> Start(const Settings& settings);

  [[nodiscard]] DaemonPorts ports() const noexcept;

  /*! \brief Tells whether an operator asked for a drain. */
  [[nodiscard]] bool drain_requested() const noexcept;

  /**
   * \brief Shuts down without cutting off a request in flight.
   *
   * Peers are told at once; callers that still come are refused with "not run"
   * and sent elsewhere until their address answers have run out; then the
   * remaining calls finish.
   */
  void DrainAndStop();

 private:
  class State;

  explicit Daemon(std::unique_ptr<State> state) noexcept;

  std::unique_ptr<State> m_state;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_DAEMON_H_
