// Stand-in for the host list.
#include <chrono>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <stop_token>
#include <thread>
#include <variant>

#include "hostlist/host_list_server.h"
#include "jacinthdeck/core/steady_clock.h"
#include "process/process.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::chrono::milliseconds kReadPeriod{200};

struct HostListOptions {
  std::string hosts;
  std::uint64_t lag_ms = 0;
};

void Publish(HostListServer& server, const std::string& text) {
  const auto done = Capture([&] { return server.Publish(text); });
  if (const auto* error = std::get_if<Error>(&done)) {
    throw std::runtime_error(error->subject + " " + error->message);
  }
}

int Serve(std::uint16_t port, const HostListOptions& options) {
  const SteadyClock clock;
  HostListServer server(port, clock, std::chrono::milliseconds(options.lag_ms));
  std::string published = ReadFile(options.hosts);
  Publish(server, published);
  const std::jthread reader([&](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(kReadPeriod);
      try {
        const std::string text = ReadFile(options.hosts);
        if (text != published) {
          published = text;
          Publish(server, published);
        }
      } catch (const std::exception& error) {
        std::cerr << "keeping the list: " << error.what() << std::endl;
      }
    }
  });
  ServeUntilSignal(server.port());
  return 0;
}

}  // namespace

}  // namespace jacinthdeck::standins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  jacinthdeck::standins::HostListOptions list;
  po::options_description options("Host list");
  options.add_options()("hosts", po::value(&list.hosts)->required(),
                        "file with the list; read again when it changes")(
      "lag-ms", po::value(&list.lag_ms)->default_value(list.lag_ms),
      "age of what is shown");
  return jacinthdeck::standins::RunServer(
      argc, argv, options, [&](std::uint16_t port) {
        return jacinthdeck::standins::Serve(port, list);
      });
}
