// The file of all calls of a run, for whoever reads a failure.
#ifndef SOAK_CALL_LOG_H_
#define SOAK_CALL_LOG_H_

#include <string>

#include "soak/history.h"

namespace jacinthdeck::soak {

/*! \brief Writes one line for each call: id, kind, entry, times of sending and
 * end in microseconds of the machine's clock, status, key, forged account and
 * reason; "-" for an empty member. */
void WriteCalls(const std::string& path, const History& history);

}  // namespace jacinthdeck::soak

#endif  // SOAK_CALL_LOG_H_
