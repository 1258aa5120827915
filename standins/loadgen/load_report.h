// Reports of a load run: a summary, a latency histogram and CSV.
#ifndef JACINTHDECK_STANDINS_LOADGEN_LOAD_REPORT_H_
#define JACINTHDECK_STANDINS_LOADGEN_LOAD_REPORT_H_

#include <ostream>
#include <string>
#include <vector>

#include "loadgen/sample.h"

namespace jacinthdeck::standins {

/**
 * \brief Prints latency percentiles, outcomes, coverage, attempts and resends.
 * \param samples All requests of a run.
 * \param out Stream to print to.
 * \return Number of invalid answers: answers with hits of another version or
 * with duplicate hits.
 */
[[nodiscard]] std::uint64_t PrintReport(const std::vector<Sample>& samples,
                                        std::ostream& out);

/*! \brief Prints the number of latencies in each bin; every bin is twice as
 * wide as the one before. */
void PrintHistogram(const std::vector<Sample>& samples, std::ostream& out);

/*! \brief Renders a CSV header and one line per request. */
[[nodiscard]] std::string ToCsv(const std::vector<Sample>& samples);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_LOAD_REPORT_H_
