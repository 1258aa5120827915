// An operator's change as the operators' port takes it.
#include "jacinthdeck/runtime/change_request.h"

#include <cstdint>
#include <utility>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck {

namespace {

constexpr std::size_t kMaxOperationLength = 128;

[[nodiscard]] Result<ConfigContent> ReadContent(const JsonReader& root) {
  ConfigContent content;
  BOOST_LEAF_ASSIGN(content.schema, root.String("schema"));
  BOOST_LEAF_CHECK(Schema::Parse(content.schema));
  if (root.Has("settings")) {
    BOOST_LEAF_AUTO(settings, root.Object("settings"));
    for (const std::string& name : settings.Names()) {
      BOOST_LEAF_AUTO(value, settings.String(name));
      content.settings[name] = std::move(value);
    }
  }
  return content;
}

}  // namespace

Result<ConfigChange> ReadChangeRequest(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "body"));
  const JsonReader root(json.get(), "body");
  ConfigChange change;
  BOOST_LEAF_AUTO(operation, root.String("operation"));
  if (operation.empty() || operation.size() > kMaxOperationLength) {
    return Fail(ErrorCode::kInvalidArgument, "operation",
                "expected 1 to 128 characters");
  }
  change.operation = OperationId(std::move(operation));
  BOOST_LEAF_AUTO(expected, root.Unsigned("expected", INT64_MAX));
  change.expected = Revision(expected);
  if (root.Has("rollback_to")) {
    BOOST_LEAF_AUTO(rollback, root.Unsigned("rollback_to", INT64_MAX));
    change.rollback_to = Revision(rollback);
    return change;
  }
  BOOST_LEAF_ASSIGN(change.content, ReadContent(root));
  return change;
}

}  // namespace jacinthdeck
