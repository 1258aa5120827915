// Validates schema files locally with the schema parser of the library, so that
// an invalid file is never sent to the store.
#include "ctl/schema_commands.h"

#include <jansson.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <variant>

#include "ctl/store_key.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck::ctl {

namespace {

constexpr const char* kFixFile =
    "correct the file; the schema in the store is unchanged";

[[nodiscard]] std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

[[nodiscard]] JsonPtr ToJson(const Schema& schema) {
  JsonPtr calls(json_array());
  for (const auto& method : schema.methods()) {
    json_array_append_new(
        calls.get(),
        json_pack(
            "{s:s,s:s,s:s,s:s,s:s,s:f,s:i,s:s}", "service",
            method->service.raw().c_str(), "method", method->name.c_str(),
            "fan_out", std::string(kFanOutNames.Name(method->fan_out)).c_str(),
            "merge", std::string(kMergeRuleNames.Name(method->merge)).c_str(),
            "repeat", std::string(kRepeatNames.Name(method->repeat)).c_str(),
            "deadline_ms", ToMilliseconds(method->deadline), "limit",
            static_cast<int>(method->limit), "key", method->key_field.c_str()));
  }
  return JsonPtr(json_pack("{s:O}", "calls", calls.get()));
}

void PrintCalls(const Schema& schema, std::ostream& out) {
  for (const auto& method : schema.methods()) {
    out << method->service.raw() << "." << method->name << "  fan_out "
        << kFanOutNames.Name(method->fan_out) << ", merge "
        << kMergeRuleNames.Name(method->merge) << ", repeat "
        << kRepeatNames.Name(method->repeat) << ", deadline "
        << ToMilliseconds(method->deadline) << " ms\n";
  }
}

//! Reads and validates a schema file; prints an error if that fails.
[[nodiscard]] ExitCode Check(Session& session,
                             const std::string& path,
                             std::string& text,
                             std::optional<Schema>& schema) {
  const auto read = ReadText(path);
  if (!read) {
    return session.Fail(ExitCode::kUsage, path + ": cannot be read", "");
  }
  text = *read;
  auto parsed = Capture([&] { return Schema::Parse(text); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    return session.Fail(ExitCode::kRefused,
                        path + ": " + error->subject + ": " + error->message,
                        kFixFile);
  }
  schema = std::get<0>(std::move(parsed));
  return ExitCode::kDone;
}

}  // namespace

ExitCode SchemaCheck(Session& session, const std::vector<std::string>& file) {
  std::string text;
  std::optional<Schema> schema;
  const ExitCode checked = Check(session, file[0], text, schema);
  if (checked != ExitCode::kDone) {
    return checked;
  }
  if (session.arguments().json) {
    session.Print(*ToJson(*schema));
  } else {
    PrintCalls(*schema, session.out());
  }
  return ExitCode::kDone;
}

ExitCode SchemaApply(Session& session, const std::vector<std::string>& file) {
  std::string text;
  std::optional<Schema> schema;
  const ExitCode checked = Check(session, file[0], text, schema);
  if (checked != ExitCode::kDone) {
    return checked;
  }
  return WriteKey(session, session.codec().SchemaKey(), text);
}

ExitCode SchemaShow(Session& session,
                    const std::vector<std::string>& /*none*/) {
  const auto read = Capture([&] { return session.ReadStore(); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  for (const StoreChange& item : std::get<0>(read)) {
    if (item.key == session.codec().SchemaKey()) {
      session.out() << item.value.value_or("");
      return ExitCode::kDone;
    }
  }
  return session.Fail(ExitCode::kRefused, "no schema is in the store",
                      "write one with `schema apply`");
}

}  // namespace jacinthdeck::ctl
