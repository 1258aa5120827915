// Compares the store's era with the eras that hosts report in their status.
#include "ctl/era_command.h"

#include <jansson.h>

#include <limits>
#include <variant>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::ctl {

namespace {

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

//! Era and position of the store's content that a host serves with.
struct HostEra {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;
  std::uint64_t config_version = 0;
  //! Time since the host first applied content of the era.
  double era_age_ms = 0;
};

[[nodiscard]] Result<HostEra> ReadHostEra(const Session& session,
                                          const std::string& address) {
  BOOST_LEAF_AUTO(reply, session.ReadStatus(address));
  const JsonReader status(reply.body.get(), address);
  HostEra host;
  BOOST_LEAF_ASSIGN(host.era, status.Unsigned("store_era", kMaxNumber));
  BOOST_LEAF_ASSIGN(host.revision,
                    status.Unsigned("store_revision", kMaxNumber));
  BOOST_LEAF_ASSIGN(host.config_version,
                    status.Unsigned("config_version", kMaxNumber));
  BOOST_LEAF_ASSIGN(host.era_age_ms, status.Number("store_era_for_ms"));
  return host;
}

//! Returns the era and the position of one host as JSON.
[[nodiscard]] JsonPtr Describe(const std::string& address,
                               const HostEra& host) {
  return JsonPtr(json_pack(
      "{s:s, s:I, s:I, s:I, s:f}", "host", address.c_str(), "era",
      static_cast<json_int_t>(host.era), "revision",
      static_cast<json_int_t>(host.revision), "config_version",
      static_cast<json_int_t>(host.config_version), "for_ms", host.era_age_ms));
}

}  // namespace

ExitCode ShowEra(Session& session, const std::vector<std::string>& hosts) {
  const auto read = Capture([&] { return session.ReadPosition(); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  const StorePosition& store = std::get<0>(read);
  const JsonPtr current(json_array());
  const JsonPtr not_current(json_array());
  for (const std::string& address : hosts) {
    const auto host_era =
        Capture([&] { return ReadHostEra(session, address); });
    if (const auto* error = std::get_if<Error>(&host_era)) {
      json_array_append_new(not_current.get(),
                            json_pack("{s:s, s:s}", "host", address.c_str(),
                                      "problem", error->message.c_str()));
      continue;
    }
    const HostEra& host = std::get<0>(host_era);
    const JsonPtr described = Describe(address, host);
    const bool is_current = host.era == EraNumber(store.era);
    json_array_append(is_current ? current.get() : not_current.get(),
                      described.get());
  }
  const JsonPtr printed(
      json_pack("{s:I, s:I, s:O, s:O}", "era",
                static_cast<json_int_t>(EraNumber(store.era)), "revision",
                static_cast<json_int_t>(store.revision), "current",
                current.get(), "not_current", not_current.get()));
  session.Print(*printed);
  return json_array_size(not_current.get()) == 0 ? ExitCode::kDone
                                                 : ExitCode::kPartial;
}

}  // namespace jacinthdeck::ctl
