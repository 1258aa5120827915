// One connection to a target: one request at a time.
#ifndef JACINTHDECK_HTTP_TARGET_CONNECTION_H_
#define JACINTHDECK_HTTP_TARGET_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

class TargetPool;

/**
 * \brief Sends an attempt, judges what comes back and says how it ended.
 *
 * A read is outstanding all the time: a target that closes an idle connection,
 * or sends bytes that no request asked for, is noticed before the next request
 * is sent, and those bytes are never taken for its response.
 */
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  /*! \brief Makes a connection that is not open; the pool outlives it. */
  TargetConnection(TargetPool& pool, const TargetEntry& target);

  [[nodiscard]] const TargetEntry& target() const noexcept { return m_target; }
  [[nodiscard]] bool idle() const noexcept { return m_phase == Phase::kIdle; }
  [[nodiscard]] TimePoint idle_since() const noexcept {
    return m_phase_started_at;
  }

  /*! \brief Moment after which the target may close it while it is idle. */
  [[nodiscard]] TimePoint usable_until() const noexcept {
    return m_phase_started_at + m_idle_timeout;
  }

  /*! \brief Opens the connection and sends the attempt on it. */
  void Open(const OutgoingAttempt& attempt);

  /*! \brief Sends an attempt on an idle connection. */
  void Send(const OutgoingAttempt& attempt);

  /*! \brief Ends the connection; an attempt on it gets no end. */
  void Close();

  /*! \brief Gives up an opening that takes too long. */
  void CheckTime(TimePoint now);

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  enum class Phase { kOpening, kIdle, kBusy, kClosed };

  void OnOpened(const SystemError& error);
  void WriteRequest(const OutgoingAttempt& attempt);
  void OnWritten(const SystemError& error);
  void Read();
  void OnReadable(SystemError error);
  void Parse();
  void OnReadError(const SystemError& error);
  void OnResponseComplete();
  [[nodiscard]] bool IsForeignResponse() const;
  [[nodiscard]] AttemptEnd MakeAttemptEnd() const;
  void ReadIdleTimeout();
  //! Ends the attempt without a response and the connection with it.
  void FailAttempt(AttemptOutcome outcome, bool connection_lost);
  void ReportEnd(AttemptEnd& end);

  TargetPool& m_pool;
  const TargetEntry m_target;
  tcp::socket m_socket;
  Phase m_phase = Phase::kOpening;
  //! When the phase began.
  TimePoint m_phase_started_at;
  //! How long it may stay idle before it is no longer used.
  Duration m_idle_timeout;
  boost::beast::flat_buffer m_read_buffer;
  std::optional<Parser> m_parser;
  //! The attempt under way; has a value exactly while opening or busy.
  std::optional<OutgoingAttempt> m_attempt;
  std::string m_write_buffer;
  bool m_writing = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_CONNECTION_H_
