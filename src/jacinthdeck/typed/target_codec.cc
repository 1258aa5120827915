// Writes requests to targets as JSON text and reads their replies with jansson.
#include "jacinthdeck/typed/target_codec.h"

#include <jansson.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "jacinthdeck/core/json_ptr.h"

namespace jacinthdeck {

namespace {

constexpr long kStatusOk = 200;

/*! \brief A reply by which a target states that it has not run the request. */
struct Refusal {
  long status;
  //! Value of `error` in the body. The status alone proves nothing: a target
  //! whose own back end failed may return it after it ran the request.
  std::string_view error;
  AttemptStatus meaning;
};

constexpr std::string_view kDraining = "draining";
constexpr std::array<Refusal, 5> kRefusals{
    {{409, "wrong_range", AttemptStatus::kWrongRange},
     {410, "version_gone", AttemptStatus::kVersionGone},
     {503, "shed", AttemptStatus::kShed},
     {503, kDraining, AttemptStatus::kShed},
     {503, "cold", AttemptStatus::kShed}}};

[[nodiscard]] std::optional<std::uint64_t> ReadUnsigned(const json_t* value) {
  if (!json_is_integer(value) || json_integer_value(value) < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(json_integer_value(value));
}

// Used instead of DumpJson(), which sorts the members: this runs for every hit.
[[nodiscard]] std::string DumpUnsorted(const json_t* value) {
  const std::unique_ptr<char, decltype(&std::free)> text(
      json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY), &std::free);
  return text == nullptr ? "null" : text.get();
}

[[nodiscard]] bool ReadHits(const json_t* hits, std::vector<Hit>& out) {
  std::size_t index = 0;
  const json_t* item = nullptr;
  json_array_foreach(hits, index, item) {
    const json_t* id = json_object_get(item, "id");
    const json_t* score = json_object_get(item, "score");
    if (!json_is_string(id) || !json_is_number(score)) {
      return false;
    }
    out.push_back(Hit{json_string_value(id), json_number_value(score),
                      DumpUnsorted(json_object_get(item, "data"))});
  }
  return hits == nullptr || json_is_array(hits);
}

[[nodiscard]] bool ReadAnswer(const json_t* root, AttemptReply& reply) {
  const auto version = ReadUnsigned(json_object_get(root, "version"));
  const json_t* range = json_object_get(root, "range");
  const auto begin = ReadUnsigned(json_array_get(range, 0));
  const auto end = ReadUnsigned(json_array_get(range, 1));
  if (!version || !begin || !end) {
    return false;
  }
  reply.version = IndexVersion(*version);
  reply.range = KeyRange{*begin, *end};
  reply.count = ReadUnsigned(json_object_get(root, "count")).value_or(0);
  return ReadHits(json_object_get(root, "hits"), reply.hits);
}

[[nodiscard]] AttemptStatus ToAttemptStatus(long status,
                                            std::string_view error) noexcept {
  if (status == kStatusOk) {
    return AttemptStatus::kAnswered;
  }
  const auto* const refusal =
      std::ranges::find_if(kRefusals, [&](const Refusal& candidate) {
        return candidate.status == status && candidate.error == error;
      });
  return refusal == kRefusals.end() ? AttemptStatus::kFailed : refusal->meaning;
}

}  // namespace

std::string EncodeTargetRequest(const SendAttempt& attempt) {
  // Nothing needs escaping: the request is already canonical JSON, and names of
  // methods are identifiers.
  return R"({"method":")" + attempt.method->name + R"(","version":)" +
         std::to_string(attempt.version.raw()) + R"(,"range":[)" +
         std::to_string(attempt.range.begin) + "," +
         std::to_string(attempt.range.end) + R"(],"request":)" + *attempt.body +
         "}";
}

AttemptReply DecodeTargetReply(AttemptId attempt,
                               long status,
                               const std::string& body) {
  AttemptReply reply;
  reply.attempt = attempt;
  const JsonPtr root(json_loadb(body.data(), body.size(), 0, nullptr));
  const json_t* error = json_object_get(root.get(), "error");
  const std::string_view error_name =
      json_is_string(error) ? json_string_value(error) : "";
  reply.status = ToAttemptStatus(status, error_name);
  const json_t* load = json_object_get(root.get(), "load");
  if (json_is_number(load)) {
    reply.reported_load = json_number_value(load);
  }
  reply.draining =
      reply.status == AttemptStatus::kShed && error_name == kDraining;
  if (reply.status == AttemptStatus::kAnswered &&
      !ReadAnswer(root.get(), reply)) {
    reply.status = AttemptStatus::kFailed;
    reply.hits.clear();
  }
  return reply;
}

}  // namespace jacinthdeck
