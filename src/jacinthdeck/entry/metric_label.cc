// A line break would end the line of the metric, so it becomes a space.
#include "jacinthdeck/entry/metric_label.h"

namespace jacinthdeck {

std::string EscapeLabelValue(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c == '\n' ? ' ' : c;
  }
  return out;
}

}  // namespace jacinthdeck
