// Sums a run up for people, and writes it out for tables.
#ifndef JACINTHDECK_STANDINS_LOADGEN_LOAD_REPORT_H_
#define JACINTHDECK_STANDINS_LOADGEN_LOAD_REPORT_H_

#include <ostream>
#include <string>
#include <vector>

#include "loadgen/sample.h"

namespace jacinthdeck::standins {

/**
 * \brief Prints latency, coverage, extra requests and ends.
 * \param samples All requests of a run.
 * \param out Where to print.
 * \return Number of answers that break a promise: hits of another version or
 * hits twice.
 */
[[nodiscard]] std::uint64_t PrintReport(const std::vector<Sample>& samples,
                                        std::ostream& out);

/*! \brief Prints counts of latencies by bins that double. */
void PrintHistogram(const std::vector<Sample>& samples, std::ostream& out);

/*! \brief Renders one line a request, with a head line. */
[[nodiscard]] std::string ToCsv(const std::vector<Sample>& samples);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_LOAD_REPORT_H_
