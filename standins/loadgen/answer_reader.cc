// Checks that the hits of an answer have one version and distinct ids, and
// computes the coverage.
#include "loadgen/answer_reader.h"

#include <jansson.h>

#include <chrono>
#include <cstddef>
#include <set>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/core/outcome.h"

namespace jacinthdeck::standins {

namespace {

constexpr long kFirstClientError = 400;
constexpr long kFirstServerError = 500;

[[nodiscard]] std::uint64_t UnsignedMember(const json_t* object,
                                           const char* member) {
  const json_int_t value = json_integer_value(json_object_get(object, member));
  return value < 0 ? 0 : static_cast<std::uint64_t>(value);
}

[[nodiscard]] std::string StringMember(const json_t* object,
                                       const char* member) {
  const json_t* value = json_object_get(object, member);
  return json_is_string(value) ? std::string(json_string_value(value))
                               : std::string();
}

[[nodiscard]] double CountKeys(const json_t* ranges) {
  double keys = 0;
  for (std::size_t index = 0; index < json_array_size(ranges); ++index) {
    const json_t* range = json_array_get(ranges, index);
    keys += static_cast<double>(json_integer_value(json_array_get(range, 1)) -
                                json_integer_value(json_array_get(range, 0)));
  }
  return keys;
}

void CheckHits(const json_t* hits, Sample& sample) {
  std::set<std::string> ids;
  sample.hits = json_array_size(hits);
  for (std::size_t index = 0; index < json_array_size(hits); ++index) {
    const json_t* hit = json_array_get(hits, index);
    if (!ids.insert(StringMember(hit, "id")).second) {
      ++sample.duplicate_hits;
    }
    if (UnsignedMember(json_object_get(hit, "data"), "version") !=
        sample.version) {
      ++sample.mixed_version_hits;
    }
  }
}

[[nodiscard]] LoadOutcome OutcomeOf(long status, const std::string& outcome) {
  switch (kOutcomeNames.Find(outcome).value_or(Outcome::kUnknown)) {
    case Outcome::kWhole:
      return LoadOutcome::kWhole;
    case Outcome::kPartial:
      return LoadOutcome::kPartial;
    case Outcome::kNotRun:
      return LoadOutcome::kNotRun;
    case Outcome::kUnknown:
      break;
  }
  if (status >= kFirstClientError && status < kFirstServerError) {
    return LoadOutcome::kRejected;
  }
  return outcome.empty() ? LoadOutcome::kMalformed : LoadOutcome::kUnknown;
}

}  // namespace

void ReadAnswer(long status, const std::string& body, Sample& sample) {
  sample.status = status;
  const auto parsed = Capture([&] { return ParseJson(body, "answer"); });
  if (parsed.index() != 0) {
    sample.outcome = LoadOutcome::kMalformed;
    return;
  }
  const json_t* answer = std::get<0>(parsed).get();
  sample.outcome = OutcomeOf(status, StringMember(answer, "outcome"));
  sample.reason = StringMember(answer, "reason");
  sample.version = UnsignedMember(answer, "version");
  sample.attempts = UnsignedMember(answer, "attempts");
  sample.hedges = UnsignedMember(answer, "hedges");
  sample.retries = UnsignedMember(answer, "retries");
  sample.retry_after =
      std::chrono::milliseconds(UnsignedMember(answer, "retry_after_ms"));
  const double covered = CountKeys(json_object_get(answer, "covered"));
  const double missing = CountKeys(json_object_get(answer, "missing"));
  sample.coverage = covered + missing > 0 ? covered / (covered + missing) : 0;
  CheckHits(json_object_get(answer, "hits"), sample);
}

}  // namespace jacinthdeck::standins
