// Options by Boost.Program_options.
#include "ctl/arguments.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <utility>

namespace jacinthdeck::ctl {

namespace {

namespace po = boost::program_options;

constexpr const char* kDefaultOperators = "127.0.0.1:7301";
constexpr const char* kDefaultCallers = "127.0.0.1:7300";
constexpr std::uint64_t kDefaultTimeoutMs = 5000;
constexpr std::uint64_t kDefaultWaitMs = 10000;

/*! \brief Values as the option library leaves them. */
struct RawValues {
  std::string operators;
  std::string callers;
  std::uint64_t timeout_ms = 0;
  std::uint64_t wait_ms = 0;
  std::uint64_t expected = 0;
  std::uint64_t deadline_ms = 0;
};

[[nodiscard]] po::options_description Options(Arguments& arguments,
                                              RawValues& raw) {
  po::options_description options("Options");
  options.add_options()("help", po::bool_switch(&arguments.help),
                        "print this text")(
      "version", po::bool_switch(&arguments.version), "print the version")(
      "json", po::bool_switch(&arguments.json),
      "print the daemon's reply as one line of JSON")(
      "operators", po::value(&raw.operators)->default_value(kDefaultOperators),
      "operator port of a daemon, IP:PORT")(
      "callers", po::value(&raw.callers)->default_value(kDefaultCallers),
      "caller port of a daemon, IP:PORT; for entries and query")(
      "timeout-ms",
      po::value(&raw.timeout_ms)->default_value(kDefaultTimeoutMs),
      "longest time of one call")(
      "wait-ms", po::value(&raw.wait_ms)->default_value(kDefaultWaitMs),
      "how long a change may stay pending or unknown")(
      "operation", po::value(&arguments.operation),
      "id of the change; give it again to ask about a change that ended "
      "unknown")(
      "expected", po::value(&raw.expected),
      "revision that the change is based on (default: the present one)")(
      "tenant", po::value(&arguments.tenant), "tenant of a query")(
      "request-id", po::value(&arguments.request_id),
      "id of a query: TOKEN-NONCE, TOKEN as `entries` prints it")(
      "deadline-ms", po::value(&raw.deadline_ms), "deadline of a query");
  return options;
}

[[nodiscard]] Result<Arguments> Check(Arguments arguments,
                                      const RawValues& raw,
                                      const po::variables_map& values) {
  BOOST_LEAF_ASSIGN(arguments.operators, HttpEndpoint::Parse(raw.operators));
  BOOST_LEAF_ASSIGN(arguments.callers, HttpEndpoint::Parse(raw.callers));
  arguments.timeout = std::chrono::milliseconds(raw.timeout_ms);
  arguments.wait = std::chrono::milliseconds(raw.wait_ms);
  if (values.count("expected") > 0) {
    arguments.expected = raw.expected;
  }
  if (values.count("deadline-ms") > 0) {
    arguments.deadline_ms = raw.deadline_ms;
  }
  return arguments;
}

}  // namespace

void PrintOptions(std::ostream& out) {
  Arguments arguments;
  RawValues raw;
  out << Options(arguments, raw);
}

Result<Arguments> ReadArguments(int argc, const char* const* argv) {
  Arguments arguments;
  RawValues raw;
  po::options_description options = Options(arguments, raw);
  options.add_options()("word", po::value(&arguments.words));
  po::positional_options_description words;
  words.add("word", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(words)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    return Fail(ErrorCode::kInvalidArgument, "command line", error.what());
  }
  return Check(std::move(arguments), raw, values);
}

}  // namespace jacinthdeck::ctl
