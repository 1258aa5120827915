// Forward declarations of the soak: real processes under faults, and the
// promises that are checked on what callers and targets saw.
#ifndef SOAK_FWD_H_
#define SOAK_FWD_H_

namespace jacinthdeck::soak {

class Callers;
class Child;
class LoopbackProxy;
class Stage;
struct Action;
struct Call;
struct History;
struct PlanOptions;
struct Violation;

}  // namespace jacinthdeck::soak

#endif  // SOAK_FWD_H_
