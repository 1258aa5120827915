// Parses a schema and checks request bodies with the FlatBuffers parser.
#ifndef JACINTHDECK_SCHEMA_REQUEST_PARSER_H_
#define JACINTHDECK_SCHEMA_REQUEST_PARSER_H_

#include <flatbuffers/idl.h>

#include <mutex>
#include <string>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/schema/checked_request.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck::internal {

/*! \brief Guards one FlatBuffers parser with a mutex, since the parser keeps
 * state while it parses. */
class RequestParser {
 public:
  RequestParser();

  /*! \brief Returns the services that the schema declares. */
  [[nodiscard]] const flatbuffers::SymbolTable<flatbuffers::ServiceDef>&
  services() const noexcept {
    return m_parser.services_;
  }

  /**
   * \brief Reads the schema; must be called once, before any Check().
   * \param text Schema as FlatBuffers IDL.
   * \return Nothing, or kInvalidArgument with `line N` as subject.
   */
  [[nodiscard]] Result<void> ReadSchema(const std::string& text);

  /**
   * \brief Checks a request against the declaration of its method.
   * \param method Declaration from this schema.
   * \param json Body of the request.
   * \return The canonical request, kNotFound if this schema does not declare
   * the method, or kInvalidArgument.
   */
  [[nodiscard]] Result<CheckedRequest> Check(const Method& method,
                                             const std::string& json);

 private:
  //! Parses a request body and writes it again in its canonical form.
  [[nodiscard]] Result<std::string> Canonicalize(const Method& method,
                                                 const std::string& json);

  std::mutex m_mutex;
  flatbuffers::Parser m_parser;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_SCHEMA_REQUEST_PARSER_H_
