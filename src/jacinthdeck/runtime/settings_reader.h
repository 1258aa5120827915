// Reads and checks a settings file.
#ifndef JACINTHDECK_RUNTIME_SETTINGS_READER_H_
#define JACINTHDECK_RUNTIME_SETTINGS_READER_H_

#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/core/settings_table.h"
#include "jacinthdeck/runtime/settings.h"

namespace jacinthdeck {

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
