// Prints JSON for people: indented names and values, without quotes.
#ifndef JACINTHDECK_DAEMONS_CTL_HUMAN_H_
#define JACINTHDECK_DAEMONS_CTL_HUMAN_H_

#include <ostream>

struct json_t;

namespace jacinthdeck::ctl {

/**
 * \brief Prints a value over several lines.
 * \param value Any JSON value.
 * \param out Where to print.
 */
void PrintForPeople(const json_t& value, std::ostream& out);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_HUMAN_H_
