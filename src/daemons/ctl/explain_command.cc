// Log lines are JSON objects; what stands before the first brace is passed
// over, since collectors put their own words there.
#include "ctl/explain_command.h"

#include <jansson.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <string_view>

namespace jacinthdeck::ctl {

namespace {

//! Events that tell what a host believed; the last of each kind is shown.
constexpr std::array<std::string_view, 9> kBeliefs{
    "started",        "readiness",      "store_lost",
    "store_regained", "config_applied", "targets_changed",
    "hosts_changed",  "paused",         "lines_dropped"};

struct Line {
  json_int_t unix_ms = 0;
  std::string host;
  std::string file;
  JsonPtr json;
};

struct Story {
  std::vector<Line> lines;
  //! By file and event: the last belief before the request's line.
  std::vector<Line> beliefs;
  std::size_t read = 0;
  std::size_t unreadable = 0;
};

[[nodiscard]] std::string_view TextOf(const json_t* json, const char* name) {
  const json_t* value = json_object_get(json, name);
  return json_is_string(value) ? std::string_view(json_string_value(value))
                               : std::string_view();
}

[[nodiscard]] JsonPtr ParseLine(const std::string& text) {
  const std::size_t brace = text.find('{');
  if (brace == text.npos) {
    return nullptr;
  }
  return JsonPtr(
      json_loadb(text.data() + brace, text.size() - brace, 0, nullptr));
}

[[nodiscard]] Line Copy(const json_t* json, const std::string& file) {
  return {json_integer_value(json_object_get(json, "unix_ms")),
          std::string(TextOf(json, "host")), file,
          JsonPtr(json_deep_copy(json))};
}

void ReadLog(std::istream& in,
             const std::string& file,
             const std::string& request,
             Story& story) {
  //! By host, then by event.
  std::map<std::string, std::map<std::string, Line>> beliefs;
  std::string text;
  while (std::getline(in, text)) {
    ++story.read;
    const JsonPtr json = ParseLine(text);
    const std::string_view event = TextOf(json.get(), "event");
    if (event.empty()) {
      ++story.unreadable;
      continue;
    }
    if (std::ranges::find(kBeliefs, event) != kBeliefs.end()) {
      Line line = Copy(json.get(), file);
      beliefs[line.host].insert_or_assign(std::string(event), std::move(line));
    }
    if (TextOf(json.get(), "request") != request) {
      continue;
    }
    Line told = Copy(json.get(), file);
    for (const auto& [name, line] : beliefs[told.host]) {
      story.beliefs.push_back(Copy(line.json.get(), file));
    }
    beliefs.erase(told.host);
    story.lines.push_back(std::move(told));
  }
}

//! With as many digits as the log had.
[[nodiscard]] std::string Shown(const json_t* value) {
  constexpr std::size_t kDigits = 10;
  const std::unique_ptr<char, decltype(&std::free)> text(
      json_dumps(value,
                 JSON_COMPACT | JSON_ENCODE_ANY | JSON_REAL_PRECISION(kDigits)),
      &std::free);
  return text == nullptr ? std::string() : std::string(text.get());
}

void PrintLine(const Line& line, std::ostream& out) {
  out << line.unix_ms << "  " << line.host << "  " << line.file << "  "
      << TextOf(line.json.get(), "event") << "\n";
  const char* name = nullptr;
  json_t* value = nullptr;
  json_object_foreach(line.json.get(), name, value) {
    const std::string_view field(name);
    if (field == "unix_ms" || field == "event" || field == "uptime_clock_ms" ||
        field == "host" || field == "attempts") {
      continue;
    }
    out << "    " << name << " " << Shown(value) << "\n";
  }
  const json_t* attempts = json_object_get(line.json.get(), "attempts");
  for (std::size_t i = 0; i < json_array_size(attempts); ++i) {
    out << "    attempt " << Shown(json_array_get(attempts, i)) << "\n";
  }
}

void Print(const Story& story, std::ostream& out) {
  out << "what its hosts believed before\n";
  for (const Line& line : story.beliefs) {
    PrintLine(line, out);
  }
  out << "the request\n";
  for (const Line& line : story.lines) {
    PrintLine(line, out);
  }
}

}  // namespace

ExitCode Explain(Session& session, const std::vector<std::string>& operands) {
  Story story;
  for (std::size_t i = 1; i < operands.size(); ++i) {
    std::ifstream file(operands[i]);
    if (!file) {
      return session.Fail(ExitCode::kUsage, operands[i] + ": cannot be read",
                          "name the hosts' log files");
    }
    ReadLog(file, operands[i], operands[0], story);
  }
  const auto by_time = [](const Line& left, const Line& right) {
    return left.unix_ms < right.unix_ms;
  };
  std::ranges::stable_sort(story.lines, by_time);
  std::ranges::stable_sort(story.beliefs, by_time);
  if (story.unreadable > 0) {
    session.out() << story.unreadable << " of " << story.read
                  << " lines could not be read\n";
  }
  if (story.lines.empty()) {
    return session.Fail(
        ExitCode::kFailed, "no line tells of " + operands[0],
        "good requests are sampled: look at the metrics of the hosts");
  }
  Print(story, session.out());
  return ExitCode::kDone;
}

}  // namespace jacinthdeck::ctl
