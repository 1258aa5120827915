// Shared parts of the main functions of the stand-ins: command line parsing,
// the ready line, shutdown by a signal and files.
#ifndef JACINTHDECK_STANDINS_PROCESS_PROCESS_H_
#define JACINTHDECK_STANDINS_PROCESS_PROCESS_H_

#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace jacinthdeck::standins {

/**
 * \brief Parses the command line and runs the body of a main function.
 * \param argc Number of arguments.
 * \param argv Arguments.
 * \param options Options besides --help, bound to variables.
 * \param body Called after the options are set; returns the exit code.
 * \return Exit code of the body; 0 after --help, 2 for an invalid command line
 * and 1 if the body throws.
 */
[[nodiscard]] int RunProgram(
    int argc,
    const char* const* argv,
    const boost::program_options::options_description& options,
    const std::function<int()>& body);

/**
 * \brief Like RunProgram(), for a server that runs until SIGTERM or SIGINT.
 *
 * Blocks both signals in all threads, so that ServeUntilSignal() receives them.
 * \param argc Number of arguments.
 * \param argv Arguments.
 * \param options Options besides --help and --port, bound to variables.
 * \param body Receives the port to listen on and returns the exit code.
 * \return Exit code, as for RunProgram().
 */
[[nodiscard]] int RunServer(
    int argc,
    const char* const* argv,
    const boost::program_options::options_description& options,
    const std::function<int(std::uint16_t)>& body);

/**
 * \brief Prints the ready line and waits for SIGTERM or SIGINT.
 * \param port Port that the server listens on.
 */
void ServeUntilSignal(std::uint16_t port);

/*! \brief Reads a whole file; throws std::runtime_error if it cannot be read.
 */
[[nodiscard]] std::string ReadFile(const std::string& path);

/*! \brief Replaces a file atomically by a rename, so that no reader sees it
 * half written; throws std::runtime_error if it cannot be written. */
void WriteFile(const std::string& path, const std::string& text);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_PROCESS_PROCESS_H_
