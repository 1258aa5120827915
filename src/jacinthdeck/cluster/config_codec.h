// Text form of the configuration value at the store.
#ifndef JACINTHDECK_CLUSTER_CONFIG_CODEC_H_
#define JACINTHDECK_CLUSTER_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/*! \brief Renders a value as JSON, the same text for the same value. */
[[nodiscard]] std::string EncodeConfig(const ConfigValue& value);

/**
 * \brief Reads a value.
 * \param text JSON as EncodeConfig() renders it.
 * \return The value, or kCorrupt naming the first wrong field.
 */
[[nodiscard]] Result<ConfigValue> DecodeConfig(std::string_view text);

/**
 * \brief Renders a value, giving up its oldest history where it is too large.
 * \param value Value; loses the history that does not fit.
 * \return The text, or kTooLarge with the size where it does not fit without
 * any history.
 */
[[nodiscard]] Result<std::string> EncodeWithinLimit(ConfigValue& value);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CONFIG_CODEC_H_
