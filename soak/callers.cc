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
//! The same for slow calls.
constexpr std::string_view kSlowDeadlineMs = "3500";
constexpr Duration kSlowCallTimeout = milliseconds(4500);
//! Makes the draw of the callers that go on connecting to draining entries
//! differ from the other draws of a seed.
constexpr std::uint64_t kDrainSeedMask = 0xa0761d6478bd642fU;
//! Request paths, indexed by CallKind.
constexpr std::array<std::string_view, 5> kPaths{
    "/claim/1", "/lookup/1", "/query/1", "/public/1", "/slow/1"};
//! The first kinds of calls are drawn in all runs, kPublic only with accounts
//! and kSlow only with rolling restarts.
constexpr std::uint64_t kKinds = 3;

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
  bool uses_draining_entries = false;
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
                 bool with_accounts,
                 bool with_rolling_restarts)
    : m_loop(loop),
      m_random(seed),
      m_seed(seed),
      m_with_accounts(with_accounts),
      m_with_rolling_restarts(with_rolling_restarts) {
  Random drain_random(seed ^ kDrainSeedMask);
  for (std::size_t index = 0; index < count; ++index) {
    m_callers.push_back(std::make_unique<Caller>(loop));
    m_callers.back()->role = RoleOf(index);
    m_callers.back()->uses_draining_entries =
        m_with_rolling_restarts && drain_random.Below(2) == 0;
    Pause(*m_callers.back());
  }
}

Callers::~Callers() = default;

void Callers::Add(std::size_t entry, std::uint16_t port) {
  m_entries[entry] = port;
}

void Callers::BeginDrain(std::size_t entry) {
  if (m_entries.contains(entry)) {
    m_draining.insert(entry);
  }
}

void Callers::Remove(std::size_t entry) {
  m_entries.erase(entry);
  m_draining.erase(entry);
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

CallKind Callers::DrawKind() {
  const std::uint64_t drawn =
      m_random.Below(kKinds + (m_with_accounts ? 1U : 0U) +
                     (m_with_rolling_restarts ? 1U : 0U));
  return drawn == kKinds && !m_with_accounts ? CallKind::kSlow
                                             : static_cast<CallKind>(drawn);
}

std::vector<std::size_t> Callers::CandidatesFor(const Caller& caller) const {
  std::vector<std::size_t> candidates;
  for (const auto& [entry, port] : m_entries) {
    if (caller.uses_draining_entries || !m_draining.contains(entry)) {
      candidates.push_back(entry);
    }
  }
  if (caller.refused_by && candidates.size() > 1) {
    std::erase(candidates, *caller.refused_by);
  }
  return candidates;
}

bool Callers::Connect(Caller& caller) {
  if (caller.closes_connection) {
    caller.session.reset();
    caller.closes_connection = false;
  }
  if (caller.session) {
    return true;
  }
  const std::vector<std::size_t> candidates = CandidatesFor(caller);
  if (candidates.empty()) {
    return false;
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
  call.kind = DrawKind();
  const bool slow = call.kind == CallKind::kSlow;
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
       {std::string(wire::kDeadlineMs),
        std::string(slow ? kSlowDeadlineMs : kDeadlineMs)}}};
  if (!call.credentials.key.empty()) {
    request.headers.push_back({std::string(wire::kKey), call.credentials.key});
  }
  if (!call.credentials.forged_account.empty()) {
    request.headers.push_back(
        {std::string(wire::kTenant), call.credentials.forged_account});
  }
  caller.session->Call(request, slow ? kSlowCallTimeout : kCallTimeout,
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
