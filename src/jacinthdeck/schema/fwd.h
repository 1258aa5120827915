// Forward declarations of the schema module: the operators' services and
// request checks.
#ifndef JACINTHDECK_SCHEMA_FWD_H_
#define JACINTHDECK_SCHEMA_FWD_H_

namespace jacinthdeck {

class Schema;
struct Method;
enum class FanOut;
enum class MergeRule;
enum class Repeat;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_FWD_H_
