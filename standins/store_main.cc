// Stand-in for the platform's key-value store.
#include "jacinthdeck/core/steady_clock.h"
#include "process/process.h"
#include "store/store_server.h"

namespace jacinthdeck::standins {

namespace {

struct StoreOptions {
  StoreRates rates;
  std::uint64_t seed = 1;
};

int Serve(std::uint16_t port, const StoreOptions& options) {
  const SteadyClock clock;
  const StoreServer server(port, clock, options.rates, options.seed);
  ServeUntilSignal(server.port());
  return 0;
}

}  // namespace

}  // namespace jacinthdeck::standins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using jacinthdeck::standins::StoreOptions;
  StoreOptions store;
  po::options_description options("Store");
  options.add_options()(
      "reads-per-second",
      po::value(&store.rates.reads)->default_value(store.rates.reads),
      "reads and watches above are answered 429")(
      "writes-per-second",
      po::value(&store.rates.writes)->default_value(store.rates.writes),
      "writes and lease calls above are answered 429")(
      "seed", po::value(&store.seed)->default_value(store.seed),
      "seed of the random faults");
  return jacinthdeck::standins::RunServer(
      argc, argv, options, [&](std::uint16_t port) {
        return jacinthdeck::standins::Serve(port, store);
      });
}
