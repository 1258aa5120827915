// Forward declarations of the schema module: the services that operators
// declare and the checks of requests to them.
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
