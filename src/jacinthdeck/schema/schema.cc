// Reads the services of a schema and looks up their calls.
#include "jacinthdeck/schema/schema.h"

#include <algorithm>
#include <utility>

#include "jacinthdeck/schema/method_reader.h"
#include "jacinthdeck/schema/request_parser.h"

namespace jacinthdeck {

Schema::Schema(std::unique_ptr<internal::RequestParser> parser,
               std::vector<std::shared_ptr<const Method>> methods)
    : m_parser(std::move(parser)), m_methods(std::move(methods)) {}

Schema::Schema(Schema&&) noexcept = default;
Schema& Schema::operator=(Schema&&) noexcept = default;
Schema::~Schema() = default;

Result<Schema> Schema::Parse(const std::string& text) {
  auto parser = std::make_unique<internal::RequestParser>();
  BOOST_LEAF_CHECK(parser->ReadSchema(text));
  std::vector<std::shared_ptr<const Method>> methods;
  for (const flatbuffers::ServiceDef* service : parser->services().vec) {
    for (const flatbuffers::RPCCall* call : service->calls.vec) {
      BOOST_LEAF_AUTO(method, internal::ReadMethod(*service, *call));
      methods.push_back(std::make_shared<const Method>(std::move(method)));
    }
  }
  if (methods.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "line 1",
                "the schema declares no rpc_service");
  }
  std::ranges::sort(methods, [](const auto& a, const auto& b) {
    return a->service != b->service ? a->service < b->service
                                    : a->name < b->name;
  });
  return Schema(std::move(parser), std::move(methods));
}

const std::vector<std::shared_ptr<const Method>>& Schema::methods()
    const noexcept {
  return m_methods;
}

std::shared_ptr<const Method> Schema::Find(std::string_view service,
                                           std::string_view method) const {
  const auto found =
      std::ranges::find_if(m_methods, [&](const auto& candidate) {
        return candidate->service.raw() == service && candidate->name == method;
      });
  return found == m_methods.end() ? nullptr : *found;
}

Result<CheckedRequest> Schema::Check(const Method& method,
                                     const std::string& json) const {
  return m_parser->Check(method, json);
}

}  // namespace jacinthdeck
