// Reads and changes settings through the operator port.
#include "ctl/config_commands.h"

#include <jansson.h>

#include <charconv>
#include <cstdint>
#include <system_error>
#include <variant>

#include "ctl/config_change.h"
#include "ctl/show.h"

namespace jacinthdeck::ctl {

namespace {

constexpr const char* kPairForm = "write KEY=VALUE; KEY= removes a setting";

[[nodiscard]] json_t* SettingsOf(json_t& content) {
  json_t* settings = json_object_get(&content, "settings");
  if (!json_is_object(settings)) {
    settings = json_object();
    json_object_set_new(&content, "settings", settings);
  }
  return settings;
}

void Apply(const std::string& pair, json_t& content) {
  const std::size_t equals = pair.find('=');
  const std::string key = pair.substr(0, equals);
  const std::string value = pair.substr(equals + 1);
  json_t* settings = SettingsOf(content);
  if (value.empty()) {
    json_object_del(settings, key.c_str());
  } else {
    json_object_set_new(settings, key.c_str(), json_string(value.c_str()));
  }
}

}  // namespace

ExitCode ConfigGet(Session& session, const std::vector<std::string>& key) {
  const auto read =
      Capture([&] { return session.CallOperators({.path = "/v1/config"}); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  const DaemonReply& reply = std::get<0>(read);
  if (reply.status != 200) {
    return session.FailReply(reply);
  }
  const json_t* settings = json_object_get(reply.body.get(), "settings");
  if (key.empty()) {
    const JsonPtr shown(json_pack("{s:O?,s:O?}", "revision",
                                  json_object_get(reply.body.get(), "revision"),
                                  "settings", settings));
    session.Print(*shown);
    return ExitCode::kDone;
  }
  const json_t* value = json_object_get(settings, key[0].c_str());
  if (value == nullptr) {
    return session.Fail(ExitCode::kRefused, key[0] + ": is not set",
                        "list what is set with `config get`");
  }
  session.Print(*value);
  return ExitCode::kDone;
}

ExitCode ConfigSet(Session& session, const std::vector<std::string>& pairs) {
  for (const std::string& pair : pairs) {
    if (pair.find('=') == pair.npos || pair.front() == '=') {
      return session.Fail(ExitCode::kUsage, pair + ": names no setting",
                          kPairForm);
    }
  }
  return ChangeConfig(session, [&](json_t& content) {
    for (const std::string& pair : pairs) {
      Apply(pair, content);
    }
  });
}

ExitCode ConfigHistory(Session& session,
                       const std::vector<std::string>& /*none*/) {
  return ShowOperators(session, "/v1/config/history");
}

ExitCode ConfigRollback(Session& session,
                        const std::vector<std::string>& revision) {
  const std::string& text = revision[0];
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number == 0) {
    return session.Fail(ExitCode::kUsage, text + ": is no revision",
                        "list them with `config history`");
  }
  return ChangeConfig(session, [&](json_t& content) {
    json_object_clear(&content);
    json_object_set_new(&content, "rollback_to",
                        json_integer(static_cast<json_int_t>(number)));
  });
}

}  // namespace jacinthdeck::ctl
