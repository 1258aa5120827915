// Keeps answers for as long as their requests may be repeated.
#include "jacinthdeck/tenancy/token_answers.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

namespace {

//! Requests are given up after kGrantLifetime; the rest is delay.
constexpr Duration kAnswerMemory = std::chrono::milliseconds(500);
constexpr Duration kIdleTime = std::chrono::seconds(10);
//! Bounds the memory that one host takes.
constexpr std::size_t kMostAnswers = 1024;

}  // namespace

TokenAnswers::Seen TokenAnswers::Check(const TokenRequest& request,
                                       TimePoint now) {
  if (request.started_ms != m_started_ms) {
    // The wall clock may have been set back between two processes.
    const bool is_earlier = request.started_ms < m_started_ms;
    if (is_earlier && m_last + kAnswerMemory > now) {
      return Seen::kOld;
    }
    m_answers.clear();
    m_forgotten = 0;
    m_started_ms = request.started_ms;
  }
  m_last = now;
  Forget(now);
  const auto found = std::ranges::find(
      m_answers, request.number,
      [](const Answer& answer) { return answer.grant.number; });
  if (found != m_answers.end()) {
    return Seen::kAnswered;
  }
  return request.number <= m_forgotten ? Seen::kOld : Seen::kNew;
}

const TokenGrant& TokenAnswers::Find(std::uint64_t number) const {
  return std::ranges::find(
             m_answers, number,
             [](const Answer& answer) { return answer.grant.number; })
      ->grant;
}

void TokenAnswers::Add(TokenGrant grant, TimePoint now) {
  m_answers.push_back({std::move(grant), now});
}

bool TokenAnswers::IsIdle(TimePoint now) const {
  return m_last + kIdleTime < now;
}

void TokenAnswers::Forget(TimePoint now) {
  while (!m_answers.empty() && (m_answers.front().sent + kAnswerMemory < now ||
                                m_answers.size() >= kMostAnswers)) {
    m_forgotten = std::max(m_forgotten, m_answers.front().grant.number);
    m_answers.pop_front();
  }
}

}  // namespace jacinthdeck
