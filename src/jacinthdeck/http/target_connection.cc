// Writes requests to a target, parses its responses and classifies them.
#include "jacinthdeck/http/target_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <utility>

#include "jacinthdeck/http/check_opening.h"
#include "jacinthdeck/http/header_text.h"
#include "jacinthdeck/http/hop_headers.h"
#include "jacinthdeck/http/response_limits.h"
#include "jacinthdeck/http/socket_options.h"
#include "jacinthdeck/http/status.h"
#include "jacinthdeck/http/target_pool.h"

namespace jacinthdeck {

namespace {

namespace http = boost::beast::http;
using internal::AppendHeader;
using internal::ToStringView;
using ResponseHead = http::response_header<>;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kResponseReadBytes = 8192;
// A faulty target may send bytes without end, and each form of them must meet a
// limit: one of a response, or one of these.
using internal::kMaxResponseBodyBytes;
using internal::kMaxResponseHeaderBytes;
//! Limit on all bytes received for an attempt, such as those between chunks.
constexpr std::size_t kMaxAttemptBytes = std::size_t{24} << 20U;
//! Limit on the bytes of a line that has not ended yet.
constexpr std::size_t kMaxUnparsedBytes =
    kMaxResponseHeaderBytes + kResponseReadBytes;
//! Limit on the responses that are discarded during an attempt.
constexpr std::uint32_t kMaxDiscardedResponses = 8;
//! Time for a connection to open: about a dozen round trips to the farthest
//! target. TCP resends a lost SYN only after one second, which is too late to
//! wait for.
constexpr Duration kConnectTimeout = milliseconds(300);
//! Idle time after which a connection is no longer used if its target sends no
//! Keep-Alive timeout.
constexpr Duration kDefaultIdleTimeout = seconds(4);
//! Percentage of the target's Keep-Alive timeout for which an idle connection
//! is used. The target starts to count before its response arrives here, so it
//! would close the connection before the full timeout has passed.
constexpr int kIdleTimeoutPercent = 60;

//! Tells whether a complete message is a response that can be passed on.
[[nodiscard]] bool IsWellFormed(const ResponseHead& head,
                                const TargetProtocol& protocol) {
  // Two ids or stamps show a head that stopped within a value and continues
  // with the head of another response.
  if (head.result_int() < http_status::kContinue ||
      head.result_int() > http_status::kHighest ||
      head.count(protocol.request_id) > 1 || head.count(protocol.stamp) > 1) {
    return false;
  }
  // The parser takes a coding other than "chunked" for a body without one.
  const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
  return std::all_of(begin, end, [](const auto& field) {
    return boost::beast::iequals(field.value(), "chunked");
  });
}

}  // namespace

TargetConnection::TargetConnection(TargetPool& pool, const TargetEntry& target)
    : m_pool(pool),
      m_target(target),
      m_socket(pool.m_loop),
      m_phase_started_at(pool.m_clock.Now()),
      m_idle_timeout(kDefaultIdleTimeout) {}

void TargetConnection::Open(const OutgoingAttempt& attempt) {
  m_attempt = attempt;
  Connect();
}

void TargetConnection::OpenForCheck(bool keep) {
  m_keep_after_check = keep;
  Connect();
}

void TargetConnection::Connect() {
  SystemError error;
  const auto address = asio::ip::make_address_v4(m_target.address, error);
  if (!error) {
    m_socket.open(tcp::v4(), error);
  }
  if (error) {
    asio::post(m_pool.m_loop,
               [self = shared_from_this(), error] { self->OnOpened(error); });
    return;
  }
  SetStreamOptions(m_socket);
  m_socket.async_connect(tcp::endpoint(address, m_target.port),
                         [self = shared_from_this()](const SystemError& ended) {
                           self->OnOpened(ended);
                         });
}

void TargetConnection::OnOpened(const SystemError& error) {
  if (m_phase != Phase::kOpening) {
    return;
  }
  if (error) {
    FailToOpen(error);
    return;
  }
  if (!m_attempt) {
    OnChecked(error);
    return;
  }
  m_phase = Phase::kBusy;
  Read();
  WriteRequest(*m_attempt);
}

void TargetConnection::OnChecked(const SystemError& error) {
  const auto self = shared_from_this();
  if (!error && m_keep_after_check) {
    m_phase = Phase::kIdle;
    m_phase_started_at = m_pool.m_clock.Now();
    Read();
  } else {
    Close();
  }
  m_pool.m_sink.OnTargetChecked(m_target.id, CheckOpening(error));
}

void TargetConnection::Send(const OutgoingAttempt& attempt) {
  m_attempt = attempt;
  m_phase = Phase::kBusy;
  WriteRequest(attempt);
}

void TargetConnection::WriteRequest(const OutgoingAttempt& attempt) {
  const OpaqueRequest& request = *attempt.request;
  const TimePoint now = m_pool.m_clock.Now();
  const Duration time_left =
      std::max(attempt.deadline - now, Duration(milliseconds(1)));
  m_phase_started_at = now;
  m_carried_ids.Add(request.request_id, attempt.deadline, now);
  m_discarded_responses = 0;
  ResetParser();
  WriteHead(request, time_left);
  const std::array<asio::const_buffer, 3> whole{
      asio::buffer(request.shared_head), asio::buffer(m_attempt_head),
      asio::buffer(request.body)};
  const std::size_t size = asio::buffer_size(whole);
  m_pool.CountBytes(m_target, size);
  SystemError error;
  const std::size_t written = m_socket.write_some(whole, error);
  if (!error && written == size) {
    return;
  }
  const bool blocked =
      error == asio::error::would_block || error == asio::error::try_again;
  if (error && !blocked) {
    asio::post(m_pool.m_loop, [self = shared_from_this()] {
      if (self->m_phase == Phase::kBusy) {
        self->FailAttempt(AttemptOutcome::kBroken, false);
      }
    });
    return;
  }
  m_writing = true;
  std::array<asio::const_buffer, 3> rest = whole;
  std::size_t done = blocked ? 0 : written;
  for (asio::const_buffer& part : rest) {
    const std::size_t skipped = std::min(done, part.size());
    part += skipped;
    done -= skipped;
  }
  // The attempt may end before the write does.
  asio::async_write(
      m_socket, rest,
      [self = shared_from_this(), kept = attempt.request](
          const SystemError& ended, std::size_t) { self->OnWritten(ended); });
}

void TargetConnection::WriteHead(const OpaqueRequest& request,
                                 Duration time_left) {
  const TargetProtocol& protocol = m_pool.m_protocol;
  if (request.shared_head.empty()) {
    std::string& head = request.shared_head;
    head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    AppendHeader(head, "Host", request.host);
    for (const Header& header : request.headers) {
      AppendHeader(head, header.name, header.value);
    }
    if (!request.request_id.empty()) {
      AppendHeader(head, protocol.request_id, request.request_id);
    }
    if (!request.tenant.empty()) {
      AppendHeader(head, protocol.tenant, request.tenant);
    }
    if (request.has_body) {
      AppendHeader(head, "Content-Length", std::to_string(request.body.size()));
    }
  }
  m_attempt_head.clear();
  const auto left = std::chrono::duration_cast<milliseconds>(time_left);
  AppendHeader(m_attempt_head, protocol.time_left_ms,
               std::to_string(left.count()));
  AppendHeader(m_attempt_head, protocol.expected_target, m_target.id.raw());
  m_attempt_head += "\r\n";
}

void TargetConnection::OnWritten(const SystemError& error) {
  m_writing = false;
  // A write fails if the target responds early and closes its side. The
  // outstanding read decides how the attempt ends.
  m_reset_seen = error && error != asio::error::broken_pipe;
}

void TargetConnection::ResetParser() {
  m_parser.emplace();
  m_parser->header_limit(kMaxResponseHeaderBytes);
  m_parser->body_limit(kMaxResponseBodyBytes);
  m_parser->skip(m_attempt->request->method == "HEAD");
}

void TargetConnection::Read() {
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this()](const SystemError& error) {
                        self->OnReadable(error);
                      });
}

