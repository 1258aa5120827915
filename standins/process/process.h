// What the main functions of the stand-ins share: the command line, the ready
// line and the end by a signal.
#ifndef JACINTHDECK_STANDINS_PROCESS_PROCESS_H_
#define JACINTHDECK_STANDINS_PROCESS_PROCESS_H_

#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace jacinthdeck::standins {

/**
 * \brief Runs the body of a main function.
 * \param argc Count of arguments.
 * \param argv Arguments.
 * \param options Options besides --help, bound to variables.
 * \param body Returns the exit code.
 * \return Exit code; 2 for a wrong command line, 1 for a failure.
 */
[[nodiscard]] int RunProgram(
    int argc,
    const char* const* argv,
    const boost::program_options::options_description& options,
    const std::function<int()>& body);

/**
 * \brief Runs the body of a main function that serves until a signal.
 * \param argc Count of arguments.
 * \param argv Arguments.
 * \param options Options besides --help and --port, bound to variables.
 * \param body Receives the port to serve and returns the exit code.
 * \return As RunProgram().
 */
[[nodiscard]] int RunServer(
    int argc,
    const char* const* argv,
    const boost::program_options::options_description& options,
    const std::function<int(std::uint16_t)>& body);

/**
 * \brief Prints the ready line and waits for SIGTERM or SIGINT.
 * \param port Port that is served.
 */
void ServeUntilSignal(std::uint16_t port);

/*! \brief Reads a file; throws std::runtime_error if it cannot be read. */
[[nodiscard]] std::string ReadFile(const std::string& path);

/*! \brief Replaces a file at one moment, so that no reader sees half of it. */
void WriteFile(const std::string& path, const std::string& text);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_PROCESS_PROCESS_H_
