// Prints the log lines of one request, or the summary of all losses.
#include "ctl/explain_command.h"

#include <jansson.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>

#include "ctl/log_lines.h"
#include "ctl/loss_summary.h"

namespace jacinthdeck::ctl {

namespace {

//! Events that describe the state of a host. Of each, the last one before the
//! request is shown.
constexpr std::array<std::string_view, 9> kStateEvents{
    "started",        "readiness",      "store_lost",
    "store_regained", "config_applied", "targets_changed",
    "hosts_changed",  "paused",         "lines_dropped"};

struct Line {
  json_int_t unix_ms = 0;
  std::string host;
  std::string file;
  JsonPtr json;
};

struct RequestReport {
  std::vector<Line> lines;
  //! Lines on the state of the host before a line of the request: the last one
  //! of each event in the same file.
  std::vector<Line> state_lines;
  LineCounts counts;
};

[[nodiscard]] Line MakeLine(const json_t* json, const std::string& file) {
  return {IntegerField(json, "unix_ms"), std::string(StringField(json, "host")),
          file, JsonPtr(json_deep_copy(json))};
}

void ReadLog(std::istream& in,
             const std::string& file,
             const std::string& request,
             RequestReport& report) {
  // Last line on the state of a host, by host, then by event.
  std::map<std::string, std::map<std::string, Line>> state_lines;
  ReadLines(in, report.counts, [&](const json_t& json) {
    const std::string_view event = StringField(&json, "event");
    if (std::ranges::find(kStateEvents, event) != kStateEvents.end()) {
      Line line = MakeLine(&json, file);
      state_lines[line.host].insert_or_assign(std::string(event),
                                              std::move(line));
    }
    if (StringField(&json, "request") != request) {
      return;
    }
    Line request_line = MakeLine(&json, file);
    for (const auto& [name, line] : state_lines[request_line.host]) {
      report.state_lines.push_back(MakeLine(line.json.get(), file));
    }
    // Each state line is reported once, before the first line of the request
    // that follows it.
    state_lines.erase(request_line.host);
    report.lines.push_back(std::move(request_line));
  });
}

//! Returns a JSON value as text, with real numbers rounded to the precision of
//! the log.
[[nodiscard]] std::string ToText(const json_t* value) {
  constexpr std::size_t kDigits = 10;
  const std::unique_ptr<char, decltype(&std::free)> text(
      json_dumps(value,
                 JSON_COMPACT | JSON_ENCODE_ANY | JSON_REAL_PRECISION(kDigits)),
      &std::free);
  return text == nullptr ? std::string() : std::string(text.get());
}

void PrintLine(const Line& line, std::ostream& out) {
  out << line.unix_ms << "  " << line.host << "  " << line.file << "  "
      << StringField(line.json.get(), "event") << "\n";
  const char* name = nullptr;
  json_t* value = nullptr;
  json_object_foreach(line.json.get(), name, value) {
    const std::string_view field(name);
    if (field == "unix_ms" || field == "event" || field == "uptime_clock_ms" ||
        field == "host" || field == "attempts") {
      continue;
    }
    out << "    " << name << " " << ToText(value) << "\n";
  }
  const json_t* attempts = json_object_get(line.json.get(), "attempts");
  for (std::size_t i = 0; i < json_array_size(attempts); ++i) {
    out << "    attempt " << ToText(json_array_get(attempts, i)) << "\n";
  }
}

void Print(const RequestReport& report, std::ostream& out) {
  out << "what its hosts believed before\n";
  for (const Line& line : report.state_lines) {
    PrintLine(line, out);
  }
  out << "the request\n";
  for (const Line& line : report.lines) {
    PrintLine(line, out);
  }
}

/**
 * \brief Opens each file and passes it to a callback with its name.
 * \return The name of the first file that cannot be opened, where reading
 * stops; empty if all were read.
 */
[[nodiscard]] std::string ForEachFile(
    std::span<const std::string> names,
    const std::function<void(std::istream&, const std::string&)>& read) {
  for (const std::string& name : names) {
    std::ifstream file(name);
    if (!file) {
      return name;
    }
    read(file, name);
  }
  return {};
}

void PrintUnreadableCount(const LineCounts& counts, std::ostream& out) {
  if (counts.unreadable > 0) {
    out << counts.unreadable << " of " << counts.read
        << " lines could not be read\n";
  }
}

ExitCode FailUnreadableFile(Session& session, const std::string& name) {
  return session.Fail(ExitCode::kUsage, name + ": cannot be read",
                      "give the paths of the hosts' log files");
}

ExitCode Summarize(Session& session, std::span<const std::string> names) {
  LossSummary summary;
  LineCounts counts;
  const std::string unreadable_file =
      ForEachFile(names, [&](std::istream& in, const std::string&) {
        ReadLines(in, counts, [&](const json_t& line) { summary.Add(line); });
      });
  if (!unreadable_file.empty()) {
    return FailUnreadableFile(session, unreadable_file);
  }
  PrintUnreadableCount(counts, session.out());
  summary.Print(session.out());
  return ExitCode::kDone;
}

ExitCode PrintRequest(Session& session,
                      const std::string& request,
                      std::span<const std::string> names) {
  RequestReport report;
  const std::string unreadable_file =
      ForEachFile(names, [&](std::istream& in, const std::string& name) {
        ReadLog(in, name, request, report);
      });
  if (!unreadable_file.empty()) {
    return FailUnreadableFile(session, unreadable_file);
  }
  const auto by_time = [](const Line& left, const Line& right) {
    return left.unix_ms < right.unix_ms;
  };
  std::ranges::stable_sort(report.lines, by_time);
  std::ranges::stable_sort(report.state_lines, by_time);
  PrintUnreadableCount(report.counts, session.out());
  if (report.lines.empty()) {
    return session.Fail(ExitCode::kFailed,
                        "no log line has the request id " + request,
                        "logs hold only a sample of the successful requests: "
                        "look at the metrics of the hosts");
  }
  Print(report, session.out());
  return ExitCode::kDone;
}

}  // namespace

ExitCode Explain(Session& session, const std::vector<std::string>& operands) {
  const std::span<const std::string> words(operands);
  if (session.arguments().summary) {
    return Summarize(session, words);
  }
  if (words.size() < 2) {
    return session.Fail(
        ExitCode::kUsage, "explain: no log file",
        "give the request id and the paths of the hosts' log files");
  }
  return PrintRequest(session, words.front(), words.subspan(1));
}

}  // namespace jacinthdeck::ctl
