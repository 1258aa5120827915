// Validates configuration files with the codec that hosts use, so that an
// invalid file is never written to the store.
#include "ctl/account_command.h"

#include <jansson.h>

#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <variant>

#include "jacinthdeck/forward/routing_config.h"

namespace jacinthdeck::ctl {

namespace {

[[nodiscard]] std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

//! Describes an account; limits and priority are left out if it has none.
[[nodiscard]] JsonPtr Describe(const Tenant& tenant) {
  JsonPtr account(json_pack("{s:s, s:I}", "name", tenant.name.raw().c_str(),
                            "keys",
                            static_cast<json_int_t>(tenant.keys.size())));
  if (tenant.limited()) {
    json_object_set_new(account.get(), "rate_per_s", json_real(tenant.rate));
    json_object_set_new(account.get(), "burst", json_real(tenant.burst));
  }
  if (tenant.priority) {
    json_object_set_new(account.get(), "priority",
                        json_integer(*tenant.priority));
  }
  return account;
}

[[nodiscard]] JsonPtr Summarize(const RoutingConfig& config) {
  const JsonPtr accounts(json_array());
  for (const Tenant& tenant : config.tenants()->tenants()) {
    json_array_append(accounts.get(), Describe(tenant).get());
  }
  const JsonPtr public_routes(json_array());
  for (const Route& route : config.routes()) {
    if (route.is_public) {
      json_array_append_new(public_routes.get(),
                            json_string(route.name.c_str()));
    }
  }
  return JsonPtr(json_pack("{s:I, s:b, s:O, s:O}", "version",
                           static_cast<json_int_t>(config.version()),
                           "keys_checked", config.tenants()->empty() ? 0 : 1,
                           "accounts", accounts.get(), "public_routes",
                           public_routes.get()));
}

}  // namespace

ExitCode AccountsCheck(Session& session, const std::vector<std::string>& file) {
  const auto text = ReadText(file[0]);
  if (!text) {
    return session.Fail(ExitCode::kUsage, file[0] + ": cannot be read", "");
  }
  const std::vector<Error> errors = session.codec().CheckConfig(*text);
  for (const Error& error : errors) {
    const bool is_last = &error == &errors.back();
    (void)session.Fail(
        ExitCode::kRefused,
        file[0] + ": " + error.subject + ": " + error.message,
        is_last ? "correct the file; hosts would keep the configuration "
                  "that they have"
                : "");
  }
  if (!errors.empty()) {
    return ExitCode::kRefused;
  }
  const auto config =
      Capture([&] { return session.codec().ReadConfig(*text); });
  if (const auto* error = std::get_if<Error>(&config)) {
    return session.Fail(*error);
  }
  session.Print(*Summarize(*std::get<0>(config)));
  return ExitCode::kDone;
}

}  // namespace jacinthdeck::ctl
