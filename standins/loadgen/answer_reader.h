// Reads an entry's answer into a sample and checks it.
#ifndef JACINTHDECK_STANDINS_LOADGEN_ANSWER_READER_H_
#define JACINTHDECK_STANDINS_LOADGEN_ANSWER_READER_H_

#include <string>

#include "loadgen/sample.h"

namespace jacinthdeck::standins {

/**
 * \brief Reads a reply.
 * \param status HTTP status.
 * \param body Reply body.
 * \param sample Receives the end, the counts and what is wrong with the hits.
 */
void ReadAnswer(long status, const std::string& body, Sample& sample);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_ANSWER_READER_H_
