// Stand-in for the targets of a deployment, or of a part of it.
#include <jansson.h>

#include <stdexcept>
#include <utility>
#include <variant>
#include <vector>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/platform/host_list_reader.h"
#include "process/process.h"
#include "target/target_group.h"

namespace jacinthdeck::standins {

namespace {

struct TargetOptions {
  std::string hosts;
  std::string hosts_out;
  std::string index;
  std::string service;
  std::string behaviour;
  TargetGroupOptions group;
};

template <typename Operation>
auto OrThrow(Operation&& operation) {
  auto result = Capture(std::forward<Operation>(operation));
  if (const auto* error = std::get_if<Error>(&result)) {
    throw std::runtime_error(error->subject + " " + error->message);
  }
  return std::get<0>(std::move(result));
}

std::vector<TargetInfo> LoadHosts(const TargetOptions& options) {
  const std::string text = ReadFile(options.hosts);
  std::vector<TargetInfo> hosts =
      OrThrow([&] { return ReadHostList(text, options.hosts); });
  std::erase_if(hosts, [&](const TargetInfo& info) {
    return !options.service.empty() && info.service.raw() != options.service;
  });
  return hosts;
}

//! The host list with the ports that were opened.
void WriteHosts(const TargetGroup& group, const std::string& path) {
  const JsonPtr hosts(json_array());
  for (const auto& target : group.targets()) {
    const TargetInfo& info = target->info();
    json_array_append_new(
        hosts.get(),
        json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I}", "id",
                  info.id.raw().c_str(), "service", info.service.raw().c_str(),
                  "domain", info.domain.raw().c_str(), "address", "127.0.0.1",
                  "port", static_cast<int>(target->port()), "state", "live",
                  "slots", static_cast<json_int_t>(info.slots), "connections",
                  static_cast<json_int_t>(info.connections), "open_us",
                  static_cast<json_int_t>(info.open_cost.count())));
  }
  const JsonPtr list(json_pack("{s:O}", "hosts", hosts.get()));
  WriteFile(path, DumpJson(*list));
}

int Serve(std::uint16_t port, TargetOptions options) {
  options.group.port = port;
  if (!options.behaviour.empty()) {
    const JsonPtr json =
        OrThrow([&] { return ParseJson(options.behaviour, "behaviour"); });
    options.group.behaviour = OrThrow(
        [&] { return ReadBehaviour(JsonReader(json.get(), "behaviour"), {}); });
  }
  TargetGroup group(LoadHosts(options), options.group);
  const std::string text = ReadFile(options.index);
  const JsonPtr index = OrThrow([&] { return ParseJson(text, options.index); });
  const std::size_t services = OrThrow(
      [&] { return group.LoadIndex(JsonReader(index.get(), options.index)); });
  if (services == 0) {
    throw std::runtime_error(options.index + " names no service");
  }
  if (!options.hosts_out.empty()) {
    WriteHosts(group, options.hosts_out);
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
  options.add_options()("hosts", po::value(&target.hosts)->required(),
                        "host list whose targets are opened")(
      "index", po::value(&target.index)->required(),
      "file with the partition maps")(
      "hosts-out", po::value(&target.hosts_out),
      "write the host list with the ports that the kernel picked")(
      "service", po::value(&target.service), "open this service only")(
      "listed-ports", po::bool_switch(&target.group.listed_ports),
      "open the ports of the host list")(
      "behaviour", po::value(&target.behaviour),
      "behaviour to start with, as JSON (docs/modules/standins.md)")(
      "items",
      po::value(&target.group.items_per_service)
          ->default_value(target.group.items_per_service),
      "items in each service")(
      "seed", po::value(&target.group.seed)->default_value(target.group.seed),
      "seed of items, service times and faults");
  return jacinthdeck::standins::RunServer(
      argc, argv, options, [&](std::uint16_t port) {
        return jacinthdeck::standins::Serve(port, target);
      });
}
