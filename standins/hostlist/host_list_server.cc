// Lagging host list over HTTP.
#include "hostlist/host_list_server.h"

#include <jansson.h>

#include <algorithm>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/platform/host_list_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr unsigned int kBadRequest = 400;
constexpr unsigned int kNotFound = 404;
constexpr unsigned int kUnavailable = 503;
constexpr std::uint64_t kMaxLagMs = 3'600'000;

[[nodiscard]] Result<std::string> WithStates(const std::string& list,
                                             const JsonReader& states) {
  BOOST_LEAF_AUTO(json, ParseJson(list, "hosts"));
  for (const std::string& id : states.Names()) {
    BOOST_LEAF_AUTO(state, states.String(id));
    std::size_t index = 0;
    json_t* host = nullptr;
    json_array_foreach(json_object_get(json.get(), "hosts"), index, host) {
      if (id == json_string_value(json_object_get(host, "id"))) {
        json_object_set_new(host, "state", json_string(state.c_str()));
      }
    }
  }
  return DumpJson(*json);
}

}  // namespace

HostListServer::HostListServer(std::uint16_t port,
                               const Clock& clock,
                               Duration lag)
    : m_clock(clock),
      m_lag(lag),
      m_server({.port = port},
               [this](const auto& request) { return Handle(request); }) {}

Result<bool> HostListServer::Publish(const std::string& text) {
  BOOST_LEAF_AUTO(hosts, ReadHostList(text, "hosts"));
  const std::scoped_lock lock(m_mutex);
  const bool first = m_lists.empty();
  m_lists.push_back({first ? TimePoint::min() : m_clock.Now(), text});
  return !hosts.empty();
}

HttpReply HostListServer::Handle(const HttpRequest& request) {
  if (request.path == "/v1/hosts" && request.verb == "GET") {
    return Hosts();
  }
  if (request.path != "/control") {
    return HttpReply{kNotFound, R"({"error":"unknown_call"})", false};
  }
  const auto done = Capture([&] { return Control(request.body); });
  if (const auto* error = std::get_if<Error>(&done)) {
    const std::string text = error->subject + " " + error->message;
    const JsonPtr reply(json_pack("{s:s}", "error", text.c_str()));
    return HttpReply{kBadRequest, DumpJson(*reply), false};
  }
  return HttpReply{200, "{}", false};
}

HttpReply HostListServer::Hosts() {
  const std::scoped_lock lock(m_mutex);
  if (m_outage || m_lists.empty()) {
    return HttpReply{kUnavailable, R"({"error":"outage"})", false};
  }
  const TimePoint shown = m_clock.Now() - m_lag;
  while (m_lists.size() > 1 && m_lists[1].since <= shown) {
    m_lists.pop_front();
  }
  return HttpReply{200, m_lists.front().text, false};
}

Result<bool> HostListServer::Control(const std::string& text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "control"));
  const JsonReader message(json.get(), "control");
  if (message.Has("hosts")) {
    return Publish(text);
  }
  if (message.Has("states")) {
    BOOST_LEAF_AUTO(states, message.Object("states"));
    std::string newest;
    {
      const std::scoped_lock lock(m_mutex);
      newest = m_lists.empty() ? R"({"hosts":[]})" : m_lists.back().text;
    }
    BOOST_LEAF_AUTO(changed, WithStates(newest, states));
    return Publish(changed);
  }
  if (message.Has("lag_ms")) {
    BOOST_LEAF_AUTO(lag, message.Unsigned("lag_ms", kMaxLagMs));
    const std::scoped_lock lock(m_mutex);
    m_lag = std::chrono::milliseconds(lag);
  }
  if (message.Has("outage")) {
    BOOST_LEAF_AUTO(outage, message.Bool("outage"));
    const std::scoped_lock lock(m_mutex);
    m_outage = outage;
  }
  return true;
}

}  // namespace jacinthdeck::standins
