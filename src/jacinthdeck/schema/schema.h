// Services that operators declare in a FlatBuffers schema, which is read at run
// time, and the checks of requests to them.
#ifndef JACINTHDECK_SCHEMA_SCHEMA_H_
#define JACINTHDECK_SCHEMA_SCHEMA_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/schema/checked_request.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck {

namespace internal {
class RequestParser;
}  // namespace internal

/**
 * \brief Immutable set of declared services; safe to use from several threads.
 *
 * The schema is FlatBuffers IDL. Each call of an `rpc_service` may have the
 * attributes fan_out, merge, repeat, deadline_ms, limit and key; method.h
 * defines their values and defaults.
 */
class Schema {
 public:
  Schema(Schema&&) noexcept;
  Schema& operator=(Schema&&) noexcept;
  ~Schema();

  /**
   * \brief Parses a schema and reads its calls.
   * \param text Schema as FlatBuffers IDL.
   * \return The schema, or kInvalidArgument with the reason and `line N` or
   * `Service.Call` as subject.
   */
  [[nodiscard]] static Result<Schema> Parse(const std::string& text);

  /*! \brief Returns the declared calls, ordered by service and name. */
  [[nodiscard]] const std::vector<std::shared_ptr<const Method>>& methods()
      const noexcept;

  /**
   * \brief Finds a declared call.
   * \param service Name of the service.
   * \param method Name of the call.
   * \return The declaration; null if the schema has no such call.
   */
  [[nodiscard]] std::shared_ptr<const Method> Find(
      std::string_view service,
      std::string_view method) const;

  /**
   * \brief Checks a request against its declaration.
   * \param method Declaration that Find() of this schema returned.
   * \param json Request body as the caller sent it.
   * \return The canonical request, or kInvalidArgument with the body or the key
   * field as subject.
   */
  [[nodiscard]] Result<CheckedRequest> Check(const Method& method,
                                             const std::string& json) const;

 private:
  explicit Schema(std::unique_ptr<internal::RequestParser> parser,
                  std::vector<std::shared_ptr<const Method>> methods);

  std::unique_ptr<internal::RequestParser> m_parser;
  //! Declared calls, distinct, ordered by service, then name.
  std::vector<std::shared_ptr<const Method>> m_methods;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_SCHEMA_H_
