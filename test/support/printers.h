// Output operators with which Boost.Test prints values of failed assertions.
#ifndef JACINTHDECK_TEST_SUPPORT_PRINTERS_H_
#define JACINTHDECK_TEST_SUPPORT_PRINTERS_H_

#include <ostream>

#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/core/strong_id.h"

namespace jacinthdeck {

template <typename Tag, typename Raw>
std::ostream& operator<<(std::ostream& out, const StrongId<Tag, Raw>& id) {
  return out << id.raw();
}

std::ostream& operator<<(std::ostream& out, Outcome outcome);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_SUPPORT_PRINTERS_H_
