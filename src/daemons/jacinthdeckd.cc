// The entry daemon: reads its settings, starts the library's Daemon and waits
// for a signal.
#include <csignal>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <variant>

#include <boost/program_options.hpp>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/runtime/daemon.h"
#include "jacinthdeck/runtime/log.h"
#include "jacinthdeck/runtime/settings_reader.h"

namespace {

namespace options = boost::program_options;
using jacinthdeck::Settings;

constexpr const char* kVersion = "jacinthdeckd 0.1.0";
constexpr int kExitFailed = 1;
//! Settings or arguments are wrong; no port was opened.
constexpr int kExitUsage = 2;
//! How often an operator's wish to drain is looked for.
constexpr timespec kSignalWait{0, 100'000'000};

//! Says what is wrong, one line a fault: `file:line: key: message`.
void PrintFaults(const std::string& path,
                 const std::vector<jacinthdeck::SettingsFault>& faults) {
  for (const jacinthdeck::SettingsFault& fault : faults) {
    std::cerr << path << ":" << fault.line << ": "
              << (fault.key.empty() ? "syntax" : fault.key) << ": "
              << fault.message << "\n";
  }
}

[[nodiscard]] std::optional<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read: " << std::strerror(errno) << "\n";
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  const auto read = jacinthdeck::ReadSettings(text);
  if (const auto* faults =
          std::get_if<std::vector<jacinthdeck::SettingsFault>>(&read)) {
    PrintFaults(path, *faults);
    return std::nullopt;
  }
  return std::get<Settings>(read);
}

//! Blocks the signals of a shutdown, in this thread and all that it starts, so
//! that one place waits for them.
[[nodiscard]] sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const Settings& settings) {
  const sigset_t signals = BlockSignals();
  jacinthdeck::StartLog(settings.node.name,
                        *jacinthdeck::kSeverityNames.Find(settings.log_level));
  auto started = jacinthdeck::Capture(
      [&] { return jacinthdeck::Daemon::Start(settings); });
  if (const auto* error = std::get_if<jacinthdeck::Error>(&started)) {
    std::cerr << error->subject << ": " << error->message << "\n";
    return kExitFailed;
  }
  auto& daemon = std::get<jacinthdeck::Daemon>(started);
  const jacinthdeck::DaemonPorts ports = daemon.ports();
  std::cout << "listening callers=" << ports.callers
            << " operators=" << ports.operators << " peers=" << ports.peers
            << std::endl;
  while (sigtimedwait(&signals, nullptr, &kSignalWait) < 0 &&
         !daemon.drain_requested()) {
  }
  jacinthdeck::Log(jacinthdeck::Severity::kInfo, "shutting down");
  daemon.DrainAndStop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description described(
      "Usage: jacinthdeckd --config FILE\nOptions");
  described.add_options()("config,c", options::value<std::string>(),
                          "settings file (TOML)")("check-config",
                                                  "check the settings and end")(
      "version", "print the version")("help,h", "print this text");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, described), given);
  } catch (const options::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (given.count("help") != 0) {
    std::cout << described;
    return 0;
  }
  if (given.count("version") != 0) {
    std::cout << kVersion << "\n";
    return 0;
  }
  if (given.count("config") == 0) {
    std::cerr << "--config is missing; see --help\n";
    return kExitUsage;
  }
  const std::optional<Settings> settings =
      LoadSettings(given["config"].as<std::string>());
  if (!settings) {
    return kExitUsage;
  }
  if (given.count("check-config") != 0) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Run(*settings);
}
