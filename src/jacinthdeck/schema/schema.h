// The operators' services: a FlatBuffers schema read at run time, and the
// checks of requests.
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
 * The file is FlatBuffers IDL. Each call of an `rpc_service` may carry the
 * attributes fan_out, merge, repeat, deadline_ms, limit and key; names and
 * defaults stand in method.h.
 */
class Schema {
 public:
  Schema(Schema&&) noexcept;
  Schema& operator=(Schema&&) noexcept;
  ~Schema();

  /**
   * \brief Reads a schema.
   * \param text FlatBuffers IDL.
   * \return The schema, or kInvalidArgument with `line N` as subject and the
   * reason.
   */
  [[nodiscard]] static Result<Schema> Parse(const std::string& text);

  /*! \brief Lists the declared calls, ordered by service and name. */
  [[nodiscard]] const std::vector<std::shared_ptr<const Method>>& methods()
      const noexcept;

  /**
   * \brief Finds a declared call.
   * \param service Name of the service.
   * \param method Name of the call.
   * \return The declaration, or null.
   */
  [[nodiscard]] std::shared_ptr<const Method> Find(
      std::string_view service,
      std::string_view method) const;

  /**
   * \brief Checks a request against its declaration.
   * \param method Declaration that Find() of this schema gave.
   * \param json Request body as the caller sent it.
   * \return The canonical request, or kInvalidArgument that names the field.
   */
  [[nodiscard]] Result<CheckedRequest> Check(const Method& method,
                                             const std::string& json) const;

 private:
  explicit Schema(std::unique_ptr<internal::RequestParser> parser,
                  std::vector<std::shared_ptr<const Method>> methods);

  std::unique_ptr<internal::RequestParser> m_parser;
  //! Ordered by service, then name; no two alike.
  std::vector<std::shared_ptr<const Method>> m_methods;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_SCHEMA_H_
