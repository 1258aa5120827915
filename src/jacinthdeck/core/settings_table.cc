// Reads settings with toml++ and checks their types and ranges.
#include "jacinthdeck/core/settings_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <utility>

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace jacinthdeck {

namespace {

/*! \brief Unit that a key of a duration names at its end. */
struct DurationUnit {
  std::string_view suffix;
  Duration length;
};

constexpr std::array<DurationUnit, 2> kDurationUnits{
    {{"_ms", std::chrono::milliseconds(1)}, {"_s", std::chrono::seconds(1)}}};

[[nodiscard]] std::string FormatNumber(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

}  // namespace

struct SettingsTable::Impl {
  toml::table root;
  std::vector<std::string> known_keys;
  std::vector<SettingsError> errors;
  bool parsed = false;

  //! Looks up a dotted key and records it as known. Returns null if it is
  //! absent and records an error if a required key is missing from a parsed
  //! file.
  const toml::node* FindKey(const std::string& key, SettingPresence presence) {
    known_keys.push_back(key);
    const toml::node* node = root.at_path(key).node();
    if (node == nullptr && presence == SettingPresence::kRequired && parsed) {
      errors.push_back({0, key, "is missing; it has no default"});
    }
    return node;
  }

  void AddError(const toml::node& node,
                const std::string& key,
                const std::string& message) {
    errors.push_back({node.source().begin.line, key, message});
  }

  // Reports keys that were never looked up. Otherwise a misspelled key would
  // silently leave the default in effect.
  void AddUnknownKeys(const toml::table& table, const std::string& prefix) {
    for (const auto& [name, node] : table) {
      const std::string key = prefix + std::string(name.str());
      if (std::ranges::find(known_keys, key) != known_keys.end()) {
        continue;
      }
      const bool is_section =
          std::ranges::any_of(known_keys, [&](const std::string& known_key) {
            return known_key.starts_with(key + ".");
          });
      if (is_section && node.is_table()) {
        AddUnknownKeys(*node.as_table(), key + ".");
      } else {
        AddError(node, key,
                 is_section ? "has the wrong type; expected a table"
                            : "is not a known key");
      }
    }
  }
};

SettingsTable::SettingsTable(const std::string& text)
    : m_impl(std::make_unique<Impl>()) {
  toml::parse_result result = toml::parse(text);
  if (!result) {
    const toml::parse_error& error = result.error();
    m_impl->errors.push_back(
        {error.source().begin.line, "", std::string(error.description())});
    return;
  }
  m_impl->root = std::move(result.table());
  m_impl->parsed = true;
}

SettingsTable::~SettingsTable() = default;

std::string SettingsTable::Text(const std::string& key,
                                SettingPresence presence,
                                const std::string& fallback) {
  const toml::node* node = m_impl->FindKey(key, presence);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    m_impl->AddError(*node, key,
                     value ? "is empty; expected text"
                           : "has the wrong type; expected a string");
    return fallback;
  }
  return *value;
}

std::string SettingsTable::OneOf(
    const std::string& key,
    std::initializer_list<std::string_view> allowed,
    const std::string& fallback) {
  std::string value = Text(key, SettingPresence::kOptional, fallback);
  if (std::ranges::find(allowed, value) != allowed.end()) {
    return value;
  }
  std::string names;
  for (const std::string_view name : allowed) {
    names += (names.empty() ? "" : ", ") + std::string(name);
  }
  m_impl->AddError(*m_impl->root.at_path(key).node(), key,
                   "is \"" + value + "\"; expected one of " + names);
  return fallback;
}

double SettingsTable::Number(const std::string& key,
                             SettingRange range,
                             SettingPresence presence,
                             double fallback) {
  const toml::node* node = m_impl->FindKey(key, presence);
  if (node == nullptr) {
    return fallback;
  }
  const std::string expected = "; expected a number from " +
                               FormatNumber(range.low) + " to " +
                               FormatNumber(range.high);
  const auto value = node->value<double>();
  if (!value || !node->is_number()) {
    m_impl->AddError(*node, key, "has the wrong type" + expected);
    return fallback;
  }
  // Also true for a value that is not a number.
  if (!(*value >= range.low && *value <= range.high)) {
    m_impl->AddError(*node, key, "is " + FormatNumber(*value) + expected);
    return fallback;
  }
  return *value;
}

bool SettingsTable::Flag(const std::string& key, bool fallback) {
  const toml::node* node = m_impl->FindKey(key, SettingPresence::kOptional);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    m_impl->AddError(*node, key, "has the wrong type; expected true or false");
  }
  return value.value_or(fallback);
}

Duration SettingsTable::Time(const std::string& key,
                             SettingDurations range,
                             Duration fallback) {
  const toml::node* set = nullptr;
  Duration result = fallback;
  for (const DurationUnit& unit : kDurationUnits) {
    const std::string unit_key = key + std::string(unit.suffix);
    const toml::node* node =
        m_impl->FindKey(unit_key, SettingPresence::kOptional);
    if (node == nullptr) {
      continue;
    }
    if (set != nullptr) {
      m_impl->AddError(*node, unit_key,
                       "is set in another unit as well; expected one of both");
      return fallback;
    }
    set = node;
    const auto length = static_cast<double>(unit.length.count());
    const auto in_unit = [&](Duration duration) {
      return static_cast<double>(duration.count()) / length;
    };
    const double value =
        Number(unit_key, {in_unit(range.low), in_unit(range.high)},
               SettingPresence::kOptional, in_unit(fallback));
    result = Duration(std::llround(value * length));
  }
  return result;
}

Endpoint SettingsTable::Address(const std::string& key,
                                SettingPresence presence) {
  const std::string text = Text(key, presence);
  if (text.empty()) {
    return {};
  }
  auto parsed = Capture([&] { return Endpoint::Parse(text); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    m_impl->AddError(*m_impl->root.at_path(key).node(), key, error->message);
    return {};
  }
  return std::get<0>(std::move(parsed));
}

std::vector<Endpoint> SettingsTable::Addresses(const std::string& key) {
  std::vector<Endpoint> addresses;
  const toml::node* node = m_impl->FindKey(key, SettingPresence::kOptional);
  if (node == nullptr) {
    return addresses;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    m_impl->AddError(*node, key,
                     "has the wrong type; expected a list of IPv4:port");
    return addresses;
  }
  for (const toml::node& item : *list) {
    const std::string text = item.value<std::string>().value_or("");
    auto parsed = Capture([&] { return Endpoint::Parse(text); });
    if (const auto* error = std::get_if<Error>(&parsed)) {
      m_impl->AddError(item, key, "holds an entry that " + error->message);
      continue;
    }
    addresses.push_back(std::get<0>(std::move(parsed)));
  }
  return addresses;
}

std::vector<SettingsError> SettingsTable::TakeErrors() {
  m_impl->AddUnknownKeys(m_impl->root, "");
  return std::move(m_impl->errors);
}

}  // namespace jacinthdeck
