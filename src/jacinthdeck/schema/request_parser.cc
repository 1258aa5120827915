// Checks request bodies by parsing them against the schema's tables, and writes
// them again in canonical form.
#include "jacinthdeck/schema/request_parser.h"

#include <jansson.h>
#include <xxhash.h>

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "jacinthdeck/core/json_ptr.h"
#include "jacinthdeck/schema/key_hash.h"
#include "jacinthdeck/schema/method_reader.h"

namespace jacinthdeck::internal {

namespace {

//! Line and text of an error message of the FlatBuffers parser.
struct ParserMessage {
  std::string line;
  std::string text;
};

[[nodiscard]] ParserMessage SplitMessage(const std::string& message) {
  // The parser writes `file:line: column: severity: text` with an empty file,
  // as in ":3: 12: error: text", or the short form "(3): error: text".
  const std::size_t digits_start = message.find_first_of("0123456789");
  const std::size_t digits_end =
      message.find_first_not_of("0123456789", digits_start);
  const std::size_t marker_start = message.find("error: ");
  if (digits_start == message.npos || digits_end == message.npos ||
      marker_start == message.npos || digits_start > marker_start) {
    return ParserMessage{"?", message};
  }
  std::string text =
      message.substr(marker_start + std::string_view("error: ").size());
  const std::size_t details_start = text.find(", originally at:");
  return ParserMessage{message.substr(digits_start, digits_end - digits_start),
                       text.substr(0, details_start)};
}

[[nodiscard]] flatbuffers::IDLOptions ParserOptions() {
  flatbuffers::IDLOptions options;
  options.strict_json = true;
  options.skip_unexpected_fields_in_json = false;
  options.indent_step = -1;
  options.output_default_scalars_in_json = false;
  return options;
}

[[nodiscard]] std::optional<std::string> ReadKeyText(const std::string& body,
                                                     const std::string& field) {
  const JsonPtr root(json_loadb(body.data(), body.size(), 0, nullptr));
  const json_t* value = json_object_get(root.get(), field.c_str());
  if (json_is_string(value)) {
    return std::string(json_string_value(value), json_string_length(value));
  }
  if (json_is_integer(value)) {
    return std::to_string(json_integer_value(value));
  }
  return std::nullopt;
}

// The parser's own lookup needs the name of the service with its namespace, but
// a ServiceId is the name alone, so this compares names.
[[nodiscard]] const flatbuffers::RPCCall* FindCall(
    const flatbuffers::Parser& parser,
    const Method& method) {
  for (const flatbuffers::ServiceDef* service : parser.services_.vec) {
    if (service->name == method.service.raw()) {
      return service->calls.Lookup(method.name);
    }
  }
  return nullptr;
}

[[nodiscard]] Fingerprint ComputeFingerprint(const Method& method,
                                             const std::string& body) {
  const std::string text =
      method.service.raw() + "/" + method.name + "/" + body;
  return Fingerprint(XXH3_64bits(text.data(), text.size()));
}

}  // namespace

RequestParser::RequestParser() : m_parser(ParserOptions()) {}

Result<void> RequestParser::ReadSchema(const std::string& text) {
  const std::string source = kAttributeDeclarations + text;
  // An include would be read from the file system of the host, which holds no
  // schema files.
  if (text.find("include ") == 0 || text.find("\ninclude ") != text.npos) {
    return Fail(ErrorCode::kInvalidArgument, "line 1",
                "include is not supported in a schema");
  }
  if (!m_parser.Parse(source.c_str())) {
    ParserMessage message = SplitMessage(m_parser.error_);
    return Fail(ErrorCode::kInvalidArgument, "line " + message.line,
                std::move(message.text));
  }
  return {};
}

Result<std::string> RequestParser::Canonicalize(const Method& method,
                                                const std::string& json) {
  const flatbuffers::RPCCall* call = FindCall(m_parser, method);
  if (call == nullptr) {
    return Fail(ErrorCode::kNotFound, method.service.raw() + "." + method.name,
                "is not declared here");
  }
  m_parser.root_struct_def_ = call->request;
  if (!m_parser.ParseJson(json.c_str())) {
    return Fail(ErrorCode::kInvalidArgument, "body",
                SplitMessage(m_parser.error_).text);
  }
  std::string body;
  if (!flatbuffers::GenerateText(m_parser, m_parser.builder_.GetBufferPointer(),
                                 &body)) {
    return Fail(ErrorCode::kInvalidArgument, "body",
                "holds text that is not UTF-8");
  }
  return body;
}

Result<CheckedRequest> RequestParser::Check(const Method& method,
                                            const std::string& json) {
  const std::scoped_lock lock(m_mutex);
  if (json.find('\0') != json.npos) {
    return Fail(ErrorCode::kInvalidArgument, "body", "holds a NUL byte");
  }
  BOOST_LEAF_AUTO(body, Canonicalize(method, json));
  CheckedRequest request;
  request.fingerprint = ComputeFingerprint(method, body);
  if (method.fan_out == FanOut::kKey) {
    const auto key = ReadKeyText(body, method.key_field);
    if (!key) {
      return Fail(ErrorCode::kInvalidArgument, method.key_field,
                  "is missing; it chooses the shard");
    }
    request.key = HashKey(*key);
  }
  request.body = std::move(body);
  return request;
}

}  // namespace jacinthdeck::internal
