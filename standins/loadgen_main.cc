// Main function of the open-loop load generator for entries on loopback
// addresses.
#include <iostream>
#include <variant>

#include "loadgen/load_options.h"
#include "loadgen/load_report.h"
#include "loadgen/load_run.h"
#include "process/process.h"

namespace jacinthdeck::standins {

namespace {

//! Exit code of a run with answers that mix versions or hold a hit twice.
constexpr int kExitInvalidAnswers = 3;

int Load(const LoadOptions& options) {
  const auto entries = Capture([&] { return CheckLoadOptions(options); });
  if (const auto* error = std::get_if<Error>(&entries)) {
    std::cerr << error->subject << " " << error->message << "\n";
    return 2;
  }
  LoadRun run(options, std::get<0>(entries));
  const std::vector<Sample> samples = run.Run();
  const std::uint64_t invalid_answers = PrintReport(samples, std::cout);
  if (options.histogram) {
    PrintHistogram(samples, std::cout);
  }
  if (!options.csv.empty()) {
    WriteFile(options.csv, ToCsv(samples));
  }
  return invalid_answers == 0 ? 0 : kExitInvalidAnswers;
}

}  // namespace

}  // namespace jacinthdeck::standins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  jacinthdeck::standins::LoadOptions load;
  po::options_description options("Load");
  options.add_options()("entry", po::value(&load.entries)->required(),
                        "caller port of an entry, 127.x.x.x:PORT; repeatable")(
      "call", po::value(&load.call)->required(), "SERVICE/METHOD")(
      "request", po::value(&load.request)->default_value(load.request),
      "request as JSON; {n} is replaced by the number of the request")(
      "arrivals", po::value(&load.arrivals)->default_value(load.arrivals),
      "poisson or constant")("rate",
                             po::value(&load.rate)->default_value(load.rate),
                             "requests per second")(
      "count", po::value(&load.count)->default_value(load.count),
      "total number of requests")(
      "seconds", po::value(&load.seconds)->default_value(load.seconds),
      "no request is due later than this many seconds")(
      "deadline-ms", po::value(&load.deadline_ms),
      "deadline to send with each request, in milliseconds")(
      "in-flight", po::value(&load.in_flight)->default_value(load.in_flight),
      "maximum number of requests in flight; others wait, and their latency "
      "counts the wait")(
      "resends", po::value(&load.resends)->default_value(load.resends),
      "maximum number of times that a request that was not run is sent to the "
      "next entry")("seed", po::value(&load.seed)->default_value(load.seed),
                    "seed of the arrivals, and part of the request ids")(
      "tenant", po::value(&load.tenant), "tenant to send with each request")(
      "csv", po::value(&load.csv), "CSV file to write, one line per request")(
      "request-ids", po::bool_switch(&load.request_ids),
      "send a request id with each request, to find it in the logs")(
      "fresh-connections", po::bool_switch(&load.fresh_connections),
      "open a new connection for each request")(
      "histogram", po::bool_switch(&load.histogram),
      "print a histogram of the latencies");
  return jacinthdeck::standins::RunProgram(
      argc, argv, options, [&] { return jacinthdeck::standins::Load(load); });
}
