// Checks the promises about client accounts.
#ifndef SOAK_ACCOUNT_CHECKS_H_
#define SOAK_ACCOUNT_CHECKS_H_

#include "soak/history_index.h"

namespace jacinthdeck::soak {

/*! \brief Appends the violations of the promises about accounts; none in a run
 * without accounts. */
void CheckAccounts(const HistoryIndex& index, Violations& found);

}  // namespace jacinthdeck::soak

#endif  // SOAK_ACCOUNT_CHECKS_H_
