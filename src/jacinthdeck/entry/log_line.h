// Builder of a log line.
#ifndef JACINTHDECK_ENTRY_LOG_LINE_H_
#define JACINTHDECK_ENTRY_LOG_LINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Builds a JSON object on a single line, field by field. */
class LogLine {
 public:
  /*! \brief Adds a string; it is quoted and escaped. */
  LogLine& Text(std::string_view name, std::string_view value);

  /*! \brief Adds an integer. */
  template <std::integral Number>
  LogLine& Count(std::string_view name, Number value) {
    Begin(name);
    m_text += std::to_string(value);
    return *this;
  }

  /*! \brief Adds a number with three decimals; null if it is not finite. */
  LogLine& Number(std::string_view name, double value);

  /*! \brief Adds 64 bits as a hexadecimal string, since JSON parsers reject or
   * round integers of that size. */
  LogLine& Hash(std::string_view name, std::uint64_t value);

  /*! \brief Adds a duration in milliseconds with one decimal; the name should
   * end in `_ms`. */
  LogLine& Milliseconds(std::string_view name, Duration value);

  /*! \brief Adds a boolean. */
  LogLine& Flag(std::string_view name, bool value);

  /*! \brief Adds a value that is already encoded as JSON. */
  LogLine& Raw(std::string_view name, std::string_view json);

  /*! \brief Closes the object and returns its text. */
  [[nodiscard]] std::string Finish() &&;

 private:
  void Begin(std::string_view name);

  std::string m_text;
};

/*! \brief Appends \p text as a quoted JSON string. Quotes, backslashes and all
 * bytes outside printable ASCII are escaped. */
void AppendQuoted(std::string& out, std::string_view text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOG_LINE_H_
