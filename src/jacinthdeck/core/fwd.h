// Forward declarations of the core module.
#ifndef JACINTHDECK_CORE_FWD_H_
#define JACINTHDECK_CORE_FWD_H_

namespace jacinthdeck {

class Clock;
class ManualClock;
class Random;
struct Error;
struct LinkBytes;
enum class ErrorCode;
enum class Outcome;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_FWD_H_
