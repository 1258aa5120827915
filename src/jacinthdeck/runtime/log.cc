// Structured logs over Boost.Log.
#include "jacinthdeck/runtime/log.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "jacinthdeck/runtime/answer_json.h"

namespace jacinthdeck {

namespace {

namespace logging = boost::log;

BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(
    EventLogger,
    logging::sources::severity_logger_mt<int>)

}  // namespace

void StartLog(const NodeId& node, Severity lowest) {
  namespace expr = logging::expressions;
  logging::add_common_attributes();
  logging::core::get()->add_global_attribute(
      "Node", logging::attributes::constant<std::string>(node.raw()));
  logging::add_console_log(
      std::clog, logging::keywords::auto_flush = true,
      logging::keywords::format =
          (expr::stream << "time="
                        << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " node=" << expr::attr<std::string>("Node") << " "
                        << expr::smessage));
  logging::core::get()->set_filter(expr::attr<int>("Severity") >=
                                   static_cast<int>(lowest));
}

void Log(Severity severity,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  std::string line = "severity=" + std::string(kSeverityNames.Name(severity)) +
                     " event=" + QuoteJson(std::string(message));
  for (const LogField& field : fields) {
    line += " " + std::string(field.name) + "=" + QuoteJson(field.value);
  }
  BOOST_LOG_SEV(EventLogger::get(), static_cast<int>(severity)) << line;
}

}  // namespace jacinthdeck
