// Prints the project's types in failed assertions.
#ifndef JACINTHDECK_TEST_SUPPORT_PRINTERS_H_
#define JACINTHDECK_TEST_SUPPORT_PRINTERS_H_

#include <ostream>

#include "jacinthdeck/core/outcome.h"

namespace jacinthdeck {

std::ostream& operator<<(std::ostream& out, Outcome outcome);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_SUPPORT_PRINTERS_H_
