// Formats each evacuated failure domain as one JSON object.
#include "jacinthdeck/entry/evacuation_text.h"

#include <utility>

#include "jacinthdeck/entry/log_line.h"

namespace jacinthdeck {

std::string EvacuationsText(std::span<const Evacuation> evacuations,
                            TimePoint now) {
  std::string text = "[";
  for (const Evacuation& evacuation : evacuations) {
    LogLine item;
    item.Text("failure_domain", evacuation.domain.raw())
        .Count("revision", evacuation.position.revision)
        .Milliseconds("for_ms", now - evacuation.since);
    text += text.size() > 1 ? "," : "";
    text += std::move(item).Finish();
  }
  return text + "]";
}

}  // namespace jacinthdeck
