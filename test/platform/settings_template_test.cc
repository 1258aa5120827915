// Tests of the settings that the platform fills in, from the template of the
// deployment and each kind of number that the platform may write.
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/entry/entry_settings.h"

namespace jacinthdeck::platform {

namespace {

/*! \brief Fills in the placeholders and sections that the template uses. */
class PlatformTemplate {
 public:
  PlatformTemplate() {
    std::ifstream file(JACINTHDECK_TEMPLATE);
    m_text.assign(std::istreambuf_iterator<char>(file), {});
    BOOST_REQUIRE(!m_text.empty());
  }

  //! Values by the names of the platform, as it writes them; no value for an
  //! empty one.
  std::map<std::string, std::string> values{
      {"nodeName", "frontend-a-1"},
      {"zone", "a"},
      {"ip", "127.0.0.1"},
      {"portRange.0", "7740"},
      {"portRange.1", "7741"},
      {"listenAddrs.front", "127.0.0.1:1"},
      {"listenAddrs.ready", "127.0.0.1:2"},
      {"listenAddrs.directory", "127.0.0.1:3"},
      {"listenAddrs.control", "127.0.0.1:4"},
      {"platform.address", "127.0.0.1:5"},
      {"bootstrap", "true"},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"limits.memoryMb", "260"},
      {"limits.maxFds", "4100"},
      {"bounds.drainMs", "3000"},
      {"bounds.configApplyMs", "3000"},
      {"bounds.budgetRatio", "0.2"},
      {"bounds.budgetExtra", "52"},
      {"bounds.budgetWindowS", "10"},
      {"bounds.graceS", "6"},
      {"bounds.strictRevoke", "true"},
      {"bounds.revokeMs", "4000"},
      {"bounds.quotaWindowS", "5"},
      {"bounds.quotaOvershoot", "0.1"},
      {"bounds.quotaSlack", "20"}};
  std::vector<std::string> seeds{"127.0.0.1:6", "127.0.0.1:7"};

  [[nodiscard]] std::string Fill() const { return Fill(m_text, "", true); }

 private:
  [[nodiscard]] std::string Value(const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? "" : found->second;
  }

  [[nodiscard]] std::string Fill(std::string_view text,
                                 const std::string& entry,
                                 bool is_last) const {
    std::string filled;
    for (std::size_t begin = text.find("{{"); begin != text.npos;
         begin = text.find("{{")) {
      filled += text.substr(0, begin);
      const std::size_t end = text.find("}}", begin);
      BOOST_REQUIRE(end != text.npos);
      const std::string name(text.substr(begin + 2, end - begin - 2));
      text.remove_prefix(end + 2);
      if (name.front() == '#') {
        const std::string close = "{{/" + name.substr(1) + "}}";
        const std::size_t length = text.find(close);
        BOOST_REQUIRE_MESSAGE(length != text.npos, name);
        filled += FillSection(name.substr(1), text.substr(0, length));
        text.remove_prefix(length + close.size());
      } else if (name == "," || name == ".") {
        filled += name == "." ? entry : is_last ? "" : ",";
      } else if (name.ends_with("|json")) {
        filled += '"' + Value(name.substr(0, name.find('|'))) + '"';
      } else {
        filled += Value(name);
      }
    }
    return filled + std::string(text);
  }

  [[nodiscard]] std::string FillSection(const std::string& name,
                                        std::string_view text) const {
    std::string filled;
    if (name == "seeds") {
      for (const std::string& seed : seeds) {
        filled += Fill(text, seed, &seed == &seeds.back());
      }
      return filled;
    }
    const std::string value = Value(name);
    return value.empty() || value == "false" ? "" : Fill(text, value, true);
  }

