// Stand-in for the platform's key-value store.
#include <cstddef>
#include <stdexcept>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/core/steady_clock.h"
#include "process/process.h"
#include "store/store_server.h"

namespace jacinthdeck::standins {

namespace {

//! Writes `index/SERVICE` for each member, as the index builders would.
void LoadIndex(const std::string& path, KvStore& content) {
  const std::string text = ReadFile(path);
  const auto loaded = Capture([&]() -> Result<std::size_t> {
    BOOST_LEAF_AUTO(json, ParseJson(text, path));
    const JsonReader file(json.get(), path);
    for (const std::string& service : file.Names()) {
      BOOST_LEAF_AUTO(index, file.Object(service));
      content.Put("index/" + service, DumpJson(*index.raw()), std::nullopt,
                  std::nullopt);
    }
    return file.Names().size();
  });
  if (const auto* error = std::get_if<Error>(&loaded)) {
    throw std::runtime_error(error->subject + ": " + error->message);
  }
}

struct StoreOptions {
  std::string index;
  StoreRates rates;
  std::uint64_t seed = 1;
};

int Serve(std::uint16_t port, const StoreOptions& options) {
  const SteadyClock clock;
  StoreServer server(port, clock, options.rates, options.seed);
  if (!options.index.empty()) {
    LoadIndex(options.index, server.content());
  }
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
  options.add_options()("index", po::value(&store.index),
                        "file with the partition maps to start with: "
                        "{\"SERVICE\": {\"versions\": [...]}}")(
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
