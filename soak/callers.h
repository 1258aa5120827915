// Simulated callers that reuse their connections and record every call.
#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/client_session.h"
#include "soak/history.h"

namespace jacinthdeck::soak {

/**
 * \brief Callers on one event loop that record the outcome of each call.
 *
 * Each caller makes one call at a time on a persistent connection. After a call
 * that is refused or gets no answer, the caller connects to an entry drawn at
 * random, as the platform's clients do; after a refusal to another entry, if
 * there is one.
 *
 * With rolling restarts some calls are slow, and about half of the callers,
 * drawn by the seed, go on connecting to draining entries.
 *
 * All members but the constructor must be called on the loop.
 */
class Callers {
 public:
  /*! \brief Creates callers; with accounts they send keys, and also call the
   * public route. */
  Callers(asio::io_context& loop,
          std::size_t count,
          std::uint64_t seed,
          bool with_accounts = false,
          bool with_rolling_restarts = false);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /*! \brief Adds an entry process that new connections may go to. */
  void Add(std::size_t entry, std::uint16_t port);
  /*! \brief Excludes an entry from new connections of the callers that do not
   * go on connecting to draining entries; open ones stay in use. */
  void BeginDrain(std::size_t entry);
  /*! \brief Excludes an entry from new connections; open ones stay in use. */
  void Remove(std::size_t entry);
  /*! \brief Starts no further calls; calls under way still end. */
  void Stop() { m_stopped = true; }

  [[nodiscard]] const std::vector<Call>& calls() const noexcept {
    return m_calls;
  }

 private:
  struct Caller;

  void Pause(Caller& caller);
  void StartCall(Caller& caller);
  void FinishCall(Caller& caller, Call call, const ClientReply& reply);
  [[nodiscard]] CallKind DrawKind();
  //! Returns the entries that a caller may connect to.
  [[nodiscard]] std::vector<std::size_t> CandidatesFor(
      const Caller& caller) const;
  [[nodiscard]] bool Connect(Caller& caller);

  asio::io_context& m_loop;
  BoottimeClock m_clock;
  Random m_random;
  const std::uint64_t m_seed;
  const bool m_with_accounts;
  const bool m_with_rolling_restarts;
  std::map<std::size_t, std::uint16_t> m_entries;
  //! Entries of m_entries that drain.
  std::set<std::size_t> m_draining;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<Call> m_calls;
  std::uint64_t m_next_id = 1;
  bool m_stopped = false;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_CALLERS_H_
