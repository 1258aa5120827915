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

//! Attribute declarations that every schema may use; on one line, so that line
//! numbers stay right.
inline constexpr const char* kAttributeDeclarations =
    R"(attribute "fan_out"; attribute "merge"; attribute "repeat"; attribute "deadline_ms"; attribute "limit"; attribute "key"; )";

/**
 * \brief Reads one call of a service.
 * \param service Service that declares it.
 * \param call Its declaration.
 * \return The method, or kInvalidArgument with `Service.Call` as subject.
 */
[[nodiscard]] Result<Method> ReadMethod(const flatbuffers::ServiceDef& service,
                                        const flatbuffers::RPCCall& call);

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_SCHEMA_METHOD_READER_H_
