// Reads and checks a settings file.
#ifndef JACINTHDECK_RUNTIME_SETTINGS_READER_H_
#define JACINTHDECK_RUNTIME_SETTINGS_READER_H_

#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/runtime/settings.h"

namespace jacinthdeck {

/*! \brief One fault of a settings file. */
struct SettingsFault {
  //! Line in the file; 0 where the fault is an absent key.
  std::uint32_t line = 0;
  //! Dotted key, such as `listen.callers.port`; empty for a syntax error.
  std::string key;
  //! What was found and what was expected.
  std::string message;

  [[nodiscard]] bool operator==(const SettingsFault&) const = default;
};

/**
 * \brief Reads settings from TOML text.
 * \param text Content of the file.
 * \return The settings, or every fault found, in the order of the table of
 * keys.
 */
[[nodiscard]] std::variant<Settings, std::vector<SettingsFault>> ReadSettings(
    const std::string& text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_SETTINGS_READER_H_
