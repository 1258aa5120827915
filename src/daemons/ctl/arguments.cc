// Parses the command line with Boost.Program_options.
#include "ctl/arguments.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <utility>

namespace jacinthdeck::ctl {

namespace {

namespace po = boost::program_options;

constexpr const char* kDefaultStore = "127.0.0.1:7400";
constexpr const char* kDefaultHost = "127.0.0.1:7301";
constexpr const char* kDefaultQueries = "127.0.0.1:7300";
constexpr std::uint64_t kDefaultTimeoutMs = 5000;

/*! \brief Option values before their conversion to endpoints and durations. */
struct RawValues {
  std::string store;
  std::string host;
  std::string queries;
  std::uint64_t timeout_ms = 0;
  std::uint64_t deadline_ms = 0;
};

[[nodiscard]] po::options_description Options(Arguments& arguments,
                                              RawValues& raw) {
  po::options_description options("Options");
  options.add_options()("help", po::bool_switch(&arguments.help),
                        "print this text")(
      "version", po::bool_switch(&arguments.version), "print the version")(
      "json", po::bool_switch(&arguments.json),
      "print the reply as one line of JSON")(
      "summary", po::bool_switch(&arguments.summary),
      "count lost answers by cause; for explain")(
      "store", po::value(&raw.store)->default_value(kDefaultStore),
      "the platform's store, IP:PORT; for schema, index and hosts")(
      "host", po::value(&raw.host)->default_value(kDefaultHost),
      "metrics port of a host, IP:PORT; for status")(
      "queries", po::value(&raw.queries)->default_value(kDefaultQueries),
      "port of a host for typed calls, IP:PORT; for entries and query")(
      "timeout-ms",
      po::value(&raw.timeout_ms)->default_value(kDefaultTimeoutMs),
      "timeout of one call to a host or the store")(
      "tenant", po::value(&arguments.tenant), "tenant of a query")(
      "request-id", po::value(&arguments.request_id),
      "request id of a query, written to the logs")(
      "deadline-ms", po::value(&raw.deadline_ms), "deadline of a query");
  return options;
}

[[nodiscard]] Result<Arguments> Check(Arguments arguments,
                                      const RawValues& raw,
                                      const po::variables_map& values) {
  BOOST_LEAF_ASSIGN(arguments.store, Endpoint::Parse(raw.store));
  BOOST_LEAF_ASSIGN(arguments.host, Endpoint::Parse(raw.host));
  BOOST_LEAF_ASSIGN(arguments.queries, Endpoint::Parse(raw.queries));
  arguments.timeout = std::chrono::milliseconds(raw.timeout_ms);
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
