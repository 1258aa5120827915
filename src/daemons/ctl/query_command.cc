// Sends one request and prints the answer as text or JSON.
#include "ctl/query_command.h"

#include <jansson.h>

#include <algorithm>
#include <iomanip>
#include <optional>
#include <variant>

#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/query/key_range.h"

namespace jacinthdeck::ctl {

namespace {

constexpr const char* kMayHaveRun = "; it may or may not have run";
constexpr const char* kCheckEffect =
    "check whether it took effect before sending it again: it may run twice";

[[nodiscard]] ClientRequest MakeCall(const Arguments& arguments,
                                     const std::vector<std::string>& operands) {
  ClientRequest call{"POST", "/v1/" + operands[0], operands[1]};
  if (!arguments.tenant.empty()) {
    call.headers.push_back({"X-Tenant", arguments.tenant});
  }
  if (!arguments.request_id.empty()) {
    call.headers.push_back({"X-Request-Id", arguments.request_id});
  }
  if (arguments.deadline_ms) {
    call.headers.push_back(
        {"X-Deadline-Ms", std::to_string(*arguments.deadline_ms)});
  }
  return call;
}

[[nodiscard]] std::uint64_t CountKeys(const json_t* ranges) {
  std::uint64_t keys = 0;
  for (std::size_t index = 0; index < json_array_size(ranges); ++index) {
    const json_t* range = json_array_get(ranges, index);
    const auto begin = json_integer_value(json_array_get(range, 0));
    const auto end = json_integer_value(json_array_get(range, 1));
    keys += static_cast<std::uint64_t>(end - begin);
  }
  return keys;
}

[[nodiscard]] std::string Text(const json_t& answer, const char* member) {
  const json_t* value = json_object_get(&answer, member);
  if (value == nullptr || json_is_null(value)) {
    return "-";
  }
  return json_is_string(value) ? std::string(json_string_value(value))
                               : DumpJson(*value);
}

void PrintHits(const json_t* hits, std::ostream& out) {
  for (std::size_t index = 0; index < json_array_size(hits); ++index) {
    const json_t* hit = json_array_get(hits, index);
    out << "  " << Text(*hit, "id") << "  " << std::fixed
        << std::setprecision(3)
        << json_number_value(json_object_get(hit, "score")) << "  "
        << Text(*hit, "data") << "\n";
  }
}

void PrintAnswer(const json_t& answer, std::ostream& out) {
  const std::uint64_t covered = CountKeys(json_object_get(&answer, "covered"));
  const std::uint64_t missing = CountKeys(json_object_get(&answer, "missing"));
  out << "outcome   " << Text(answer, "outcome") << "\n";
  if (Text(answer, "reason") != "none") {
    out << "reason    " << Text(answer, "reason") << "\n";
  }
  out << "ran       " << Text(answer, "ran") << "\n"
      << "version   " << Text(answer, "version") << "\n";
  if (covered + missing > 0) {
    const double share = 100.0 * static_cast<double>(covered) /
                         static_cast<double>(covered + missing);
    out << "coverage  " << std::fixed << std::setprecision(2) << share
        << "% of the keys asked for\n";
  }
  if (missing > 0) {
    out << "missing   " << Text(answer, "missing") << "\n";
  }
  out << "attempts  " << Text(answer, "attempts") << " (hedges "
      << Text(answer, "hedges") << ", retries " << Text(answer, "retries")
      << ")\n"
      << "count     " << Text(answer, "count") << "\n"
      << "hits\n";
  PrintHits(json_object_get(&answer, "hits"), out);
}

[[nodiscard]] std::string NextStep(const json_t& answer) {
  const json_t* after = json_object_get(&answer, "retry_after_ms");
  return json_is_integer(after)
             ? "come back in " + std::to_string(json_integer_value(after)) +
                   " ms, or send it to another address of `entries`"
             : "send it to another address of `entries`";
}

ExitCode Report(Session& session, const HostReply& reply) {
  const auto outcome = kOutcomeNames.Find(Text(*reply.body, "outcome"));
  if (!outcome) {
    return session.FailReply(reply);
  }
  if (session.arguments().json) {
    session.Print(*reply.body);
  } else {
    PrintAnswer(*reply.body, session.out());
  }
  switch (*outcome) {
    case Outcome::kWhole:
      return ExitCode::kDone;
    case Outcome::kPartial:
      return ExitCode::kPartial;
    case Outcome::kNotRun:
      return session.Fail(ExitCode::kRefused, "refused and not run",
                          NextStep(*reply.body));
    case Outcome::kUnknown:
      break;
  }
  return session.Fail(ExitCode::kUnknown,
                      std::string("the outcome is unknown") + kMayHaveRun,
                      kCheckEffect);
}

}  // namespace

ExitCode Query(Session& session, const std::vector<std::string>& operands) {
  const auto& call_name = operands[0];
  if (std::ranges::count(call_name, '/') != 1 || call_name.front() == '/' ||
      call_name.back() == '/') {
    return session.Fail(ExitCode::kUsage,
                        call_name + ": is not of the form SERVICE/METHOD",
                        "see `schema show` for the services and methods");
  }
  const auto result = Capture([&] {
    return session.Call(session.arguments().queries,
                        MakeCall(session.arguments(), operands));
  });
  if (const auto* error = std::get_if<Error>(&result)) {
    // The request may have been executed and its reply lost, which causes the
    // same error, so it must not be reported as not executed.
    return session.Fail(ExitCode::kUnknown,
                        error->subject + ": " + error->message + kMayHaveRun,
                        kCheckEffect);
  }
  return Report(session, std::get<0>(result));
}

}  // namespace jacinthdeck::ctl
