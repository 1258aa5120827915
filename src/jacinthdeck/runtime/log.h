// Structured logs: one line an event, with time, severity, node and named
// fields.
#ifndef JACINTHDECK_RUNTIME_LOG_H_
#define JACINTHDECK_RUNTIME_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief How much an event matters. */
enum class Severity { kTrace, kDebug, kInfo, kWarning, kError };

//! Names of the severities, as they stand in settings and logs.
inline constexpr NameTable<Severity, 5> kSeverityNames{
    {"trace", "debug", "info", "warning", "error"}};

/*! \brief A named value beside the message. */
struct LogField {
  std::string_view name;
  std::string value;
};

/**
 * \brief Sends logs to standard error; called once, before the first event.
 * \param node Written on each line.
 * \param lowest Events below are dropped.
 */
void StartLog(const NodeId& node, Severity lowest);

/**
 * \brief Writes an event.
 * \param severity How much it matters.
 * \param message Fixed text; what varies goes into fields.
 * \param fields Named values.
 */
void Log(Severity severity,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_LOG_H_
