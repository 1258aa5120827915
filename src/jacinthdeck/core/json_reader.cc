// Reads JSON members and checks their types and ranges.
#include "jacinthdeck/core/json_reader.h"

#include <jansson.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace jacinthdeck {

namespace {

//! Largest whole number up to which a double holds each whole number.
constexpr double kMaxExactReal = 9'007'199'254'740'991;

[[nodiscard]] std::string_view TypeName(const json_t* value) noexcept {
  switch (json_typeof(value)) {
    case JSON_OBJECT:
      return "an object";
    case JSON_ARRAY:
      return "an array";
    case JSON_STRING:
      return "a string";
    case JSON_INTEGER:
    case JSON_REAL:
      return "a number";
    case JSON_TRUE:
    case JSON_FALSE:
      return "true or false";
    case JSON_NULL:
      break;
  }
  return "null";
}

}  // namespace

JsonReader::JsonReader(const json_t* value, std::string path)
    : m_value(value), m_path(std::move(path)) {}

std::vector<std::string> JsonReader::Names() const {
  std::vector<std::string> names;
  // jansson has no iterator for const objects; the object is not modified.
  auto* object = const_cast<json_t*>(m_value);
  for (void* it = json_object_iter(object); it != nullptr;
       it = json_object_iter_next(object, it)) {
    names.emplace_back(json_object_iter_key(it));
  }
  std::ranges::sort(names);
  return names;
}

bool JsonReader::Has(std::string_view name) const {
  return json_object_get(m_value, std::string(name).c_str()) != nullptr;
}

Result<JsonReader> JsonReader::Member(std::string_view name) const {
  if (!json_is_object(m_value)) {
    return WrongType("an object");
  }
  const json_t* member = json_object_get(m_value, std::string(name).c_str());
  const std::string path = m_path + "." + std::string(name);
  if (member == nullptr) {
    return Fail(ErrorCode::kCorrupt, path, "is missing");
  }
  return JsonReader(member, path);
}

Result<JsonReader> JsonReader::Object(std::string_view name) const {
  BOOST_LEAF_AUTO(member, Member(name));
  if (!json_is_object(member.raw())) {
    return member.WrongType("an object");
  }
  return member;
}

Result<std::string> JsonReader::String(std::string_view name) const {
  BOOST_LEAF_AUTO(member, Member(name));
  return member.AsString();
}

Result<bool> JsonReader::Bool(std::string_view name) const {
  BOOST_LEAF_AUTO(member, Member(name));
  if (!json_is_boolean(member.raw())) {
    return member.WrongType("true or false");
  }
  return json_is_true(member.raw());
}

Result<double> JsonReader::Number(std::string_view name) const {
  BOOST_LEAF_AUTO(member, Member(name));
  if (!json_is_number(member.raw())) {
    return member.WrongType("a number");
  }
  return json_number_value(member.raw());
}

Result<std::uint64_t> JsonReader::Unsigned(std::string_view name,
                                           std::uint64_t max) const {
  BOOST_LEAF_AUTO(member, Member(name));
  return member.AsUnsigned(max);
}

Result<Duration> JsonReader::Milliseconds(std::string_view name,
                                          Duration max) const {
  BOOST_LEAF_AUTO(member, Member(name));
  if (!json_is_number(member.raw())) {
    return member.WrongType("a number");
  }
  const double value = json_number_value(member.raw());
  if (value < 0 || value > ToMilliseconds(max)) {
    return member.OutOfRange(std::to_string(value),
                             static_cast<std::uint64_t>(ToMilliseconds(max)));
  }
  constexpr double kMicroseconds = 1000;
  return Duration(std::llround(value * kMicroseconds));
}

Result<std::vector<JsonReader>> JsonReader::Array(std::string_view name) const {
  BOOST_LEAF_AUTO(member, Member(name));
  return member.Elements();
}

Result<std::vector<JsonReader>> JsonReader::Elements() const {
  if (!json_is_array(m_value)) {
    return WrongType("an array");
  }
  std::vector<JsonReader> elements;
  const std::size_t size = json_array_size(m_value);
  elements.reserve(size);
  for (std::size_t index = 0; index < size; ++index) {
    elements.emplace_back(json_array_get(m_value, index),
                          m_path + "[" + std::to_string(index) + "]");
  }
  return elements;
}

Result<std::string> JsonReader::AsString() const {
  if (!json_is_string(m_value)) {
    return WrongType("a string");
  }
  return std::string(json_string_value(m_value), json_string_length(m_value));
}

Result<std::uint64_t> JsonReader::AsUnsigned(std::uint64_t max) const {
  // JSON has one type of number, so that 7.0 and 7e0 are whole as well.
  if (json_is_real(m_value)) {
    const double value = json_real_value(m_value);
    if (value != std::trunc(value) || std::abs(value) > kMaxExactReal) {
      return WrongType("a whole number");
    }
    if (value < 0 || static_cast<std::uint64_t>(value) > max) {
      return OutOfRange(std::to_string(value), max);
    }
    return static_cast<std::uint64_t>(value);
  }
  if (!json_is_integer(m_value)) {
    return WrongType("a whole number");
  }
  const json_int_t value = json_integer_value(m_value);
  if (value < 0 || static_cast<std::uint64_t>(value) > max) {
    return OutOfRange(std::to_string(value), max);
  }
  return static_cast<std::uint64_t>(value);
}

boost::leaf::error_id JsonReader::OutOfRange(const std::string& value,
                                             std::uint64_t max) const {
  return Fail(ErrorCode::kCorrupt, m_path,
              "is " + value + ", expected 0 to " + std::to_string(max));
}

boost::leaf::error_id JsonReader::WrongType(std::string_view expected) const {
  return Fail(ErrorCode::kCorrupt, m_path,
              "is " + std::string(TypeName(m_value)) + ", expected " +
                  std::string(expected));
}

}  // namespace jacinthdeck
