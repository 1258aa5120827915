// Checked access to the members of a JSON value: a missing member or a wrong
// type is reported as an error that names the member.
#ifndef JACINTHDECK_CORE_JSON_READER_H_
#define JACINTHDECK_CORE_JSON_READER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"

struct json_t;

namespace jacinthdeck {

/**
 * \brief View of a JSON value and its path within the document.
 *
 * Every failure has the code kCorrupt and, as its subject, the path of the
 * value that is missing or wrong. The value must outlive the reader.
 */
class JsonReader {
 public:
  JsonReader(const json_t* value, std::string path);

  /*! \brief Returns the underlying value; never null. */
  [[nodiscard]] const json_t* raw() const noexcept { return m_value; }

  /*! \brief Returns the path of the value, as used in errors. */
  [[nodiscard]] const std::string& path() const noexcept { return m_path; }

  /*! \brief Returns the sorted member names; empty for a value that is not an
   * object. */
  [[nodiscard]] std::vector<std::string> Names() const;

  /*! \brief Returns true if the value is an object with this member. */
  [[nodiscard]] bool Has(std::string_view name) const;

  /*! \brief Reads a member of any type. */
  [[nodiscard]] Result<JsonReader> Member(std::string_view name) const;

  /*! \brief Reads a member that must be an object. */
  [[nodiscard]] Result<JsonReader> Object(std::string_view name) const;

  /*! \brief Reads a member that must be a string. */
  [[nodiscard]] Result<std::string> String(std::string_view name) const;

  /*! \brief Reads a member that must be a boolean. */
  [[nodiscard]] Result<bool> Bool(std::string_view name) const;

  /*! \brief Reads a member that must be a number. */
  [[nodiscard]] Result<double> Number(std::string_view name) const;

  /**
   * \brief Reads a member that must be a whole number, in any spelling.
   * \param name Name of the member.
   * \param max Highest accepted value; the lowest is 0.
   */
  [[nodiscard]] Result<std::uint64_t> Unsigned(std::string_view name,
                                               std::uint64_t max) const;

  /**
   * \brief Reads a member that must be a duration in milliseconds, which may
   * be a fraction.
   * \param max Longest accepted duration; the shortest is 0.
   */
  [[nodiscard]] Result<Duration> Milliseconds(std::string_view name,
                                              Duration max) const;

  /*! \brief Reads the elements of a member that must be an array. */
  [[nodiscard]] Result<std::vector<JsonReader>> Array(
      std::string_view name) const;

  /*! \brief Reads the elements of this value, which must be an array. */
  [[nodiscard]] Result<std::vector<JsonReader>> Elements() const;

  /*! \brief Reads this value, which must be a string. */
  [[nodiscard]] Result<std::string> AsString() const;

  /**
   * \brief Reads this value, which must be a whole number, in any spelling.
   * \param max Highest accepted value; the lowest is 0.
   */
  [[nodiscard]] Result<std::uint64_t> AsUnsigned(std::uint64_t max) const;

 private:
  [[nodiscard]] boost::leaf::error_id WrongType(
      std::string_view expected) const;
  [[nodiscard]] boost::leaf::error_id OutOfRange(const std::string& value,
                                                 std::uint64_t max) const;

  const json_t* m_value;
  std::string m_path;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_JSON_READER_H_
