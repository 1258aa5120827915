// Renders JSON as indented text.
#include "ctl/human.h"

#include <jansson.h>

#include <string>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::ctl {

namespace {

[[nodiscard]] bool IsNested(const json_t* value) {
  return (json_is_object(value) && json_object_size(value) > 0) ||
         (json_is_array(value) && json_array_size(value) > 0);
}

[[nodiscard]] std::string Scalar(const json_t* value) {
  return json_is_string(value) ? std::string(json_string_value(value))
                               : DumpJson(*value);
}

//! Whether a value is an array without nested values, which is printed on one
//! line.
[[nodiscard]] bool IsPlainArray(const json_t* value) {
  for (std::size_t index = 0; index < json_array_size(value); ++index) {
    if (IsNested(json_array_get(value, index))) {
      return false;
    }
  }
  return json_is_array(value);
}

void PrintNested(const json_t* value, std::size_t depth, std::ostream& out);

void PrintMember(const std::string& name,
                 const json_t* value,
                 std::size_t depth,
                 std::ostream& out) {
  out << std::string(2 * depth, ' ') << name;
  if (IsNested(value) && !IsPlainArray(value)) {
    out << "\n";
    PrintNested(value, depth + 1, out);
    return;
  }
  out << " ";
  if (json_is_array(value)) {
    for (std::size_t index = 0; index < json_array_size(value); ++index) {
      out << (index == 0 ? "" : " ") << Scalar(json_array_get(value, index));
    }
  } else {
    out << Scalar(value);
  }
  out << "\n";
}

void PrintNested(const json_t* value, std::size_t depth, std::ostream& out) {
  if (json_is_array(value)) {
    for (std::size_t index = 0; index < json_array_size(value); ++index) {
      PrintMember("-", json_array_get(value, index), depth, out);
    }
    return;
  }
  for (const std::string& name : JsonReader(value, "").Names()) {
    PrintMember(name, json_object_get(value, name.c_str()), depth, out);
  }
}

}  // namespace

void PrintIndented(const json_t& value, std::ostream& out) {
  if (IsNested(&value)) {
    PrintNested(&value, 0, out);
  } else {
    out << Scalar(&value) << "\n";
  }
}

}  // namespace jacinthdeck::ctl
