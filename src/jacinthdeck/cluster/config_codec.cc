// JSON form of the configuration value, by jansson.
#include "jacinthdeck/cluster/config_codec.h"

#include <jansson.h>

#include <cstdlib>
#include <memory>
#include <utility>

#include "jacinthdeck/core/json_ptr.h"

namespace jacinthdeck {

namespace internal {

[[nodiscard]] json_t* Text(const std::string& text) {
  return json_stringn(text.data(), text.size());
}

[[nodiscard]] json_t* Number(Revision revision) {
  return json_integer(static_cast<json_int_t>(revision.raw()));
}

[[nodiscard]] json_t* Content(const ConfigContent& content) {
  json_t* const settings = json_object();
  for (const auto& [key, value] : content.settings) {
    json_object_set_new(settings, key.c_str(), Text(value));
  }
  json_t* const json = json_object();
  json_object_set_new(json, "schema", Text(content.schema));
  json_object_set_new(json, "settings", settings);
  return json;
}

[[nodiscard]] json_t* Nodes(const std::vector<NodeId>& nodes) {
  json_t* const json = json_array();
  for (const NodeId& node : nodes) {
    json_array_append_new(json, Text(node.raw()));
  }
  return json;
}

[[nodiscard]] json_t* Operations(const std::vector<OperationRecord>& records) {
  json_t* const json = json_array();
  for (const OperationRecord& record : records) {
    json_t* const item = json_object();
    json_object_set_new(item, "operation", Text(record.operation.raw()));
    json_object_set_new(item, "revision", Number(record.revision));
    json_array_append_new(json, item);
  }
  return json;
}

[[nodiscard]] json_t* History(const std::vector<HistoryRecord>& records) {
  json_t* const json = json_array();
  for (const HistoryRecord& record : records) {
    json_t* const item = json_object();
    json_object_set_new(item, "revision", Number(record.revision));
    json_object_set_new(item, "content", Content(record.content));
    json_array_append_new(json, item);
  }
  return json;
}

/*! \brief Reads fields of JSON objects; the first wrong one fails the whole. */
class Reader {
 public:
  [[nodiscard]] const std::string& wrong_field() const noexcept {
    return m_wrong_field;
  }

  [[nodiscard]] std::string String(const json_t* json, const char* field) {
    return ToString(json_object_get(json, field), field);
  }

  [[nodiscard]] Revision Number(const json_t* json, const char* field) {
    const json_t* const number = json_object_get(json, field);
    if (!json_is_integer(number) || json_integer_value(number) < 0) {
      Note(field);
      return {};
    }
    return Revision(static_cast<std::uint64_t>(json_integer_value(number)));
  }

  [[nodiscard]] ConfigContent Content(const json_t* json, const char* field) {
    ConfigContent content;
    json_t* const object = json_object_get(json, field);
    content.schema = String(object, "schema");
    json_t* const settings = json_object_get(object, "settings");
    if (!json_is_object(settings)) {
      Note("settings");
    }
    const char* key = nullptr;
    json_t* value = nullptr;
    json_object_foreach(settings, key, value) {
      content.settings[key] = ToString(value, key);
    }
    return content;
  }

  [[nodiscard]] std::vector<NodeId> Nodes(const json_t* json,
                                          const char* field) {
    std::vector<NodeId> nodes;
    ForEach(json, field, [&](const json_t* item) {
      nodes.emplace_back(ToString(item, field));
    });
    return nodes;
  }

  template <typename Visit>
  void ForEach(const json_t* json, const char* field, const Visit& visit) {
    const json_t* const array = json_object_get(json, field);
    if (!json_is_array(array)) {
      Note(field);
    }
    for (std::size_t index = 0; index < json_array_size(array); ++index) {
      visit(json_array_get(array, index));
    }
  }

 private:
  [[nodiscard]] std::string ToString(const json_t* json, const char* field) {
    if (!json_is_string(json)) {
      Note(field);
      return {};
    }
    return {json_string_value(json), json_string_length(json)};
  }

  void Note(const char* field) {
    if (m_wrong_field.empty()) {
      m_wrong_field = field;
    }
  }

  std::string m_wrong_field;
};

[[nodiscard]] ConfigValue ReadValue(const json_t* json, Reader& reader) {
  ConfigValue value;
  value.revision = reader.Number(json, "revision");
  value.content_revision = reader.Number(json, "content_revision");
  value.content = reader.Content(json, "content");
  reader.ForEach(json, "operations", [&](const json_t* item) {
    value.operations.push_back({OperationId(reader.String(item, "operation")),
                                reader.Number(item, "revision")});
  });
  reader.ForEach(json, "history", [&](const json_t* item) {
    value.history.push_back(
        {reader.Number(item, "revision"), reader.Content(item, "content")});
  });
  value.voters = reader.Nodes(json, "voters");
  value.former_voters = reader.Nodes(json, "former_voters");
  return value;
}

struct FreeDeleter {
  void operator()(char* text) const noexcept { std::free(text); }
};

}  // namespace internal

std::string EncodeConfig(const ConfigValue& value) {
  const JsonPtr json(json_object());
  json_t* const root = json.get();
  json_object_set_new(root, "revision", internal::Number(value.revision));
  json_object_set_new(root, "content_revision",
                      internal::Number(value.content_revision));
  json_object_set_new(root, "content", internal::Content(value.content));
  json_object_set_new(root, "operations",
                      internal::Operations(value.operations));
  json_object_set_new(root, "history", internal::History(value.history));
  json_object_set_new(root, "voters", internal::Nodes(value.voters));
  json_object_set_new(root, "former_voters",
                      internal::Nodes(value.former_voters));
  const std::unique_ptr<char, internal::FreeDeleter> text(
      json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS));
  return text ? std::string(text.get()) : std::string();
}

Result<ConfigValue> DecodeConfig(std::string_view text) {
  json_error_t error;
  const JsonPtr json(
      json_loadb(text.data(), text.size(), JSON_ALLOW_NUL, &error));
  if (!json_is_object(json.get())) {
    return Fail(ErrorCode::kCorrupt, kConfigKey, "not a JSON object");
  }
  internal::Reader reader;
  ConfigValue value = internal::ReadValue(json.get(), reader);
  if (!reader.wrong_field().empty()) {
    return Fail(ErrorCode::kCorrupt, reader.wrong_field(),
                "missing or of the wrong type");
  }
  return value;
}

Result<std::string> EncodeWithinLimit(ConfigValue& value) {
  std::string text = EncodeConfig(value);
  while (text.size() > kMaxConfigBytes && !value.history.empty()) {
    value.history.erase(value.history.begin());
    text = EncodeConfig(value);
  }
  if (text.size() > kMaxConfigBytes) {
    return Fail(ErrorCode::kTooLarge, kConfigKey,
                std::to_string(text.size()) + " bytes, at most " +
                    std::to_string(kMaxConfigBytes) +
                    "; shorten the schema or the settings");
  }
  // The JSON library leaves out what is not UTF-8: a setting would vanish from
  // an accepted change without a word.
  BOOST_LEAF_AUTO(decoded, DecodeConfig(text));
  if (decoded != value) {
    return Fail(ErrorCode::kInvalidArgument, kConfigKey,
                "schema and settings must be UTF-8 text");
  }
  return text;
}

}  // namespace jacinthdeck
