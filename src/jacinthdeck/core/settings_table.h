// Reads checked values from a TOML settings file and collects all errors.
#ifndef JACINTHDECK_CORE_SETTINGS_TABLE_H_
#define JACINTHDECK_CORE_SETTINGS_TABLE_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Error in a settings file. */
struct SettingsError {
  //! Line in the file; 0 if a required key is missing.
  std::uint32_t line = 0;
  //! Dotted key, such as `listen.callers`; empty for a syntax error.
  std::string key;
  //! What was found and what was expected.
  std::string message;

  [[nodiscard]] bool operator==(const SettingsError&) const = default;
};

/*! \brief Whether a key must be present. */
enum class SettingPresence { kRequired, kOptional };

/*! \brief Inclusive range of allowed numbers. */
struct SettingRange {
  double low = 0;
  double high = 0;
};

/*! \brief Inclusive range of allowed durations. */
struct SettingDurations {
  Duration low{};
  Duration high{};
};

/**
 * \brief Typed access to the keys of a settings file.
 *
 * For an absent or wrong value, a function returns its fallback. A wrong value
 * also records an error with the key, the value found and the values allowed,
 * so that one run reports all errors of a file.
 */
class SettingsTable {
 public:
  /*! \brief Parses the text of a TOML file; a syntax error is recorded. */
  explicit SettingsTable(const std::string& text);
  ~SettingsTable();
  SettingsTable(const SettingsTable&) = delete;
  SettingsTable& operator=(const SettingsTable&) = delete;

  /*! \brief Reads a non-empty string. */
  [[nodiscard]] std::string Text(const std::string& key,
                                 SettingPresence presence,
                                 const std::string& fallback = "");

  /*! \brief Reads a string that must be one of the allowed values, as the
   * fallback must be. */
  [[nodiscard]] std::string OneOf(
      const std::string& key,
      std::initializer_list<std::string_view> allowed,
      const std::string& fallback);

  /*! \brief Reads an integer or floating-point number. */
  [[nodiscard]] double Number(const std::string& key,
                              SettingRange range,
                              SettingPresence presence,
                              double fallback = 0);

  /*! \brief Reads a boolean. */
  [[nodiscard]] bool Flag(const std::string& key, bool fallback);

  /**
   * \brief Reads a duration, a whole number or a fraction.
   * \param key Key without its unit: `KEY_ms` holds milliseconds, `KEY_s`
   * seconds. To set both is an error.
   */
  [[nodiscard]] Duration Time(const std::string& key,
                              SettingDurations range,
                              Duration fallback);

  /*! \brief Reads an endpoint of the form `address:port`. */
  [[nodiscard]] Endpoint Address(const std::string& key,
                                 SettingPresence presence);

  /*! \brief Reads a list of `address:port`; empty if the key is absent. */
  [[nodiscard]] std::vector<Endpoint> Addresses(const std::string& key);

  /*! \brief Returns all errors, including unknown keys. Call it after all
   * reads, since only keys read before count as known. */
  [[nodiscard]] std::vector<SettingsError> TakeErrors();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_SETTINGS_TABLE_H_
