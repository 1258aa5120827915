// Reads checked values from a TOML settings file and collects every fault.
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

/*! \brief One fault of a settings file. */
struct SettingsError {
  //! Line in the file; 0 where the fault is an absent key.
  std::uint32_t line = 0;
  //! Dotted key, such as `listen.callers`; empty for a syntax error.
  std::string key;
  //! What was found and what was expected.
  std::string message;

  [[nodiscard]] bool operator==(const SettingsError&) const = default;
};

/*! \brief Whether a key may be absent. */
enum class SettingPresence { kRequired, kOptional };

/*! \brief Inclusive range of a number. */
struct SettingRange {
  double low = 0;
  double high = 0;
};

/**
 * \brief Typed access to the keys of a settings file.
 *
 * A wrong value yields its fallback and a fault that names the key, what it was
 * and what is allowed, so that one run shows all faults of a file.
 */
class SettingsTable {
 public:
  explicit SettingsTable(const std::string& text);
  ~SettingsTable();
  SettingsTable(const SettingsTable&) = delete;
  SettingsTable& operator=(const SettingsTable&) = delete;

  /*! \brief Reads a text that is not empty. */
  [[nodiscard]] std::string Text(const std::string& key,
                                 SettingPresence presence,
                                 const std::string& fallback = "");

  /*! \brief Reads one of a few words. */
  [[nodiscard]] std::string OneOf(
      const std::string& key,
      std::initializer_list<std::string_view> allowed,
      const std::string& fallback);

  /*! \brief Reads a number, whole or not. */
  [[nodiscard]] double Number(const std::string& key,
                              SettingRange range,
                              SettingPresence presence,
                              double fallback = 0);

  /*! \brief Reads true or false. */
  [[nodiscard]] bool Flag(const std::string& key, bool fallback);

  /*! \brief Reads a time in milliseconds. */
  [[nodiscard]] Duration Milliseconds(const std::string& key,
                                      SettingRange range,
                                      Duration fallback);

  /*! \brief Reads `address:port`. */
  [[nodiscard]] Endpoint Address(const std::string& key,
                                 SettingPresence presence);

  /*! \brief Reads a list of `address:port`; empty if it is absent. */
  [[nodiscard]] std::vector<Endpoint> Addresses(const std::string& key);

  /*! \brief Gives all faults, unknown keys included; called last. */
  [[nodiscard]] std::vector<SettingsError> TakeErrors();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_SETTINGS_TABLE_H_
