// The scenario language: functions that Lua scripts call
// (docs/scenario-language.md).
#ifndef JACINTHDECK_TEST_SCENARIO_SCRIPT_H_
#define JACINTHDECK_TEST_SCENARIO_SCRIPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthdeck::scenario {

/**
 * \brief Runs a script once.
 * \param path File of the script.
 * \param seed Seed of latencies and random choices, also passed to the script.
 * \return Failed expectations, broken promises and script errors, one string
 * each; empty if there are none.
 */
[[nodiscard]] std::vector<std::string> RunScript(const std::string& path,
                                                 std::uint64_t seed);

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_SCRIPT_H_
