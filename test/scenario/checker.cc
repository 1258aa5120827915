// What must hold for answers and runs.
#include "scenario/checker.h"

#include <algorithm>
#include <vector>

#include "scenario/world.h"

namespace jacinthdeck::scenario {

namespace {

//! An answer at the deadline may come this much after it.
constexpr Duration kLate = std::chrono::milliseconds(5);

}  // namespace

void Checker::Check() {
  CheckRuns();
  CheckAnswers();
  CheckStoredConfig();
  CheckChanges();
  CheckNodes();
  if (!m_world.targets().late_work().empty()) {
    throw ScenarioFailure("new work for a target that left: " +
                          m_world.targets().late_work());
  }
}

void Checker::CheckRuns() {
  for (; m_calls < m_world.calls().size(); ++m_calls) {
    const CallRecord& call = *m_world.calls()[m_calls];
    ++m_times_submitted[call.body];
    // Whoever comes again wants it run; the refusal of a request id is final.
    if (!call.once) {
      m_told_not_run.erase(call.body);
    }
  }
  const auto& runs = m_world.targets().runs();
  for (; m_runs < runs.size(); ++m_runs) {
    const std::string& body = runs[m_runs].body;
    const std::size_t times = ++m_times_run[body];
    const bool once = body.find("\"by\"") != std::string::npos;
    if (once && times > 1) {
      throw ScenarioFailure("ran twice: " + body);
    }
    if (m_told_not_run.contains(body)) {
      throw ScenarioFailure("ran after \"not run\" was told: " + body);
    }
  }
}

void Checker::CheckAnswers() {
  for (std::size_t id = 0; id < m_calls; ++id) {
    const CallRecord& call = *m_world.calls()[id];
    if (call.answers > 0 && m_answered.insert(id).second) {
      CheckAnswer(call);
    }
  }
}

void Checker::CheckAnswer(const CallRecord& call) {
  CheckTime(call);
  if (call.outcome == "not_run") {
    CheckRefusal(call);
  }
  if (call.in_flight_at_drain && call.reason == "draining") {
    throw ScenarioFailure("a drain cut off: " + call.body);
  }
  if (!call.answer || (call.answer->outcome != Outcome::kWhole &&
                       call.answer->outcome != Outcome::kPartial)) {
    return;
  }
  CheckCoverage(call, *call.answer);
  if (!call.once) {
    CheckHits(*call.answer);
  }
}

void Checker::CheckTime(const CallRecord& call) const {
  if (!call.paused && call.answered > call.deadline + kLate) {
    throw ScenarioFailure("answered after its deadline: " + call.body);
  }
}

void Checker::CheckRefusal(const CallRecord& call) {
  // A body that several callers share tells nothing about one of them.
  if (!call.once && m_times_submitted[call.body] > 1) {
    return;
  }
  if (m_times_run[call.body] > 0) {
    throw ScenarioFailure("told \"not run\" (" + call.reason +
                          ") and had run: " + call.body);
  }
  m_told_not_run.insert(call.body);
}

// Covered and missing together are exactly the ranges asked for.
void Checker::CheckCoverage(const CallRecord& call,
                            const Answer& answer) const {
  std::vector<KeyRange> ranges = answer.covered;
  ranges.insert(ranges.end(), answer.missing.begin(), answer.missing.end());
  std::ranges::sort(ranges);
  if (call.key) {
    if (ranges.size() != 1 || !ranges.front().Contains(*call.key)) {
      throw ScenarioFailure("covers another range than asked: " + call.body);
    }
  } else {
    std::uint64_t next = 0;
    for (const KeyRange& range : ranges) {
      if (range.begin != next) {
        throw ScenarioFailure("coverage has a gap or an overlap: " + call.body);
      }
      next = range.end;
    }
    if (next != kKeySpaceEnd) {
      throw ScenarioFailure("coverage ends early: " + call.body);
    }
  }
  const bool whole = answer.outcome == Outcome::kWhole;
  if (whole != answer.missing.empty()) {
    throw ScenarioFailure("marked wrongly as whole or partial: " + call.body);
  }
}

// The hits are those of the covered ranges in the one version, each once.
void Checker::CheckHits(const Answer& answer) const {
  std::vector<Hit> expected;
  for (const KeyRange& range : answer.covered) {
    const auto items = m_world.dataset().Items(*answer.version, range);
    expected.insert(expected.end(), items.begin(), items.end());
  }
  std::ranges::sort(expected, {}, &Hit::id);
  std::vector<Hit> got = answer.hits;
  std::ranges::sort(got, {}, &Hit::id);
  if (got != expected) {
    throw ScenarioFailure(
        "the hits are not those of the covered ranges in version " +
        std::to_string(answer.version->raw()));
  }
}

void Checker::CheckEnd() const {
  for (const auto& call : m_world.calls()) {
    if (!call->lost && call->answers == 0) {
      throw ScenarioFailure("never answered: " + call->body);
    }
  }
}

}  // namespace jacinthdeck::scenario
