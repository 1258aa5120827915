// Requests and replies of the HTTP servers.
#include "jacinthdeck/runtime/http_types.h"

namespace jacinthdeck {

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const std::size_t slash = path.find('/');
    const std::string_view part = path.substr(0, slash);
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    path = slash == path.npos ? std::string_view() : path.substr(slash + 1);
  }
  return parts;
}

}  // namespace jacinthdeck