  std::string m_text;
};

/*! \brief A number of the platform, and the setting that it becomes. */
struct NumberField {
  std::string name;
  //! Start of the key that an error names.
  std::string key;
  //! A usual value, which is a whole number.
  int usual;
  //! Smallest and largest value that a deployment may have.
  std::string smallest;
  std::string largest;
  //! Reads the value from the settings, in the unit of the platform.
  double (*read)(const EntrySettings&);
  //! Whether the setting counts whole things, so that a fraction is cut off.
  bool is_count = false;
};

[[nodiscard]] std::vector<NumberField> NumberFields() {
  constexpr double kSecond = 1000;
  return {
      {"limits.cpuShare", "host.cpu_share", 2, "0.01", "512",
       [](const EntrySettings& read) { return read.cpu_share; }},
      {"limits.cores", "host.cores", 2, "0.1", "64",
       [](const EntrySettings& read) { return read.cores; }},
      {"limits.memoryMb", "host.memory_mb", 260, "64", "1048576",
       [](const EntrySettings& read) {
         return static_cast<double>(read.memory_bytes >> 20U);
       },
       true},
      {"limits.maxFds", "host.descriptors", 4100, "64", "1073741816",
       [](const EntrySettings& read) {
         return static_cast<double>(read.descriptors);
       },
       true},
      {"bounds.drainMs", "bounds.drain", 2500, "0", "2999",
       [](const EntrySettings& read) {
         return ToMilliseconds(read.max_change_delay);
       }},
      {"bounds.configApplyMs", "bounds.config_apply", 2500, "0", "2999",
       [](const EntrySettings& read) {
         return ToMilliseconds(read.max_change_delay);
       }},
      {"bounds.budgetRatio", "extra_attempts.ratio", 1, "0", "10",
       [](const EntrySettings& read) { return read.extra_ratio; }},
      {"bounds.budgetExtra", "extra_attempts.constant", 52, "0", "1000000",
       [](const EntrySettings& read) { return read.extra_constant; }},
      {"bounds.budgetWindowS", "extra_attempts.window", 10, "0.1", "86400",
       [](const EntrySettings& read) {
         return ToMilliseconds(read.extra_window) / kSecond;
       }},
      {"bounds.graceS", "shutdown.grace", 6, "0", "86400",
       [](const EntrySettings& read) {
         return ToMilliseconds(read.grace) / kSecond;
       }},
      {"bounds.revokeMs", "keys.revoke", 4000, "100", "86400000",
       [](const EntrySettings& read) {
         return ToMilliseconds(read.revoke_after);
       }},
      {"bounds.quotaWindowS", "rate_limits.window", 5, "0.1", "86400",
       [](const EntrySettings& read) {
         return ToMilliseconds(read.rate_limits.window) / kSecond;
       }},
      {"bounds.quotaOvershoot", "rate_limits.overshoot", 1, "0", "10",
       [](const EntrySettings& read) { return read.rate_limits.overshoot; }},
      {"bounds.quotaSlack", "rate_limits.slack", 20, "0", "1000000",
       [](const EntrySettings& read) { return read.rate_limits.slack; }}};
}

//! The spellings of a whole number and of fractions near it that JSON and TOML
//! allow.
[[nodiscard]] std::vector<std::string> SpellingsNear(int usual) {
  const std::string whole = std::to_string(usual);
  return {whole,
          whole + ".0",
          whole + ".5",
          whole + ".25",
          whole + "e0",
          whole + ".5e+0",
          whole + "0e-1",
          whole + "5E-1",
          "0." + whole + "e" + std::to_string(whole.size())};
}

using ReadSettings = std::variant<EntrySettings, std::vector<SettingsError>>;

[[nodiscard]] std::string TextOf(const ReadSettings& read) {
  std::string text;
  if (const auto* errors = std::get_if<std::vector<SettingsError>>(&read)) {
    for (const SettingsError& error : *errors) {
      text += error.key + ": " + error.message + "; ";
    }
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsTemplateTest)

// Guards against hosts that do not start after a change of the settings,
// because the platform writes a number in another form than before.
BOOST_AUTO_TEST_CASE(Number_AnySpelling_IsRead) {
  for (const NumberField& field : NumberFields()) {
    std::vector<std::string> spellings = SpellingsNear(field.usual);
    spellings.push_back(field.smallest);
    spellings.push_back(field.largest);
    for (const std::string& spelling : spellings) {
      PlatformTemplate filled;
      filled.values[field.name] = spelling;
      const ReadSettings read = ReadEntrySettings(filled.Fill());
      const auto* settings = std::get_if<EntrySettings>(&read);
      BOOST_TEST((settings != nullptr),
                 field.name << " = " << spelling << ": " << TextOf(read));
      if (settings == nullptr) {
        continue;
      }
      const double stated = std::stod(spelling);
      const double expected = field.is_count ? std::floor(stated) : stated;
      BOOST_TEST(std::abs(field.read(*settings) - expected) < 1e-6,
                 field.name << " = " << spelling << " is read as "
                            << field.read(*settings));
    }
  }
}

// Guards against hosts that do not start because the platform states no value:
// the documented default is used.
BOOST_AUTO_TEST_CASE(Number_IsAbsentOrFalse_DefaultIsUsed) {
  for (const NumberField& field : NumberFields()) {
    for (const char* const value : {"", "false"}) {
      PlatformTemplate filled;
      filled.values[field.name] = value;
      const ReadSettings read = ReadEntrySettings(filled.Fill());
      const auto* settings = std::get_if<EntrySettings>(&read);
      BOOST_TEST((settings != nullptr), field.name << ": " << TextOf(read));
      if (settings != nullptr) {
        BOOST_TEST(field.read(*settings) == field.read(EntrySettings()),
                   field.name);
      }
    }
  }
}

// Guards against a value that cannot be used and is taken for another one.
BOOST_AUTO_TEST_CASE(Number_IsInvalid_ErrorNamesTheSetting) {
  for (const NumberField& field : NumberFields()) {
    for (const char* const value : {"-1", "\"6\"", "true", "nan", "inf"}) {
      PlatformTemplate filled;
      filled.values[field.name] = value;
      const ReadSettings read = ReadEntrySettings(filled.Fill());
      const auto* errors = std::get_if<std::vector<SettingsError>>(&read);
      BOOST_TEST((errors != nullptr), field.name << " = " << value);
      if (errors != nullptr) {
        BOOST_REQUIRE_EQUAL(errors->size(), 1U);
        BOOST_TEST(errors->front().key.starts_with(field.key),
                   errors->front().key);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Template_OnlyWhatAHostNeeds_IsValid) {
  PlatformTemplate filled;
  for (auto& [name, value] : filled.values) {
    if (name != "nodeName" && name != "zone" && name != "ip" &&
        name != "portRange.0" && name != "listenAddrs.front" &&
        name != "platform.address") {
      value.clear();
    }
  }
  filled.seeds.clear();
  const ReadSettings read = ReadEntrySettings(filled.Fill());
  BOOST_TEST((std::get_if<EntrySettings>(&read) != nullptr), TextOf(read));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::platform
