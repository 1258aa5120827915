// Prints JSON in a readable form: indented names and values, without quotes.
#ifndef JACINTHDECK_DAEMONS_CTL_HUMAN_H_
#define JACINTHDECK_DAEMONS_CTL_HUMAN_H_

#include <ostream>

struct json_t;

namespace jacinthdeck::ctl {

/**
 * \brief Prints a value as indented text, one member or element per line.
 * \param value Any JSON value.
 * \param out Stream that the text is written to.
 */
void PrintIndented(const json_t& value, std::ostream& out);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_HUMAN_H_
