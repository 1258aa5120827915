// The scenario language: verbs that Lua scripts call
// (docs/scenario-language.md).
#ifndef JACINTHDECK_TEST_SCENARIO_SCRIPT_H_
#define JACINTHDECK_TEST_SCENARIO_SCRIPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthdeck::scenario {

/**
 * \brief Runs a script once.
 * \param path File.
 * \param seed Seed of latencies and choices.
 * \return What went wrong, in words; empty if all is well.
 */
[[nodiscard]] std::vector<std::string> RunScript(const std::string& path,
                                                 std::uint64_t seed);

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_SCRIPT_H_
