// Each caller has one timer for its pauses and one HTTP session.
#include "soak/callers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "jacinthdeck/http/status.h"
#include "platform/wire_names.h"

namespace jacinthdeck::soak {

namespace {

namespace wire = platform::wire;
using std::chrono::milliseconds;

//! Longest pause between two calls of one caller.
constexpr std::uint64_t kMaxPauseMs = 40;
//! Deadline in milliseconds that callers send, and their actual timeout, which
//! is longer.
constexpr std::string_view kDeadlineMs = "1500";
constexpr Duration kCallTimeout = milliseconds(3000);
//! Request paths, indexed by CallKind.
constexpr std::array<std::string_view, 4> kPaths{"/claim/1", "/lookup/1",
                                                 "/query/1", "/public/1"};
//! Kinds of calls that are drawn; the last one only with accounts.
constexpr std::uint64_t kKinds = 3;
constexpr std::uint64_t kKindsWithAccounts = 4;

[[nodiscard]] CallEnd CallEndOf(const ClientReply& reply) {
  if (reply.answered()) {
    return CallEnd::kAnswered;
  }
  if (reply.not_sent) {
    return CallEnd::kNotSent;
  }
  return reply.error == "timed out" ? CallEnd::kTimedOut : CallEnd::kClosed;
}

[[nodiscard]] bool IsRefusal(const ClientReply& reply) {
  return reply.status == http_status::kUnavailable ||
         reply.status == http_status::kTooManyRequests;
}

//! Returns the first line of a refusal, as far as it is printable text.
[[nodiscard]] std::string ReasonOf(const ClientReply& reply) {
  const auto end = std::ranges::find_if_not(
      reply.body, [](unsigned char c) { return std::isprint(c) != 0; });
  return {reply.body.begin(), end};
}

}  // namespace

struct Callers::Caller {
  explicit Caller(asio::io_context& loop) : timer(loop) {}

  asio::steady_timer timer;
  CallerRole role = CallerRole::kStranger;
  std::size_t entry = 0;
  //! Null if the next call connects to an entry drawn at random.
  std::unique_ptr<ClientSession> session;
  bool closes_connection = false;
  //! Entry that refused the last call; not drawn while there is another one.
  std::optional<std::size_t> refused_by;
};

Callers::Callers(asio::io_context& loop,
                 std::size_t count,
                 std::uint64_t seed,
                 bool with_accounts)
    : m_loop(loop),
      m_random(seed),
      m_seed(seed),
      m_with_accounts(with_accounts) {
  for (std::size_t index = 0; index < count; ++index) {
    m_callers.push_back(std::make_unique<Caller>(loop));
    m_callers.back()->role = RoleOf(index);
    Pause(*m_callers.back());
  }
}

Callers::~Callers() = default;

void Callers::Add(std::size_t entry, std::uint16_t port) {
  m_entries[entry] = port;
}

void Callers::Remove(std::size_t entry) {
  m_entries.erase(entry);
}

void Callers::Pause(Caller& caller) {
  caller.timer.expires_after(
      m_with_accounts && caller.role == CallerRole::kSmall
          ? DrawSmallPause(m_random)
          : milliseconds(1 + m_random.Below(kMaxPauseMs)));
  caller.timer.async_wait([this, &caller](const SystemError& error) {
    if (!error && !m_stopped) {
      StartCall(caller);
    }
  });
}

bool Callers::Connect(Caller& caller) {
  if (caller.closes_connection) {
    caller.session.reset();
    caller.closes_connection = false;
  }
  if (caller.session) {
    return true;
  }
  if (m_entries.empty()) {
    return false;
  }
  std::vector<std::size_t> candidates;
  for (const auto& [entry, port] : m_entries) {
    if (entry != caller.refused_by || m_entries.size() == 1) {
      candidates.push_back(entry);
    }
  }
  caller.entry = candidates[m_random.Below(candidates.size())];
  caller.session = std::make_unique<ClientSession>(m_loop, "127.0.0.1",
                                                   m_entries.at(caller.entry));
  return true;
}

void Callers::StartCall(Caller& caller) {
  if (!Connect(caller)) {
    Pause(caller);
    return;
  }
  Call call;
  call.id = std::to_string(m_seed) + "-" + std::to_string(m_next_id++);
  call.kind = static_cast<CallKind>(
      m_random.Below(m_with_accounts ? kKindsWithAccounts : kKinds));
  if (m_with_accounts) {
    call.credentials = DrawCredentials(caller.role, m_random);
  }
  call.entry = caller.entry;
  call.sent = m_clock.Now();
  ClientRequest request{
      "GET",
      std::string(kPaths[static_cast<std::size_t>(call.kind)]),
      "",
      {{std::string(wire::kRequestId), call.id},
       {std::string(wire::kDeadlineMs), std::string(kDeadlineMs)}}};
  if (!call.credentials.key.empty()) {
    request.headers.push_back({std::string(wire::kKey), call.credentials.key});
  }
  if (!call.credentials.forged_account.empty()) {
    request.headers.push_back(
        {std::string(wire::kTenant), call.credentials.forged_account});
  }
  caller.session->Call(request, kCallTimeout,
                       [this, &caller, call](const ClientReply& reply) {
                         FinishCall(caller, call, reply);
                       });
}

void Callers::FinishCall(Caller& caller, Call call, const ClientReply& reply) {
  call.ended = m_clock.Now();
  call.end = CallEndOf(reply);
  call.status = reply.status;
  if (reply.status == http_status::kOk) {
    call.records = DecodeRecords(reply.body).value_or(std::vector<Record>{});
  } else {
    call.reason = ReasonOf(reply);
  }
  caller.refused_by.reset();
  if (IsRefusal(reply)) {
    caller.refused_by = caller.entry;
  }
  caller.closes_connection =
      call.end != CallEnd::kAnswered || caller.refused_by;
  m_calls.push_back(std::move(call));
  Pause(caller);
}

}  // namespace jacinthdeck::soak
