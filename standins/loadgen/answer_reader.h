// Parses an entry's reply into a Sample and checks its hits.
#ifndef JACINTHDECK_STANDINS_LOADGEN_ANSWER_READER_H_
#define JACINTHDECK_STANDINS_LOADGEN_ANSWER_READER_H_

#include <string>

#include "loadgen/sample.h"

namespace jacinthdeck::standins {

/**
 * \brief Parses the reply to one request.
 * \param status HTTP status.
 * \param body Body of the reply, JSON of an answer.
 * \param sample Receives the outcome, the counts, the coverage, and the numbers
 * of duplicate hits and of hits of another version. A body that is no JSON
 * yields kMalformed.
 */
void ReadAnswer(long status, const std::string& body, Sample& sample);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_ANSWER_READER_H_
