// Reads and checks a settings file: one table names every key, its kind, its
// range and its place.
#include "jacinthdeck/runtime/settings_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <string_view>

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace jacinthdeck {

namespace {

enum class Need { kRequired, kOptional };

//! Inclusive range of a number.
struct Range {
  std::int64_t low;
  std::int64_t high;
};

constexpr Range kListenPorts{0, 65535};
constexpr Range kPorts{1, 65535};

class Reader {
 public:
  explicit Reader(const toml::table& root) : m_root(root) {}

  [[nodiscard]] std::variant<Settings, std::vector<SettingsFault>> Read() {
    ReadNode();
    ReadListen();
    ReadPlatform();
    ReadSeeds();
    ReadLimits();
    m_settings.log_level =
        Text("log.level", Need::kOptional, m_settings.log_level);
    CheckOneOf("log.level", m_settings.log_level,
               {"trace", "debug", "info", "warning", "error"});
    m_settings.drain_timeout = Milliseconds("shutdown.drain_ms", {0, 600'000},
                                            m_settings.drain_timeout);
    FindUnknown(m_root, "");
    if (m_faults.empty()) {
      return std::move(m_settings);
    }
    return std::move(m_faults);
  }

 private:
  void ReadNode() {
    m_settings.node.name = NodeId(Name("node.name"));
    m_settings.node.region = Text("node.region", Need::kRequired, "");
    m_settings.node.failure_domain =
        FailureDomain(Text("node.failure_domain", Need::kRequired, ""));
  }

  void ReadListen() {
    m_settings.listen.callers = ReadEndpoint("listen.callers", kListenPorts);
    m_settings.listen.operators =
        ReadEndpoint("listen.operators", kListenPorts);
    m_settings.listen.peers = ReadEndpoint("listen.peers", kListenPorts);
  }

  void ReadPlatform() {
    m_settings.platform.store = ReadEndpoint("platform.store", kPorts);
    m_settings.platform.host_list = ReadEndpoint("platform.host_list", kPorts);
    m_settings.platform.timeout = Milliseconds(
        "platform.timeout_ms", {10, 60'000}, m_settings.platform.timeout);
  }

  void ReadLimits() {
    LimitSettings& limits = m_settings.limits;
    limits.body_bytes =
        Number("limits.body_bytes", {256, 16'777'216}, limits.body_bytes);
    limits.caller_connections = Number("limits.caller_connections",
                                       {1, 100'000}, limits.caller_connections);
    limits.open_calls =
        Number("limits.open_calls", {1, 1'000'000}, limits.open_calls);
    limits.queue = Number("limits.queue", {64, 4'194'304}, limits.queue);
  }

  void ReadSeeds() {
    const toml::node* node = Find("peers.seeds", Need::kOptional);
    if (node == nullptr) {
      return;
    }
    const toml::array* seeds = node->as_array();
    if (seeds == nullptr) {
      Add(*node, "peers.seeds",
          "is not an array; expected an array of \"node@ip:port\"");
      return;
    }
    for (const toml::node& seed : *seeds) {
      ReadSeed(seed);
    }
  }

  void ReadSeed(const toml::node& seed) {
    const std::string text = seed.value<std::string>().value_or("");
    const std::size_t at = text.find('@');
    const std::size_t colon = text.rfind(':');
    if (at == text.npos || colon == text.npos || colon < at) {
      Add(seed, "peers.seeds",
          "holds \"" + text + "\"; expected \"node@ip:port\"");
      return;
    }
    const std::string address = text.substr(at + 1, colon - at - 1);
    const int port = std::atoi(text.c_str() + colon + 1);
    if (at == 0 || !IsAddress(address) || port < kPorts.low ||
        port > kPorts.high) {
      Add(seed, "peers.seeds",
          "holds \"" + text + "\"; expected \"node@ip:port\"");
      return;
    }
    m_settings.seeds.push_back(
        PeerSeed{NodeId(text.substr(0, at)),
                 Endpoint{address, static_cast<std::uint16_t>(port)}});
  }

  [[nodiscard]] Endpoint ReadEndpoint(const std::string& key, Range ports) {
    Endpoint endpoint;
    const std::string address_key = key + ".address";
    const toml::node* node = Find(address_key, Need::kRequired);
    endpoint.address = Text(address_key, Need::kOptional, "");
    if (node != nullptr && node->is_string() && !IsAddress(endpoint.address)) {
      Add(*node, address_key,
          "is \"" + endpoint.address + "\"; expected an IPv4 number");
    }
    (void)Find(key + ".port", Need::kRequired);
    endpoint.port = static_cast<std::uint16_t>(Number(key + ".port", ports, 0));
    return endpoint;
  }

  [[nodiscard]] static bool IsAddress(const std::string& text) {
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
  }

  //! Looks a dotted key up and remembers it as known.
  [[nodiscard]] const toml::node* Find(const std::string& key, Need need) {
    m_known.push_back(key);
    const toml::node* node = m_root.at_path(key).node();
    if (node == nullptr && need == Need::kRequired) {
      m_faults.push_back(
          SettingsFault{0, key, "is missing; it has no default"});
    }
    return node;
  }

  [[nodiscard]] std::string Text(const std::string& key,
                                 Need need,
                                 const std::string& fallback) {
    const toml::node* node = Find(key, need);
    if (node == nullptr) {
      return fallback;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      Add(*node, key,
          value ? "is empty; expected text"
                : "has the wrong type; expected a string");
      return fallback;
    }
    return *value;
  }

  [[nodiscard]] std::string Name(const std::string& key) {
    std::string name = Text(key, Need::kRequired, "");
    const bool valid =
        name.size() <= 64 && std::ranges::all_of(name, [](char c) {
          return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
                 c == '_';
        });
    if (!valid) {
      Add(*m_root.at_path(key).node(), key,
          "is \"" + name +
              "\"; expected at most 64 letters, digits, '-' or '_'");
    }
    return name;
  }

  [[nodiscard]] std::uint32_t Number(const std::string& key,
                                     Range range,
                                     std::uint32_t fallback) {
    const toml::node* node = Find(key, Need::kOptional);
    if (node == nullptr) {
      return fallback;
    }
    const std::string expected = "; expected a whole number from " +
                                 std::to_string(range.low) + " to " +
                                 std::to_string(range.high);
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
      Add(*node, key, "has the wrong type" + expected);
      return fallback;
    }
    if (*value < range.low || *value > range.high) {
      Add(*node, key, "is " + std::to_string(*value) + expected);
      return fallback;
    }
    return static_cast<std::uint32_t>(*value);
  }

  [[nodiscard]] Duration Milliseconds(const std::string& key,
                                      Range range,
                                      Duration fallback) {
    const auto milliseconds =
        static_cast<std::uint32_t>(fallback.count() / 1000);
    return std::chrono::milliseconds(Number(key, range, milliseconds));
  }

  void CheckOneOf(const std::string& key,
                  const std::string& value,
                  std::initializer_list<std::string_view> allowed) {
    if (std::ranges::find(allowed, value) != allowed.end()) {
      return;
    }
    std::string names;
    for (const std::string_view name : allowed) {
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    Add(*m_root.at_path(key).node(), key,
        "is \"" + value + "\"; expected one of " + names);
  }

  void Add(const toml::node& node,
           const std::string& key,
           const std::string& message) {
    m_faults.push_back(SettingsFault{node.source().begin.line, key, message});
  }

  // A misspelt key would otherwise leave its default in force without a word.
  void FindUnknown(const toml::table& table, const std::string& prefix) {
    for (const auto& [name, node] : table) {
      const std::string key = prefix + std::string(name.str());
      if (std::ranges::find(m_known, key) != m_known.end()) {
        continue;
      }
      const bool is_section =
          std::ranges::any_of(m_known, [&](const std::string& known) {
            return known.starts_with(key + ".");
          });
      if (is_section && node.is_table()) {
        FindUnknown(*node.as_table(), key + ".");
      } else {
        Add(node, key,
            is_section ? "has the wrong type; expected a table"
                       : "is not a known key");
      }
    }
  }

  const toml::table& m_root;
  Settings m_settings;
  std::vector<std::string> m_known;
  std::vector<SettingsFault> m_faults;
};

}  // namespace

std::variant<Settings, std::vector<SettingsFault>> ReadSettings(
    const std::string& text) {
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const toml::parse_error& error = parsed.error();
    return std::vector<SettingsFault>{SettingsFault{
        error.source().begin.line, "", std::string(error.description())}};
  }
  return Reader(parsed.table()).Read();
}

}  // namespace jacinthdeck
