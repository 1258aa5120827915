// Main function of the stand-in for the targets of a deployment, or of one of
// its services.
#include <jansson.h>

#include <chrono>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/http/blocking_client.h"
#include "process/process.h"
#include "target/target_group.h"
#include "target/target_list.h"

namespace jacinthdeck::standins {

namespace {

struct TargetOptions {
  std::string hosts;
  std::string store;
  std::string index;
  std::string service;
  std::string behaviour;
  TargetGroupOptions group;
};

template <typename Operation>
auto ValueOrThrow(Operation&& operation) {
  auto result = Capture(std::forward<Operation>(operation));
  if (const auto* error = std::get_if<Error>(&result)) {
    throw std::runtime_error(error->subject + " " + error->message);
  }
  return std::get<0>(std::move(result));
}

std::vector<TargetInfo> LoadTargetInfos(const TargetOptions& options) {
  const std::string text = ReadFile(options.hosts);
  std::vector<TargetInfo> hosts =
      ValueOrThrow([&] { return ReadHostList(text, options.hosts); });
  std::erase_if(hosts, [&](const TargetInfo& info) {
    return !options.service.empty() && info.service.raw() != options.service;
  });
  return hosts;
}

//! Returns the JSON value with which a target registers in the store.
[[nodiscard]] std::string RegistrationValue(const Target& target,
                                            std::uint64_t heartbeat) {
  const TargetInfo& info = target.info();
  const std::string address = Endpoint{"127.0.0.1", target.port()}.ToString();
  const JsonPtr json(json_pack(
      "{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:I}", "service",
      info.service.raw().c_str(), "address", address.c_str(), "zone",
      info.domain.raw().c_str(), "version", "v1", "slots",
      static_cast<json_int_t>(info.slots), "state", "ready", "coldRemainingMs",
      0, "seq", static_cast<json_int_t>(heartbeat)));
  return DumpJson(*json);
}

//! Registers all targets at the stand-in store once per period until stopped,
//! as the heartbeats of real targets do.
void SendHeartbeats(const TargetGroup& group,
                    const Endpoint& store,
                    const std::stop_token& stop) {
  constexpr std::chrono::milliseconds kPeriod{1000};
  constexpr int kTtlMs = 4000;
  constexpr Duration kTimeout = std::chrono::seconds(2);
  for (std::uint64_t heartbeat = 1; !stop.stop_requested(); ++heartbeat) {
    json_t* puts = json_array();
    for (const auto& target : group.targets()) {
      const std::string key = "servers/" + target->info().id.raw();
      json_array_append_new(
          puts, json_pack("{s:s, s:s, s:i}", "key", key.c_str(), "value",
                          RegistrationValue(*target, heartbeat).c_str(),
                          "ttl_ms", kTtlMs));
    }
    const JsonPtr message(json_pack("{s:o}", "put", puts));
    const ClientRequest request{"POST", "/control", DumpJson(*message)};
    const ClientReply reply = CallAndWait(store, request, kTimeout);
    if (reply.status != 200) {
      std::cerr << "registration of the targets at the store failed: "
                << reply.status << " " << reply.error << "\n";
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

int Serve(std::uint16_t port, TargetOptions options) {
  options.group.port = port;
  if (!options.behaviour.empty()) {
    const JsonPtr json =
        ValueOrThrow([&] { return ParseJson(options.behaviour, "behaviour"); });
    options.group.behaviour = ValueOrThrow(
        [&] { return ReadBehaviour(JsonReader(json.get(), "behaviour"), {}); });
  }
  TargetGroup group(LoadTargetInfos(options), options.group);
  const std::string text = ReadFile(options.index);
  const JsonPtr index =
      ValueOrThrow([&] { return ParseJson(text, options.index); });
  const std::size_t services = ValueOrThrow(
      [&] { return group.LoadIndex(JsonReader(index.get(), options.index)); });
  if (services == 0) {
    throw std::runtime_error(options.index + " names no service");
  }
  std::jthread heartbeat_thread;
  if (!options.store.empty()) {
    const Endpoint store =
        ValueOrThrow([&] { return Endpoint::Parse(options.store); });
    heartbeat_thread =
        std::jthread([&group, store](const std::stop_token& stop) {
          SendHeartbeats(group, store, stop);
        });
  }
  ServeUntilSignal(group.port());
  return 0;
}

}  // namespace

}  // namespace jacinthdeck::standins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  jacinthdeck::standins::TargetOptions target;
  po::options_description options("Targets");
  options.add_options()(
      "hosts", po::value(&target.hosts)->required(),
      "file with the host list that names the targets to open")(
      "index", po::value(&target.index)->required(),
      "file with the partition maps")("store", po::value(&target.store),
                                      "stand-in store to register at, IP:PORT")(
      "service", po::value(&target.service),
      "open only the targets of this service")(
      "listed-ports", po::bool_switch(&target.group.listed_ports),
      "listen on the ports of the host list in place of free ports")(
      "behaviour", po::value(&target.behaviour),
      "behaviour to start with, as JSON (docs/modules/standins.md)")(
      "items",
      po::value(&target.group.items_per_service)
          ->default_value(target.group.items_per_service),
      "number of items of each service")(
      "seed", po::value(&target.group.seed)->default_value(target.group.seed),
      "seed of items, service times and faults");
  return jacinthdeck::standins::RunServer(
      argc, argv, options, [&](std::uint16_t port) {
        return jacinthdeck::standins::Serve(port, target);
      });
}
