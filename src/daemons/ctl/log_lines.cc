// Parses logs line by line, one JSON object per line, since logs can be larger
// than memory.
#include "ctl/log_lines.h"

namespace jacinthdeck::ctl {

namespace {

[[nodiscard]] JsonPtr ParseLine(const std::string& text) {
  const std::size_t brace = text.find('{');
  if (brace == text.npos) {
    return nullptr;
  }
  return JsonPtr(
      json_loadb(text.data() + brace, text.size() - brace, 0, nullptr));
}

}  // namespace

std::string_view StringField(const json_t* json, const char* name) {
  const json_t* value = json_object_get(json, name);
  return json_is_string(value) ? std::string_view(json_string_value(value))
                               : std::string_view();
}

json_int_t IntegerField(const json_t* json, const char* name) {
  return static_cast<json_int_t>(
      json_number_value(json_object_get(json, name)));
}

void ReadLines(std::istream& in,
               LineCounts& counts,
               const std::function<void(const json_t&)>& on_event) {
  std::string text;
  while (std::getline(in, text)) {
    ++counts.read;
    const JsonPtr json = ParseLine(text);
    if (StringField(json.get(), "event").empty()) {
      ++counts.unreadable;
      continue;
    }
    on_event(*json);
  }
}

}  // namespace jacinthdeck::ctl
