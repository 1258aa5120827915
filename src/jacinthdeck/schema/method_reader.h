// Reads the declaration of a call from the attributes of a FlatBuffers schema.
#ifndef JACINTHDECK_SCHEMA_METHOD_READER_H_
#define JACINTHDECK_SCHEMA_METHOD_READER_H_

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/schema/method.h"

namespace flatbuffers {
struct RPCCall;
struct ServiceDef;
}  // namespace flatbuffers

namespace jacinthdeck::internal {

//! Declarations of the attributes, put before the text of every schema. They
//! are on one line without a line end, so that the parser's line numbers stay
//! those of the schema.
inline constexpr const char* kAttributeDeclarations =
    R"(attribute "fan_out"; attribute "merge"; attribute "repeat"; attribute "deadline_ms"; attribute "limit"; attribute "key"; )";

/**
 * \brief Reads and checks the declaration of one call.
 * \param service Service that declares the call.
 * \param call Parsed declaration of the call.
 * \return The method, or kInvalidArgument with `Service.Call` as subject.
 */
[[nodiscard]] Result<Method> ReadMethod(const flatbuffers::ServiceDef& service,
                                        const flatbuffers::RPCCall& call);

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_SCHEMA_METHOD_READER_H_
