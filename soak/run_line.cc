// Members are words separated by one blank; "-" stands for an empty member.
#include "soak/run_line.h"

#include <cctype>
#include <sstream>

namespace jacinthdeck::soak {

namespace {

constexpr const char* kEmpty = "-";
constexpr const char* kWithKey = "key";

[[nodiscard]] std::string WordOf(std::string text) {
  for (char& c : text) {
    if (std::isspace(static_cast<unsigned char>(c)) != 0) {
      c = '_';
    }
  }
  return text.empty() ? kEmpty : text;
}

[[nodiscard]] std::string TextOf(const std::string& word) {
  return word == kEmpty ? "" : word;
}

}  // namespace

std::string Format(const RunLine& line) {
  return WordOf(line.event) + " " + WordOf(line.target) + " " +
         WordOf(line.request) + " " +
         std::to_string(line.at.time_since_epoch().count()) + " " +
         WordOf(line.account) + " " + (line.has_key ? kWithKey : kEmpty) + "\n";
}

std::optional<RunLine> ParseRunLine(const std::string& text) {
  std::istringstream words(text);
  RunLine line;
  std::string request;
  std::string account;
  std::string key;
  Duration::rep at = 0;
  if (!(words >> line.event >> line.target >> request >> at >> account >>
        key)) {
    return std::nullopt;
  }
  line.request = TextOf(request);
  line.at = TimePoint(Duration(at));
  line.account = TextOf(account);
  line.has_key = key == kWithKey;
  return line;
}

}  // namespace jacinthdeck::soak
