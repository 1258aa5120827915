// One log line while it is put together.
#ifndef JACINTHDECK_ENTRY_LOG_LINE_H_
#define JACINTHDECK_ENTRY_LOG_LINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Builds a JSON object on one line. */
class LogLine {
 public:
  /*! \brief Adds a text. */
  LogLine& Text(std::string_view name, std::string_view value);

  /*! \brief Adds a whole number. */
  template <std::integral Number>
  LogLine& Count(std::string_view name, Number value) {
    Begin(name);
    m_text += std::to_string(value);
    return *this;
  }

  /*! \brief Adds 64 bits as hexadecimal text: readers of JSON refuse or round
   * whole numbers of that size. */
  LogLine& Hash(std::string_view name, std::uint64_t value);

  /*! \brief Adds a time in milliseconds; the name should end in `_ms`. */
  LogLine& Milliseconds(std::string_view name, Duration value);

  /*! \brief Adds true or false. */
  LogLine& Flag(std::string_view name, bool value);

  /*! \brief Adds a value that is JSON already. */
  LogLine& Raw(std::string_view name, std::string_view json);

  /*! \brief Ends the object. */
  [[nodiscard]] std::string Finish() &&;

 private:
  void Begin(std::string_view name);

  std::string m_text;
};

/*! \brief Appends text between quotes, with what JSON wants escaped. */
void AppendQuoted(std::string& out, std::string_view text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOG_LINE_H_
