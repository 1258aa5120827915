// Prints the tables of losses. Each column is a kind of loss, each row a
// window, a route with a reason, or a sequence of attempts.
#include "ctl/loss_summary.h"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <string_view>
#include <utility>
#include <vector>

#include "ctl/log_lines.h"

namespace jacinthdeck::ctl {

namespace {

//! Length of a window in milliseconds. Losses come in bursts of one or two
//! seconds.
constexpr json_int_t kWindowMs = 2000;
constexpr int kNameWidth = 44;
constexpr int kCountWidth = 16;

[[nodiscard]] json_int_t WindowOf(const json_t& line) {
  const json_int_t unix_ms = IntegerField(&line, "unix_ms");
  return unix_ms - unix_ms % kWindowMs;
}

//! Returns the event of a line with its status and problem. Addresses and ids
//! are left out, so that equal events are counted together.
[[nodiscard]] std::string EventKindOf(const json_t& line) {
  std::string kind(StringField(&line, "event"));
  for (const char* field : {"status", "problem"}) {
    const std::string_view value = StringField(&line, field);
    kind += value.empty() ? "" : " " + std::string(value);
  }
  return kind;
}

//! Returns the reasons and outcomes of the attempts at a shard, in the order in
//! which they were sent.
[[nodiscard]] std::string AttemptsOf(const json_t& line, json_int_t shard) {
  std::vector<std::pair<double, std::string>> sent;
  const json_t* attempts = json_object_get(&line, "attempts");
  for (std::size_t i = 0; i < json_array_size(attempts); ++i) {
    const json_t* attempt = json_array_get(attempts, i);
    if (IntegerField(attempt, "shard") == shard) {
      sent.emplace_back(json_number_value(json_object_get(attempt, "sent_ms")),
                        std::string(StringField(attempt, "reason")) + " " +
                            std::string(StringField(attempt, "outcome")));
    }
  }
  std::ranges::stable_sort(sent, {}, &std::pair<double, std::string>::first);
  std::string text;
  for (const auto& [sent_ms, attempt] : sent) {
    text += (text.empty() ? "" : ", ") + attempt;
  }
  return text.empty() ? "none" : text;
}

void PrintName(const std::string& name, std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << name << std::right;
}

void PrintHeader(const std::string& name, std::ostream& out) {
  PrintName(name, out);
  for (const std::string_view loss : kLossNames.names) {
    out << std::setw(kCountWidth) << loss;
  }
  out << "\n";
}

template <typename Counts>
void PrintRow(const std::string& name,
              const Counts& counts,
              std::ostream& out) {
  PrintName(name, out);
  for (const std::uint64_t count : counts) {
    out << std::setw(kCountWidth) << count;
  }
  out << "\n";
}

}  // namespace

void LossSummary::Add(const json_t& line) {
  const json_int_t window = WindowOf(line);
  m_first_window = std::min(m_first_window.value_or(window), window);
  const auto loss = kLossNames.Find(StringField(&line, "event"));
  if (!loss) {
    if (StringField(&line, "event") != "call_done") {
      ++m_other_events[EventKindOf(line)][window];
    }
    return;
  }
  const auto column = static_cast<std::size_t>(*loss);
  ++m_losses_by_window[window][column];
  // Abandoned calls, and calls that are refused before their route is known,
  // are logged without a route. Abandoned calls have no reason either: the
  // caller has left.
  const std::string route(StringField(&line, "route"));
  const std::string reason(StringField(&line, "reason"));
  ++m_losses_by_route[route.empty() ? "unknown" : route]
                     [reason.empty() ? "left" : reason][column];
  if (*loss == Loss::kPartial || *loss == Loss::kFailed) {
    AddMissingShards(line);
  }
}

void LossSummary::AddMissingShards(const json_t& line) {
  const json_t* missing = json_object_get(&line, "missing_shards");
  for (std::size_t i = 0; i < json_array_size(missing); ++i) {
    const json_int_t shard = json_integer_value(json_array_get(missing, i));
    ++m_missing_shards_by_attempts[AttemptsOf(line, shard)];
  }
}

void LossSummary::Print(std::ostream& out) const {
  const json_int_t first = m_first_window.value_or(0);
  PrintHeader("losses by window (seconds from the first)", out);
  for (const auto& [window, losses] : m_losses_by_window) {
    PrintRow(std::to_string((window - first) / 1000), losses, out);
  }
  out << "\n";
  PrintHeader("losses by route and reason", out);
  for (const auto& [route, by_reason] : m_losses_by_route) {
    for (const auto& [reason, losses] : by_reason) {
      std::string name = route;
      name.append(" ").append(reason);
      PrintRow(name, losses, out);
    }
  }
  out << "\nmissing shards by the attempts they had\n";
  for (const auto& [attempts, count] : m_missing_shards_by_attempts) {
    PrintRow(attempts, std::array{count}, out);
  }
  out << "\nother events (total; most in one window, and when)\n";
  for (const auto& [kind, by_window] : m_other_events) {
    const auto most = std::ranges::max_element(
        by_window, {}, [](const auto& item) { return item.second; });
    std::uint64_t total = 0;
    for (const auto& [window, count] : by_window) {
      total += count;
    }
    PrintName(kind, out);
    out << std::setw(kCountWidth) << total << std::setw(kCountWidth)
        << most->second << std::setw(kCountWidth)
        << (most->first - first) / 1000 << "\n";
  }
}

}  // namespace jacinthdeck::ctl
