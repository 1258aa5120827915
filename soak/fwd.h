// Forward declarations of the soak, which runs real processes under seeded
// faults and checks what callers and targets observed against the promises.
#ifndef SOAK_FWD_H_
#define SOAK_FWD_H_

namespace jacinthdeck::soak {

class Callers;
class Child;
class Cluster;
class LoopbackProxy;
struct Action;
struct Call;
struct History;
struct PlanOptions;
struct Violation;

}  // namespace jacinthdeck::soak

#endif  // SOAK_FWD_H_
