// Writes answers and errors as JSON text.
#include "jacinthdeck/typed/answer_json.h"

#include <jansson.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>

#include "jacinthdeck/core/json_ptr.h"

namespace jacinthdeck {

namespace {

//! Whether the request has run, as told to the caller, indexed by Outcome.
constexpr std::array<ExecutionStatus, 4> kExecutionStatusByOutcome{
    ExecutionStatus::kExecuted, ExecutionStatus::kExecuted,
    ExecutionStatus::kNotExecuted, ExecutionStatus::kUnknown};
//! HTTP status of the answer, indexed by Outcome.
constexpr std::array<std::uint16_t, 4> kHttpStatusByOutcome{200, 200, 503, 504};

// Writes the digits that a double needs to be read back exactly. JSON has no
// infinity or NaN, so 0 stands for them.
[[nodiscard]] std::string EncodeNumber(double value) {
  if (!std::isfinite(value)) {
    return "0";
  }
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.17g", value);
  return std::string(text.data(), static_cast<std::size_t>(length));
}

void AppendRanges(std::string& out, const std::vector<KeyRange>& ranges) {
  out += '[';
  for (const KeyRange& range : ranges) {
    if (out.back() != '[') {
      out += ',';
    }
    out += '[' + std::to_string(range.begin) + ',' + std::to_string(range.end) +
           ']';
  }
  out += ']';
}

void AppendHits(std::string& out, const std::vector<Hit>& hits) {
  out += '[';
  bool first = true;
  for (const Hit& hit : hits) {
    out += first ? "" : ",";
    first = false;
    out += R"({"id":)" + QuoteJson(hit.id) + R"(,"score":)" +
           EncodeNumber(hit.score) + R"(,"data":)" +
           (hit.data.empty() ? "null" : hit.data) + "}";
  }
  out += ']';
}

}  // namespace

std::string QuoteJson(const std::string& text) {
  const JsonPtr value(json_stringn(text.data(), text.size()));
  if (value == nullptr) {
    return "\"\"";
  }
  const std::unique_ptr<char, decltype(&std::free)> quoted(
      json_dumps(value.get(), JSON_ENCODE_ANY | JSON_COMPACT), &std::free);
  return quoted == nullptr ? "\"\"" : quoted.get();
}

EncodedAnswer EncodeAnswer(const std::string& request_id,
                           const Answer& answer) {
  const auto outcome = static_cast<std::size_t>(answer.outcome);
  std::string out = R"({"request_id":)" + QuoteJson(request_id);
  out += R"(,"outcome":")" + std::string(kOutcomeNames.Name(answer.outcome));
  out += R"(","reason":")" +
         std::string(kAnswerReasonNames.Name(answer.reason)) + '"';
  if (answer.version) {
    out += R"(,"version":)" + std::to_string(answer.version->raw());
  }
  out += R"(,"covered":)";
  AppendRanges(out, answer.covered);
  out += R"(,"missing":)";
  AppendRanges(out, answer.missing);
  out += R"(,"hits":)";
  AppendHits(out, answer.hits);
  out += R"(,"count":)" + std::to_string(answer.count);
  out += R"(,"attempts":)" + std::to_string(answer.attempts);
  out += R"(,"hedges":)" + std::to_string(answer.hedges);
  out += R"(,"retries":)" + std::to_string(answer.retries);
  out += R"(,"ran":")" +
         std::string(
             kExecutionStatusNames.Name(kExecutionStatusByOutcome[outcome])) +
         '"';
  if (answer.retry_after) {
    out += R"(,"retry_after_ms":)" +
           std::to_string(
               std::chrono::ceil<std::chrono::milliseconds>(*answer.retry_after)
                   .count());
  }
  out += '}';
  return EncodedAnswer{kHttpStatusByOutcome[outcome], std::move(out)};
}

std::string EncodeError(const Error& error, ExecutionStatus status) {
  return R"({"error":{"code":")" +
         std::string(kErrorCodeNames.Name(error.code)) + R"(","field":)" +
         QuoteJson(error.subject) + R"(,"message":)" +
         QuoteJson(error.message) + R"(},"ran":")" +
         std::string(kExecutionStatusNames.Name(status)) + R"("})";
}

}  // namespace jacinthdeck