void TargetConnection::OnReadable(SystemError error) {
  if (m_phase == Phase::kClosed) {
    return;
  }
  std::size_t bytes = 0;
  if (!error) {
    bytes =
        m_socket.read_some(m_read_buffer.prepare(kResponseReadBytes), error);
  }
  if (error == asio::error::would_block || error == asio::error::try_again) {
    Read();
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  m_read_buffer.commit(bytes);
  m_pool.CountBytes(m_target, bytes);
  if (m_phase != Phase::kBusy) {
    // No request is in progress: these bytes must not be taken for the response
    // to the next one.
    Close();
    return;
  }
  AddAttemptBytes(bytes);
  if (m_phase == Phase::kBusy) {
    Parse();
  }
}

void TargetConnection::AddAttemptBytes(std::size_t bytes) {
  m_attempt_bytes += bytes;
  m_pool.AddUnfinishedBytes(bytes);
  if (m_phase == Phase::kBusy && m_attempt_bytes > kMaxAttemptBytes) {
    FailOversized();
  }
}

void TargetConnection::Parse() {
  while (m_read_buffer.size() > 0) {
    SystemError error;
    const std::size_t used = m_parser->put(m_read_buffer.data(), error);
    m_read_buffer.consume(used);
    if (error == http::error::header_limit ||
        error == http::error::body_limit) {
      FailOversized();
      return;
    }
    if (error && error != http::error::need_more) {
      FailAttempt(AttemptOutcome::kBroken, false);
      return;
    }
    if (m_parser->is_done()) {
      if (!IsWellFormed(m_parser->get(), m_pool.m_protocol)) {
        FailAttempt(AttemptOutcome::kBroken, false);
        return;
      }
      const bool informational =
          m_parser->get().result_int() < http_status::kOk;
      if (!informational && !IsForeignResponse()) {
        OnResponseComplete();
        return;
      }
      m_pool.m_counters.foreign_responses += informational ? 0 : 1;
      if (++m_discarded_responses > kMaxDiscardedResponses) {
        FailOversized();
        return;
      }
      ResetParser();
      continue;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  if (m_read_buffer.size() > kMaxUnparsedBytes) {
    FailOversized();
    return;
  }
  Read();
}

bool TargetConnection::HasResponseId() const {
  return !m_parser->get()[m_pool.m_protocol.request_id].empty();
}

bool TargetConnection::IsForeignResponse() const {
  const auto id = m_parser->get()[m_pool.m_protocol.request_id];
  return HasResponseId() && ToStringView(id) != m_attempt->request->request_id;
}

// A late copy of a response without an id passes for the next response. That of
// a refusal does no harm to a request that is sent again anyway, if the target
// is known to return the ids of those that it runs.
bool TargetConnection::MayBeUsedAfter(AttemptOutcome outcome) {
  if (HasResponseId()) {
    m_returned_id = true;
    return outcome != AttemptOutcome::kWrongTarget;
  }
  m_refused_without_id = true;
  return m_returned_id && outcome == AttemptOutcome::kNotExecuted;
}

void TargetConnection::OnReadError(const SystemError& error) {
  if (m_phase == Phase::kIdle) {
    Close();
    return;
  }
  // A response without a length is complete only if the target closes the
  // connection in an orderly way; after a reset its body may be truncated. The
  // kernel reports a reset once: if a write got it, the read finds an end.
  if (error == asio::error::eof && !m_reset_seen && m_parser->got_some()) {
    SystemError ended;
    m_parser->put_eof(ended);
    if (!ended && m_parser->is_done() &&
        IsWellFormed(m_parser->get(), m_pool.m_protocol) &&
        !IsForeignResponse()) {
      OnResponseComplete();
      return;
    }
  }
  FailAttempt(AttemptOutcome::kBroken, !m_parser->got_some());
}

void TargetConnection::OnResponseComplete() {
  AttemptEnd end = MakeAttemptEnd();
  if (end.outcome == AttemptOutcome::kResponse && end.response.succeeded()) {
    m_carried_ids.EndLast(m_attempt->request->request_id);
  }
  ReadIdleTimeout();
  const bool reusable = m_parser->keep_alive() && !m_parser->need_eof() &&
                        m_read_buffer.size() == 0 && !m_writing &&
                        !m_attempt->close_after_response &&
                        !m_carried_ids.full() && MayBeUsedAfter(end.outcome);
  auto message = m_parser->release();
  end.response.body = std::move(message.body());
  m_parser.reset();
  m_pool.RemoveUnfinishedBytes(std::exchange(m_attempt_bytes, 0));
  if (reusable) {
    m_phase = Phase::kIdle;
    m_phase_started_at = m_pool.m_clock.Now();
    Read();
    ReportEnd(end);
    return;
  }
  const auto self = shared_from_this();
  const AttemptId id = m_attempt->id;
  m_pool.m_attempts.erase(id);
  Close();
  m_pool.m_sink.OnAttemptEnd(end);
}

AttemptEnd TargetConnection::MakeAttemptEnd() const {
  const TargetProtocol& protocol = m_pool.m_protocol;
  const auto& message = m_parser->get();
  AttemptEnd end;
  end.id = m_attempt->id;
  end.outcome = AttemptOutcome::kResponse;
  if (message.result_int() == http_status::kMisdirected) {
    end.outcome = AttemptOutcome::kWrongTarget;
  } else if (message.find(protocol.not_executed) != message.end()) {
    end.outcome = AttemptOutcome::kNotExecuted;
  }
  const auto load = message[protocol.load];
  if (!load.empty() && protocol.read_load != nullptr) {
    end.load = protocol.read_load(ToStringView(load));
  }
  end.response.status = static_cast<int>(message.result_int());
  end.response.reason = ToStringView(message.reason());
  end.response.stamp = ToStringView(message[protocol.stamp]);
  end.response.encoded =
      message.find(http::field::content_encoding) != message.end();
  const bool head = m_attempt->request->method == "HEAD";
  const HopByHopHeaders hop_by_hop(
      ToStringView(message[http::field::connection]));
  for (const auto& field : message) {
    const bool length = field.name() == http::field::content_length;
    if (hop_by_hop.Contains(ToStringView(field.name_string())) ||
        (length && !head)) {
      continue;
    }
    end.response.headers.push_back(
        {std::string(ToStringView(field.name_string())),
         std::string(ToStringView(field.value()))});
  }
  return end;
}

void TargetConnection::ReadIdleTimeout() {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value =
      ToStringView(m_parser->get()[http::field::keep_alive]);
  const std::size_t timeout_start = value.find(kTimeout);
  if (timeout_start == value.npos) {
    return;
  }
  int stated_seconds = 0;
  const char* begin = value.data() + timeout_start + kTimeout.size();
  if (std::from_chars(begin, value.data() + value.size(), stated_seconds).ec ==
      std::errc()) {
    m_idle_timeout =
        Duration(seconds(stated_seconds)) * kIdleTimeoutPercent / 100;
  }
}

void TargetConnection::FailOversized() {
  ++m_pool.m_counters.oversized_responses;
  FailAttempt(AttemptOutcome::kBroken, false);
}

void TargetConnection::FailAttempt(AttemptOutcome outcome,
                                   bool connection_lost) {
  AttemptEnd end;
  end.outcome = outcome;
  end.connection_lost = connection_lost;
  CloseAndReport(end);
}

void TargetConnection::FailToOpen(const SystemError& error) {
  ++m_pool.m_counters.open_failures;
  if (!m_attempt) {
    OnChecked(error);
    return;
  }
  AttemptEnd end;
  end.outcome = AttemptOutcome::kNotSent;
  const TargetCheck check = CheckOpening(error);
  end.unreachable = check == TargetCheck::kUnreachable;
  end.reset = check == TargetCheck::kReset;
  CloseAndReport(end);
}

void TargetConnection::CloseAndReport(AttemptEnd& end) {
  const auto self = shared_from_this();
  end.id = m_attempt->id;
  m_pool.m_attempts.erase(end.id);
  Close();
  m_pool.m_sink.OnAttemptEnd(end);
}

void TargetConnection::ReportEnd(AttemptEnd& end) {
  m_attempt.reset();
  m_pool.m_attempts.erase(end.id);
  m_pool.m_sink.OnAttemptEnd(end);
}

void TargetConnection::Close() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  m_phase = Phase::kClosed;
  m_attempt.reset();
  m_pool.RemoveUnfinishedBytes(std::exchange(m_attempt_bytes, 0));
  SystemError ignored;
  m_socket.close(ignored);
  m_pool.RemoveConnection(*this);
}

void TargetConnection::ApplyTimeout(TimePoint now) {
  if (m_phase == Phase::kOpening &&
      now - m_phase_started_at > kConnectTimeout) {
    FailToOpen(asio::error::timed_out);
  } else if (m_phase == Phase::kIdle && now >= usable_until()) {
    Close();
  }
}

}  // namespace jacinthdeck
