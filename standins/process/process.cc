// Command line parsing, signal handling and file access of the stand-ins.
#include "process/process.h"

#include <pthread.h>

#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace jacinthdeck::standins {

namespace {

namespace po = boost::program_options;

[[nodiscard]] sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

//! Must run before the first thread starts: threads inherit the signal mask, so
//! only sigwait() receives the signals.
void BlockTerminationSignals() {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

int RunProgram(int argc,
               const char* const* argv,
               const po::options_description& options,
               const std::function<int()>& body) {
  po::options_description all("Options");
  all.add_options()("help", "print this text");
  all.add(options);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, all), values);
    if (values.count("help") > 0) {
      std::cout << all;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << all;
    return 2;
  }
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << "\n";
    return 1;
  }
}

int RunServer(int argc,
              const char* const* argv,
              const po::options_description& options,
              const std::function<int(std::uint16_t)>& body) {
  BlockTerminationSignals();
  std::uint16_t port = 0;
  po::options_description all = options;
  all.add_options()("port", po::value(&port)->default_value(0),
                    "port on 127.0.0.1; 0 picks a free port");
  return RunProgram(argc, argv, all, [&] { return body(port); });
}

void ServeUntilSignal(std::uint16_t port) {
  std::cout << "listening 127.0.0.1:" << port << std::endl;
  const sigset_t signals = TerminationSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteFile(const std::string& path, const std::string& text) {
  const std::string draft = path + ".draft";
  std::ofstream file(draft);
  file << text;
  file.close();
  if (!file) {
    throw std::runtime_error("cannot write " + draft);
  }
  std::filesystem::rename(draft, path);
}

}  // namespace jacinthdeck::standins
