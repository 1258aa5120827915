// Appends JSON text directly: building a JSON document for each line would cost
// more than the decision that the line reports.
#include "jacinthdeck/entry/log_line.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace jacinthdeck {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kLastAscii = 0x7e;

void AppendEscaped(std::string& out, char c) {
  constexpr std::string_view kHex = "0123456789abcdef";
  constexpr unsigned kNibble = 4;
  constexpr unsigned kLowNibble = 15;
  const auto byte = static_cast<unsigned char>(c);
  out += "\\u00";
  out += kHex[byte >> kNibble];
  out += kHex[byte & kLowNibble];
}

}  // namespace

LogLine& LogLine::Text(std::string_view name, std::string_view value) {
  Begin(name);
  AppendQuoted(m_text, value);
  return *this;
}

LogLine& LogLine::Hash(std::string_view name, std::uint64_t value) {
  constexpr int kHex = 16;
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, kHex);
  return Text(name, {digits.data(), end.ptr});
}

LogLine& LogLine::Milliseconds(std::string_view name, Duration value) {
  constexpr int kDecimals = 1;
  std::array<char, 32> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(),
                    ToMilliseconds(value), std::chars_format::fixed, kDecimals);
  Begin(name);
  m_text.append(digits.data(), end.ptr);
  return *this;
}

LogLine& LogLine::Number(std::string_view name, double value) {
  if (!std::isfinite(value)) {
    return Raw(name, "null");
  }
  constexpr int kDecimals = 3;
  // The longest number has 309 digits before its decimals.
  std::array<char, 320> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, std::chars_format::fixed, kDecimals);
  Begin(name);
  m_text.append(digits.data(), end.ptr);
  return *this;
}

LogLine& LogLine::Flag(std::string_view name, bool value) {
  Begin(name);
  m_text += value ? "true" : "false";
  return *this;
}

LogLine& LogLine::Raw(std::string_view name, std::string_view json) {
  Begin(name);
  m_text += json;
  return *this;
}

std::string LogLine::Finish() && {
  m_text += m_text.empty() ? "{}" : "}";
  return std::move(m_text);
}

void LogLine::Begin(std::string_view name) {
  m_text += m_text.empty() ? '{' : ',';
  AppendQuoted(m_text, name);
  m_text += ':';
}

void AppendQuoted(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < kFirstPrintable || byte > kLastAscii) {
      // Bytes above ASCII are chosen by callers and may not be valid UTF-8.
      AppendEscaped(out, c);
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace jacinthdeck
