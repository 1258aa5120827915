// Framing and judgement of responses.
#include "jacinthdeck/http/target_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <utility>

#include "jacinthdeck/http/header_text.h"
#include "jacinthdeck/http/hop_headers.h"
#include "jacinthdeck/http/socket_options.h"
#include "jacinthdeck/http/status.h"
#include "jacinthdeck/http/target_pool.h"

namespace jacinthdeck {

namespace {

namespace http = boost::beast::http;
using internal::AppendHeader;
using internal::View;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kReadBytes = 8192;
//! Bounds on what a target may answer.
constexpr std::uint32_t kMostHeaderBytes = 65536;
constexpr std::uint64_t kMostAnswerBytes = 64ULL << 20U;
//! Time for a connection to open: some dozen round trips of the farthest
//! target. A lost opening packet is resent after a second, which is too late.
constexpr Duration kOpenTimeout = milliseconds(300);
//! Time that an idle connection is used if its target states none.
constexpr Duration kIdleTime = seconds(4);
//! Part of a stated idle time: the target's clock started before ours.
constexpr int kIdlePercent = 60;

}  // namespace

TargetConnection::TargetConnection(TargetPool& pool, const TargetEntry& target)
    : m_pool(pool),
      m_target(target),
      m_socket(pool.m_loop),
      m_since(pool.m_clock.Now()),
      m_idle_time(kIdleTime) {}

void TargetConnection::Open(const OutgoingAttempt& attempt) {
  m_attempt = attempt;
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
    ++m_pool.m_counters.open_failures;
    Fail(AttemptOutcome::kNotSent, false);
    return;
  }
  m_phase = Phase::kBusy;
  Read();
  WriteRequest(*m_attempt);
}

void TargetConnection::Send(const OutgoingAttempt& attempt) {
  m_attempt = attempt;
  m_phase = Phase::kBusy;
  WriteRequest(attempt);
}

void TargetConnection::WriteRequest(const OutgoingAttempt& attempt) {
  const TargetProtocol& protocol = m_pool.m_protocol;
  const OpaqueRequest& request = *attempt.request;
  const TimePoint now = m_pool.m_clock.Now();
  const auto left = std::chrono::duration_cast<milliseconds>(
      std::max(attempt.deadline - now, Duration(milliseconds(1))));
  m_since = now;
  m_parser.emplace();
  m_parser->header_limit(kMostHeaderBytes);
  m_parser->body_limit(kMostAnswerBytes);
  m_parser->skip(request.method == "HEAD");
  m_out.clear();
  m_out.reserve(request.body.size() + request.target.size() + 512);
  m_out += request.method;
  m_out += ' ';
  m_out += request.target;
  m_out += " HTTP/1.1\r\n";
  AppendHeader(m_out, "Host", request.host);
  for (const Header& header : request.headers) {
    AppendHeader(m_out, header.name, header.value);
  }
  if (!request.request_id.empty()) {
    AppendHeader(m_out, protocol.request_id, request.request_id);
  }
  AppendHeader(m_out, protocol.time_left_ms, std::to_string(left.count()));
  AppendHeader(m_out, protocol.expected_target, m_target.id.raw());
  if (request.has_body) {
    AppendHeader(m_out, "Content-Length", std::to_string(request.body.size()));
  }
  m_out += "\r\n";
  m_out += request.body;
  m_pool.CountBytes(m_target, m_out.size());
  SystemError error;
  const std::size_t written = m_socket.write_some(asio::buffer(m_out), error);
  if (!error && written == m_out.size()) {
    return;
  }
  const bool blocked =
      error == asio::error::would_block || error == asio::error::try_again;
  if (error && !blocked) {
    asio::post(m_pool.m_loop, [self = shared_from_this()] {
      if (self->m_phase == Phase::kBusy) {
        self->Fail(AttemptOutcome::kBroken, false);
      }
    });
    return;
  }
  m_writing = true;
  asio::async_write(
      m_socket, asio::buffer(m_out) + (blocked ? 0 : written),
      [self = shared_from_this()](const SystemError& ended, std::size_t) {
        self->OnWritten(ended);
      });
}

void TargetConnection::OnWritten(const SystemError& error) {
  m_writing = false;
  // A target that answers early closes its side; the read says how it ended.
  (void)error;
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
    bytes = m_socket.read_some(m_buffer.prepare(kReadBytes), error);
  }
  if (error == asio::error::would_block || error == asio::error::try_again) {
    Read();
    return;
  }
  if (error) {
    OnEnd(error);
    return;
  }
  m_buffer.commit(bytes);
  m_pool.CountBytes(m_target, bytes);
  if (m_phase != Phase::kBusy) {
    // Bytes that no request asked for.
    Close();
    return;
  }
  Parse();
}

