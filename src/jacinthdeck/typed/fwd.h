// Forward declarations of the typed module: the product's own call interface,
// for the calls that a schema declares.
#ifndef JACINTHDECK_TYPED_FWD_H_
#define JACINTHDECK_TYPED_FWD_H_

namespace jacinthdeck {

class TypedCallRunner;
class TypedPort;
struct EncodedAnswer;
struct TypedCall;
struct TypedOptions;
enum class ExecutionStatus;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_FWD_H_
