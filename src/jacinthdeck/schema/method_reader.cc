// Reads the attributes of a call and checks that they fit together.
#include "jacinthdeck/schema/method_reader.h"

#include <flatbuffers/idl.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace jacinthdeck::internal {

namespace {

//! Longest deadline that a schema may declare, in milliseconds. A longer one
//! would let a stuck call occupy its slot for minutes.
constexpr std::uint64_t kMaxDeadlineMs = 60'000;
//! Largest limit of hits that a schema may declare. Answers with more hits are
//! larger than callers accept.
constexpr std::uint64_t kMaxLimit = 10'000;

//! Inclusive bounds of a number attribute.
struct NumberRange {
  std::uint64_t min;
  std::uint64_t max;
};

//! Reads one call; keeps references to its parsed declaration.
class MethodReader {
 public:
  MethodReader(const flatbuffers::ServiceDef& service,
               const flatbuffers::RPCCall& call)
      : m_service(service), m_call(call) {}

  [[nodiscard]] Result<Method> Read() const {
    Method method;
    method.service = ServiceId(m_service.name);
    method.name = m_call.name;
    BOOST_LEAF_CHECK(ReadEnum("fan_out", kFanOutNames, method.fan_out));
    BOOST_LEAF_CHECK(ReadEnum("merge", kMergeRuleNames, method.merge));
    BOOST_LEAF_CHECK(ReadEnum("repeat", kRepeatNames, method.repeat));
    BOOST_LEAF_AUTO(
        deadline,
        ReadNumber("deadline_ms", NumberRange{1, kMaxDeadlineMs},
                   static_cast<std::uint64_t>(method.deadline.count() / 1000)));
    method.deadline = std::chrono::milliseconds(deadline);
    BOOST_LEAF_AUTO(
        limit, ReadNumber("limit", NumberRange{1, kMaxLimit}, method.limit));
    method.limit = static_cast<std::uint32_t>(limit);
    method.key_field = Attribute("key").value_or("");
    BOOST_LEAF_CHECK(CheckAttributeCombination(method));
    return method;
  }

 private:
  [[nodiscard]] std::string Name() const {
    return m_service.name + "." + m_call.name;
  }

  [[nodiscard]] std::optional<std::string> Attribute(
      const std::string& name) const {
    const flatbuffers::Value* value = m_call.attributes.Lookup(name);
    return value == nullptr ? std::nullopt
                            : std::optional<std::string>(value->constant);
  }

  template <typename Enum, std::size_t Size>
  [[nodiscard]] Result<void> ReadEnum(const std::string& attribute,
                                      const NameTable<Enum, Size>& names,
                                      Enum& out) const {
    const auto text = Attribute(attribute);
    if (!text) {
      return {};
    }
    const std::optional<Enum> value = names.Find(*text);
    if (!value) {
      std::string expected;
      for (const std::string_view name : names.names) {
        expected += (expected.empty() ? "" : ", ") + std::string(name);
      }
      return Fail(
          ErrorCode::kInvalidArgument, Name(),
          attribute + " is \"" + *text + "\", expected one of " + expected);
    }
    out = *value;
    return {};
  }

  [[nodiscard]] Result<std::uint64_t> ReadNumber(const std::string& attribute,
                                                 NumberRange range,
                                                 std::uint64_t fallback) const {
    const auto text = Attribute(attribute);
    if (!text) {
      return fallback;
    }
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() ||
        value < range.min || value > range.max) {
      return Fail(
          ErrorCode::kInvalidArgument, Name(),
          attribute + " is \"" + *text + "\", expected a whole number from " +
              std::to_string(range.min) + " to " + std::to_string(range.max));
    }
    return value;
  }

  [[nodiscard]] Result<void> CheckAttributeCombination(
      const Method& method) const {
    const bool keyed = method.fan_out == FanOut::kKey;
    if (keyed != !method.key_field.empty()) {
      return Fail(ErrorCode::kInvalidArgument, Name(),
                  "fan_out \"key\" and the attribute key require each other");
    }
    if (keyed) {
      BOOST_LEAF_CHECK(CheckKeyField(method));
    }
    // A request that must run at most once may go to one shard only. With
    // several, one shard might run it and another refuse it, and no single
    // outcome could be reported to the caller.
    if (method.repeat == Repeat::kOnce && !keyed) {
      return Fail(
          ErrorCode::kInvalidArgument, Name(),
          "repeat \"once\" needs fan_out \"key\": one shard runs the request");
    }
    return {};
  }

  [[nodiscard]] Result<void> CheckKeyField(const Method& method) const {
    const flatbuffers::FieldDef* field =
        m_call.request->fields.Lookup(method.key_field);
    if (field == nullptr) {
      return Fail(ErrorCode::kInvalidArgument, Name(),
                  "key names the field \"" + method.key_field + "\", which " +
                      m_call.request->name + " does not have");
    }
    const flatbuffers::Type& type = field->value.type;
    if (type.base_type != flatbuffers::BASE_TYPE_STRING &&
        !flatbuffers::IsInteger(type.base_type)) {
      return Fail(ErrorCode::kInvalidArgument, Name(),
                  "key field \"" + method.key_field +
                      "\" must be a string or an integer");
    }
    return {};
  }

  const flatbuffers::ServiceDef& m_service;
  const flatbuffers::RPCCall& m_call;
};

}  // namespace

Result<Method> ReadMethod(const flatbuffers::ServiceDef& service,
                          const flatbuffers::RPCCall& call) {
  return MethodReader(service, call).Read();
}

}  // namespace jacinthdeck::internal
