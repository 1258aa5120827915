// Runs one scenario written in the test language: Lua 5.4 with verbs of ours.
#ifndef JACINTHDECK_TEST_SCENARIO_SCRIPT_H_
#define JACINTHDECK_TEST_SCENARIO_SCRIPT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scenario/world.h"

struct lua_State;

namespace jacinthdeck::scenario {

/*!
 * \brief One run of one script with one seed.
 *
 * docs/scenario-language.md describes the verbs.
 */
class Script {
 public:
  /*! \brief A verb: reads its arguments from the Lua stack and returns the
   * number of its results. */
  using Verb = int (Script::*)(lua_State*);
  struct NamedVerb {
    const char* name;
    Verb verb;
  };

  explicit Script(std::uint64_t seed);
  Script(const Script&) = delete;
  Script& operator=(const Script&) = delete;
  ~Script();

  /**
   * \brief Runs a script file and the closing checks.
   * \param path File.
   * \return Nothing if all held, else what did not, and when.
   */
  [[nodiscard]] std::optional<std::string> Run(const std::string& path);

  /*! \brief Hash of all that callers and operators were told, and when. */
  [[nodiscard]] std::uint64_t TraceHash() const;

  /*! \brief Lists every call and run whose body holds a text, with times in
   * milliseconds. */
  [[nodiscard]] std::string Trace(const std::string& text) const;

  /*! \brief Calls one verb by its place in the table; used by Lua alone. */
  [[nodiscard]] int Invoke(std::size_t verb, lua_State* lua);

 private:
  static const std::vector<NamedVerb>& Verbs();

  [[nodiscard]] World& world();
  [[nodiscard]] std::size_t NodeAt(lua_State* lua, int argument);
  [[nodiscard]] TargetBehaviour& TargetAt(lua_State* lua, int argument);
  void PushCall(lua_State* lua, std::size_t id);

  // Size and time.
  int Start(lua_State* lua);
  int RunFor(lua_State* lua);
  int Now(lua_State* lua);
  int Draw(lua_State* lua);
  int Expect(lua_State* lua);
  // Entries.
  int Kill(lua_State* lua);
  int Restart(lua_State* lua);
  int Pause(lua_State* lua);
  int Resume(lua_State* lua);
  int Drain(lua_State* lua);
  int Cut(lua_State* lua);
  int Heal(lua_State* lua);
  int StoreCut(lua_State* lua);
  int Serving(lua_State* lua);
  int RevisionOf(lua_State* lua);
  int OpenCalls(lua_State* lua);
  int Release(lua_State* lua);
  // Platform.
  int StoreDown(lua_State* lua);
  int StoreSlow(lua_State* lua);
  int StoreLosesReplies(lua_State* lua);
  int StoreStale(lua_State* lua);
  int HostListLag(lua_State* lua);
  // Targets.
  int TargetDown(lua_State* lua);
  int TargetSilent(lua_State* lua);
  int TargetShedding(lua_State* lua);
  int TargetConfused(lua_State* lua);
  int TargetRepeating(lua_State* lua);
  int TargetSlow(lua_State* lua);
  int TargetLeave(lua_State* lua);
  int Publish(lua_State* lua);
  int Retire(lua_State* lua);
  int RunsOf(lua_State* lua);
  int Kills(lua_State* lua);
  // Callers and operators.
  int Search(lua_State* lua);
  int Claim(lua_State* lua);
  int Token(lua_State* lua);
  int Answer(lua_State* lua);
  int Await(lua_State* lua);
  int Change(lua_State* lua);
  int Reply(lua_State* lua);
  int AwaitReply(lua_State* lua);

  std::uint64_t m_seed;
  //! Null before the script says its size.
  std::unique_ptr<World> m_world;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_SCRIPT_H_
