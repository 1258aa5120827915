// Parses the headers and the JSON body of `POST /query`.
#include "target/target_query.h"

#include <jansson.h>

#include <cstdint>
#include <limits>
#include <vector>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::standins {

namespace {

[[nodiscard]] Result<KeyRange> ReadRange(const JsonReader& body) {
  BOOST_LEAF_AUTO(bounds, body.Array("range"));
  if (bounds.size() != 2) {
    return Fail(ErrorCode::kCorrupt, "range", "must have two bounds");
  }
  KeyRange range;
  BOOST_LEAF_ASSIGN(range.begin, bounds[0].AsUnsigned(kKeySpaceEnd));
  BOOST_LEAF_ASSIGN(range.end, bounds[1].AsUnsigned(kKeySpaceEnd));
  return range;
}

}  // namespace

Result<TargetQuery> ReadTargetQuery(const HttpRequest& request) {
  TargetQuery query;
  const auto attempt = request.headers.find("x-attempt");
  const auto remaining_ms = request.HeaderNumber("x-deadline-ms");
  if (attempt == request.headers.end() || !remaining_ms) {
    return Fail(ErrorCode::kCorrupt, "headers",
                "lack X-Attempt or X-Deadline-Ms");
  }
  query.attempt = attempt->second;
  query.headers = ReadAccountHeaders(request);
  query.deadline = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(*remaining_ms);
  BOOST_LEAF_AUTO(json, ParseJson(request.body, "query"));
  const JsonReader body(json.get(), "query");
  BOOST_LEAF_ASSIGN(query.method, body.String("method"));
  BOOST_LEAF_ASSIGN(query.range, ReadRange(body));
  BOOST_LEAF_AUTO(
      version,
      body.Unsigned("version", std::numeric_limits<std::int64_t>::max()));
  query.version = IndexVersion(version);
  BOOST_LEAF_AUTO(request_json, body.Object("request"));
  query.request_text = DumpJson(*request_json.raw());
  query.request.reset(json_deep_copy(request_json.raw()));
  return query;
}

}  // namespace jacinthdeck::standins
