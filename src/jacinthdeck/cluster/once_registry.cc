// Decisions on requests that may run at most once.
#include "jacinthdeck/cluster/once_registry.h"

#include <charconv>
#include <limits>
#include <string_view>
#include <system_error>
#include <utility>

namespace jacinthdeck {

namespace internal {

constexpr char kTimeMark = 't';
constexpr char kNonceMark = '-';

[[nodiscard]] std::int64_t ToTokenTime(TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch())
      .count();
}

/*! \brief Reads the time in `t<ms>-<nonce>`; nothing for any other form. */
[[nodiscard]] std::optional<std::int64_t> ParseTokenTime(
    std::string_view nonce) {
  const std::size_t mark = nonce.find(kNonceMark);
  if (mark == nonce.npos || mark + 1 == nonce.size() ||
      nonce.front() != kTimeMark) {
    return std::nullopt;
  }
  std::int64_t time = 0;
  const char* const last = nonce.data() + mark;
  const auto [end, error] = std::from_chars(nonce.data() + 1, last, time);
  const bool good = error == std::errc() && end == last && time >= 0;
  return good ? std::optional(time) : std::nullopt;
}

}  // namespace internal

OnceRegistry::OnceRegistry(SelfInfo self,
                           OnceOptions options,
                           const MemberTable& table)
    : m_self(std::move(self)), m_options(options), m_table(table) {}

std::string OnceRegistry::MakeToken(TimePoint now) const {
  return m_self.node.raw() + "." + std::to_string(m_self.incarnation.raw()) +
         "." + internal::kTimeMark + std::to_string(internal::ToTokenTime(now));
}

OnceResult OnceRegistry::Arrive(const RequestId& id,
                                TimePoint now,
                                OnceIntake intake) {
  const std::optional<std::int64_t> issued = internal::ParseTokenTime(id.nonce);
  if (!issued) {
    return {OnceDecision::kInvalid, {}, id.node};
  }
  if (id.node != m_self.node) {
    return ArriveElsewhere(id);
  }
  if (id.incarnation != m_self.incarnation) {
    return {OnceDecision::kUnknown, {}, id.node};
  }
  if (*issued > internal::ToTokenTime(now)) {
    return {OnceDecision::kInvalid, {}, id.node};
  }
  Sweep(now);
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    return Known(found->second);
  }
  const TimePoint expires =
      TimePoint(std::chrono::milliseconds(*issued)) + m_options.token_life;
  // A forgotten id and one never seen look alike. Only an id that is too young
  // to have been forgotten is sure to be new.
  if (expires <= now) {
    return {OnceDecision::kUnknown, {}, id.node};
  }
  if (intake == OnceIntake::kClosed || !m_accepting ||
      m_entries.size() - m_refused >= m_options.capacity) {
    return {RefuseNew(id, expires), {}, id.node};
  }
  m_entries.emplace(id, Entry{expires, State::kRunning, {}});
  m_expiries.emplace(expires, id);
  return {OnceDecision::kRun, {}, id.node};
}

OnceResult OnceRegistry::ArriveElsewhere(const RequestId& id) const {
  const Member* member = m_table.Find(id.node);
  const bool gone = member == nullptr || !member->proven ||
                    member->latest.health == MemberHealth::kDead ||
                    member->latest.incarnation > id.incarnation;
  return {gone ? OnceDecision::kUnknown : OnceDecision::kForward, {}, id.node};
}

OnceResult OnceRegistry::Known(const Entry& entry) const {
  switch (entry.state) {
    case State::kRunning:
      return {OnceDecision::kAttach, {}, m_self.node};
    case State::kFinished:
      return {OnceDecision::kFinished, entry.answer, m_self.node};
    case State::kRefused:
      return {OnceDecision::kRefused, {}, m_self.node};
    case State::kAnswerDropped:
      break;
  }
  return {OnceDecision::kUnknown, {}, m_self.node};
}

void OnceRegistry::Finish(const RequestId& id,
                          OnceAnswer answer,
                          TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || found->second.state != State::kRunning) {
    return;
  }
  Entry& entry = found->second;
  entry.state = State::kFinished;
  entry.answer = std::move(answer);
  m_answer_bytes += entry.answer.body.size();
  m_finished.push_back(id);
  if (entry.expires <= now) {
    // The sweep passed it by while it ran.
    m_expiries.emplace(entry.expires, id);
  }
  DropOldAnswers();
  Sweep(now);
}

void OnceRegistry::Refuse(const RequestId& id) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end() && found->second.state == State::kRunning) {
    found->second.state = State::kRefused;
    ++m_refused;
  }
}

// Without the note a copy that comes later, when there is room again, would run
// after its caller was told "not run". Where there is no room for the note
// either, only "unknown" is true.
OnceDecision OnceRegistry::RefuseNew(const RequestId& id, TimePoint expires) {
  if (m_refused >= m_options.capacity) {
    return OnceDecision::kUnknown;
  }
  m_entries.emplace(id, Entry{expires, State::kRefused, {}});
  m_expiries.emplace(expires, id);
  ++m_refused;
  return OnceDecision::kRefused;
}

void OnceRegistry::Sweep(TimePoint now) {
  while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
    const auto found = m_entries.find(m_expiries.begin()->second);
    m_expiries.erase(m_expiries.begin());
    if (found == m_entries.end()) {
      continue;
    }
    if (found->second.state == State::kRunning) {
      // It stays, since its waiting callers attach to it, and is looked at
      // again: its end alone would leave it here for ever where it is refused.
      m_expiries.emplace(now + m_options.token_life, found->first);
    } else {
      m_answer_bytes -= found->second.answer.body.size();
      m_refused -= found->second.state == State::kRefused ? 1 : 0;
      m_entries.erase(found);
    }
  }
}

void OnceRegistry::DropOldAnswers() {
  while (m_answer_bytes > m_options.answer_bytes && !m_finished.empty()) {
    const auto oldest = m_entries.find(m_finished.front());
    m_finished.pop_front();
    if (oldest != m_entries.end()) {
      m_answer_bytes -= oldest->second.answer.body.size();
      oldest->second.answer = OnceAnswer{};
      oldest->second.state = State::kAnswerDropped;
    }
  }
}

}  // namespace jacinthdeck