void TargetConnection::Parse() {
  while (m_buffer.size() > 0) {
    SystemError error;
    const std::size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (error && error != http::error::need_more) {
      Fail(AttemptOutcome::kBroken, false);
      return;
    }
    if (m_parser->is_done()) {
      const bool informational =
          m_parser->get().result_int() < http_status::kOk;
      if (!informational && !IsForeign()) {
        TakeResponse();
        return;
      }
      m_pool.m_counters.foreign_responses += informational ? 0 : 1;
      m_parser.emplace();
      m_parser->header_limit(kMostHeaderBytes);
      m_parser->body_limit(kMostAnswerBytes);
      continue;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  Read();
}

bool TargetConnection::IsForeign() const {
  const auto id = m_parser->get()[m_pool.m_protocol.request_id];
  return !id.empty() && View(id) != m_attempt->request->request_id;
}

void TargetConnection::OnEnd(const SystemError& error) {
  if (m_phase == Phase::kIdle) {
    Close();
    return;
  }
  // Only an orderly end completes a response without a length.
  if (error == asio::error::eof && m_parser->got_some()) {
    SystemError ended;
    m_parser->put_eof(ended);
    if (!ended && m_parser->is_done() && !IsForeign()) {
      TakeResponse();
      return;
    }
  }
  Fail(AttemptOutcome::kBroken, !m_parser->got_some());
}

void TargetConnection::TakeResponse() {
  AttemptEnd end = EndOf();
  LearnIdleTime();
  const bool reusable = m_parser->keep_alive() && !m_parser->need_eof() &&
                        m_buffer.size() == 0 && !m_writing &&
                        !m_attempt->close_after_response &&
                        end.outcome != AttemptOutcome::kWrongTarget;
  auto message = m_parser->release();
  end.response.body = std::move(message.body());
  m_parser.reset();
  if (reusable) {
    m_phase = Phase::kIdle;
    m_since = m_pool.m_clock.Now();
    Read();
    Report(end);
    return;
  }
  const auto self = shared_from_this();
  const AttemptId id = m_attempt->id;
  m_pool.m_attempts.erase(id);
  Close();
  m_pool.m_sink.OnAttemptEnd(end);
}

AttemptEnd TargetConnection::EndOf() const {
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
    end.load = protocol.read_load(View(load));
  }
  end.response.status = static_cast<int>(message.result_int());
  end.response.reason = View(message.reason());
  end.response.stamp = View(message[protocol.stamp]);
  end.response.encoded =
      message.find(http::field::content_encoding) != message.end();
  const bool head = m_attempt->request->method == "HEAD";
  const std::string connection(View(message[http::field::connection]));
  for (const auto& field : message) {
    const bool length = field.name() == http::field::content_length;
    if (IsHopHeader(View(field.name_string()), connection) ||
        (length && !head)) {
      continue;
    }
    end.response.headers.push_back({std::string(View(field.name_string())),
                                    std::string(View(field.value()))});
  }
  return end;
}

void TargetConnection::LearnIdleTime() {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = View(m_parser->get()[http::field::keep_alive]);
  const std::size_t at = value.find(kTimeout);
  if (at == value.npos) {
    return;
  }
  int stated = 0;
  const char* begin = value.data() + at + kTimeout.size();
  if (std::from_chars(begin, value.data() + value.size(), stated).ec ==
      std::errc()) {
    m_idle_time = Duration(seconds(stated)) * kIdlePercent / 100;
  }
}

void TargetConnection::Fail(AttemptOutcome outcome, bool connection_lost) {
  const auto self = shared_from_this();
  AttemptEnd end;
  end.id = m_attempt->id;
  end.outcome = outcome;
  end.connection_lost = connection_lost;
  m_pool.m_attempts.erase(end.id);
  Close();
  m_pool.m_sink.OnAttemptEnd(end);
}

void TargetConnection::Report(AttemptEnd& end) {
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
  SystemError ignored;
  m_socket.close(ignored);
  m_pool.Forget(*this);
}

void TargetConnection::CheckTime(TimePoint now) {
  if (m_phase == Phase::kOpening && now - m_since > kOpenTimeout) {
    ++m_pool.m_counters.open_failures;
    Fail(AttemptOutcome::kNotSent, false);
  } else if (m_phase == Phase::kIdle && now >= usable_until()) {
    Close();
  }
}

}  // namespace jacinthdeck
