// Forward declarations of the core module.
#ifndef JACINTHDECK_CORE_FWD_H_
#define JACINTHDECK_CORE_FWD_H_

namespace jacinthdeck {

class ByteBudget;
class Clock;
class HeldBytes;
class ManualClock;
class Random;
struct Error;
struct LinkBytes;
enum class ErrorCode;
enum class Outcome;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_FWD_H_
