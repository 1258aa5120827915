// Prints the project's types in failed assertions.
#include "support/printers.h"

namespace jacinthdeck {

std::ostream& operator<<(std::ostream& out, Outcome outcome) {
  return out << kOutcomeNames.Name(outcome);
}

std::ostream& operator<<(std::ostream& out, ChangeState state) {
  return out << kChangeStateNames.Name(state);
}

std::ostream& operator<<(std::ostream& out, MemberState state) {
  return out << kMemberStateNames.Name(state);
}

std::ostream& operator<<(std::ostream& out, OnceDecision decision) {
  return out << kOnceDecisionNames.Name(decision);
}

std::ostream& operator<<(std::ostream& out, ServeState state) {
  return out << kServeStateNames.Name(state);
}

}  // namespace jacinthdeck
