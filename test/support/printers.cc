// Prints enumerators by their names.
#include "support/printers.h"

namespace jacinthdeck {

std::ostream& operator<<(std::ostream& out, Outcome outcome) {
  return out << kOutcomeNames.Name(outcome);
}

}  // namespace jacinthdeck
