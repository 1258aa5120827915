// One HTTP connection to a target; one request at a time.
#ifndef JACINTHDECK_HTTP_TARGET_CONNECTION_H_
#define JACINTHDECK_HTTP_TARGET_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/carried_ids.h"

namespace jacinthdeck {

class TargetPool;

/**
 * \brief Sends attempts one after the other, classifies their responses and
 * reports the end of each attempt to the pool's sink.
 *
 * A read is always outstanding. If a target closes an idle connection or sends
 * bytes that no request asked for, this is noticed before the next request is
 * sent, and those bytes are never taken for the response to it.
 */
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  /*! \brief Creates a connection that is not open yet; the pool must outlive
   * it. */
  TargetConnection(TargetPool& pool, const TargetEntry& target);

  [[nodiscard]] const TargetEntry& target() const noexcept { return m_target; }
  [[nodiscard]] bool idle() const noexcept { return m_phase == Phase::kIdle; }
  [[nodiscard]] TimePoint idle_since() const noexcept {
    return m_phase_started_at;
  }

  /*! \brief Time from which an idle connection is no longer used, because the
   * target may be about to close it. */
  [[nodiscard]] TimePoint usable_until() const noexcept {
    return m_phase_started_at + m_idle_timeout;
  }

  /*! \brief Tells whether a response to a request with this id may still
   * arrive, so that an attempt with the id must use another connection. */
  [[nodiscard]] bool HasCarried(std::string_view id) const {
    return m_carried_ids.Contains(id);
  }

  /*! \brief Tells whether a late copy of a refusal may be taken for the next
   * response, so that a request that may not be repeated must use another
   * connection: it could run, be taken for refused and be sent again. */
  [[nodiscard]] bool refused_without_id() const noexcept {
    return m_refused_without_id;
  }

  /*! \brief Connects to the target and then sends the attempt. */
  void Open(const OutgoingAttempt& attempt);

  /*! \brief Connects to the target and reports whether it accepted. */
  void OpenForCheck(bool keep);

  /*! \brief Sends an attempt on an idle connection. */
  void Send(const OutgoingAttempt& attempt);

  /*! \brief Closes the connection and removes it from the pool. The end of an
   * attempt on it is not reported. */
  void Close();

  /*! \brief Fails the attempt if connecting takes too long, and closes the
   * connection if it has been idle until usable_until(). */
  void ApplyTimeout(TimePoint now);

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  friend class TargetPool;

  enum class Phase { kOpening, kIdle, kBusy, kClosed };

  void Connect();
  void OnChecked(const SystemError& error);
  void OnOpened(const SystemError& error);
  void WriteRequest(const OutgoingAttempt& attempt);
  //! Writes both parts of the head of a request.
  void WriteHead(const OpaqueRequest& request, Duration time_left);
  void OnWritten(const SystemError& error);
  //! Prepares the parser for the next response.
  void ResetParser();
  void Read();
  void OnReadable(SystemError error);
  //! Counts the bytes of the current attempt, and breaks it off if they exceed
  //! a limit.
  void AddAttemptBytes(std::size_t bytes);
  void Parse();
  void OnReadError(const SystemError& error);
  void OnResponseComplete();
  [[nodiscard]] bool HasResponseId() const;
  [[nodiscard]] bool IsForeignResponse() const;
  //! Tells whether a further attempt may follow the response on this
  //! connection.
  [[nodiscard]] bool MayBeUsedAfter(AttemptOutcome outcome);
  [[nodiscard]] AttemptEnd MakeAttemptEnd() const;
  void ReadIdleTimeout();
  //! Breaks off an attempt whose response exceeds a limit.
  void FailOversized();
  //! Closes the connection and reports that its attempt ended without a
  //! response.
  void FailAttempt(AttemptOutcome outcome, bool connection_lost);
  //! Closes the connection and reports that it could not be opened.
  void FailToOpen(const SystemError& error);
  //! Closes the connection and reports the end of its attempt.
  void CloseAndReport(AttemptEnd& end);
  void ReportEnd(AttemptEnd& end);

  TargetPool& m_pool;
  const TargetEntry m_target;
  tcp::socket m_socket;
  Phase m_phase = Phase::kOpening;
  //! Start of the current phase.
  TimePoint m_phase_started_at;
  //! Idle time after which the connection is no longer used.
  Duration m_idle_timeout;
  //! Ids of the requests that were sent. Responses to them may arrive again at
  //! any time, so the current attempt's id was not among them when it was sent.
  CarriedIds m_carried_ids;
  //! Whether a response had the id of its request. Only then is an idle
  //! connection used again, and all its responses without an id are refusals.
  bool m_returned_id = false;
  bool m_refused_without_id = false;
  boost::beast::flat_buffer m_read_buffer;
  std::optional<Parser> m_parser;
  //! Bytes received for the current attempt; counted by the pool as well.
  std::size_t m_attempt_bytes = 0;
  //! Interim responses and responses to other requests that were discarded
  //! during the current attempt.
  std::uint32_t m_discarded_responses = 0;
  //! Current attempt; has a value exactly in the phases kOpening and kBusy,
  //! unless the connection is opened for a check.
  std::optional<OutgoingAttempt> m_attempt;
  //! Whether a connection that was opened for a check is kept.
  bool m_keep_after_check = false;
  //! Rest of the head of a request: what differs between its attempts. The
  //! other part and the body are written from the request itself.
  std::string m_attempt_head;
  bool m_writing = false;
  //! Whether a write failed because the connection was reset or lost. If only
  //! the target's side had ended, it fails with a broken pipe instead.
  bool m_reset_seen = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_CONNECTION_H_
