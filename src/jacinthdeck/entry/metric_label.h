// Values of labels in the Prometheus text format.
#ifndef JACINTHDECK_ENTRY_METRIC_LABEL_H_
#define JACINTHDECK_ENTRY_METRIC_LABEL_H_

#include <string>
#include <string_view>

namespace jacinthdeck {

/*! \brief Escapes a label value, which may contain any text. */
[[nodiscard]] std::string EscapeLabelValue(std::string_view text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_METRIC_LABEL_H_
