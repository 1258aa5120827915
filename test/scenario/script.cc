// Binds the functions of the scenario language to a simulation.
#include "scenario/script.h"

#include <array>
#include <lua.hpp>
#include <memory>

#include "scenario/simulation.h"

namespace jacinthdeck::scenario {

namespace {

[[nodiscard]] Simulation& SimulationOf(lua_State* lua) {
  return *static_cast<Simulation*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

[[nodiscard]] Duration MillisecondsAt(lua_State* lua, int index) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return Duration(static_cast<Duration::rep>(luaL_checknumber(lua, index) *
                                             kMicrosecondsPerMillisecond));
}

//! Adds a failure at the script's current line unless the condition holds.
void Expect(lua_State* lua, bool holds, const std::string& text) {
  if (holds) {
    return;
  }
  luaL_where(lua, 1);
  SimulationOf(lua).AddFailure(lua_tostring(lua, -1) + text);
  lua_pop(lua, 1);
}

int PutConfig(lua_State* lua) {
  SimulationOf(lua).PutConfig(luaL_checkstring(lua, 1));
  return 0;
}

int PutTarget(lua_State* lua) {
  SimulationOf(lua).PutTarget(luaL_checkstring(lua, 1),
                              luaL_checkstring(lua, 2));
  return 0;
}

int RemoveTarget(lua_State* lua) {
  SimulationOf(lua).RemoveTarget(luaL_checkstring(lua, 1));
  return 0;
}

int SetStoreUnavailable(lua_State* lua) {
  SimulationOf(lua).SetStoreUnavailable();
  return 0;
}

int SetStoreAvailable(lua_State* lua) {
  SimulationOf(lua).SetStoreAvailable();
  return 0;
}

//! Reads a field of the table in the second argument; an absent field gives the
//! fallback.
[[nodiscard]] bool FlagIn(lua_State* lua, const char* name, bool fallback) {
  lua_getfield(lua, 2, name);
  const bool value =
      lua_isnil(lua, -1) ? fallback : lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
  return value;
}

//! The same for a number.
[[nodiscard]] double NumberIn(lua_State* lua,
                              const char* name,
                              double fallback) {
  lua_getfield(lua, 2, name);
  const double value = luaL_optnumber(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

int SetBehaviour(lua_State* lua) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  Simulation& simulation = SimulationOf(lua);
  const std::string id = luaL_checkstring(lua, 1);
  luaL_checktype(lua, 2, LUA_TTABLE);
  Behaviour behaviour = simulation.BehaviourOf(id);
  const double latency =
      NumberIn(lua, "latency_ms", ToMilliseconds(behaviour.latency));
  behaviour.latency = Duration(
      static_cast<Duration::rep>(latency * kMicrosecondsPerMillisecond));
  behaviour.status =
      static_cast<int>(NumberIn(lua, "status", behaviour.status));
  behaviour.mute = FlagIn(lua, "mute", behaviour.mute);
  behaviour.sheds = FlagIn(lua, "sheds", behaviour.sheds);
  behaviour.drops_connection = FlagIn(lua, "loses", behaviour.drops_connection);
  simulation.SetBehaviour(id, behaviour);
  return 0;
}

int SubmitAs(lua_State* lua, bool at_most_once) {
  const std::string path = luaL_checkstring(lua, 1);
  constexpr double kDefaultTimeoutMs = 1500;
  constexpr double kMicrosecondsPerMillisecond = 1000;
  const double timeout = luaL_optnumber(lua, 2, kDefaultTimeoutMs);
  const std::uint64_t call = SimulationOf(lua).Submit(
      path, at_most_once,
      Duration(
          static_cast<Duration::rep>(timeout * kMicrosecondsPerMillisecond)));
  lua_pushinteger(lua, static_cast<lua_Integer>(call));
  return 1;
}

int Submit(lua_State* lua) {
  return SubmitAs(lua, false);
}

int Claim(lua_State* lua) {
  return SubmitAs(lua, true);
}

int Abandon(lua_State* lua) {
  SimulationOf(lua).Abandon(
      static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
  return 0;
}

int Advance(lua_State* lua) {
  SimulationOf(lua).Advance(MillisecondsAt(lua, 1));
  return 0;
}

[[nodiscard]] std::optional<CallEnd> EndAt(lua_State* lua) {
  return SimulationOf(lua).EndOf(
      static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
}

int ExpectAnswer(lua_State* lua) {
  const std::string kind = luaL_checkstring(lua, 2);
  const auto end = EndAt(lua);
  const std::string got =
      end ? std::string(kAnswerKindNames.Name(end->kind)) : "no answer";
  Expect(lua, got == kind, "expected " + kind + ", got " + got);
  if (end && lua_isstring(lua, 3) != 0) {
    const std::string reason(kForwardReasonNames.Name(end->reason));
    Expect(lua, reason == lua_tostring(lua, 3),
           "expected the reason " + std::string(lua_tostring(lua, 3)) +
               ", got " + reason);
  }
  return 0;
}

int ExpectMissing(lua_State* lua) {
  const auto end = EndAt(lua);
  const auto missing = static_cast<std::uint32_t>(luaL_checkinteger(lua, 2));
  Expect(lua, end && end->missing == missing,
         "expected " + std::to_string(missing) + " shards left out");
  return 0;
}

int ExpectOpen(lua_State* lua) {
  Expect(lua, !EndAt(lua), "expected no answer yet");
  return 0;
}

int RunsAt(lua_State* lua) {
  lua_pushinteger(lua, SimulationOf(lua).RunsAt(luaL_checkstring(lua, 1)));
  return 1;
}

int RunsOf(lua_State* lua) {
  lua_pushinteger(lua, SimulationOf(lua).RunsOf(static_cast<std::uint64_t>(
                           luaL_checkinteger(lua, 1))));
  return 1;
}

int ExpectTrue(lua_State* lua) {
  Expect(lua, lua_toboolean(lua, 1) != 0, luaL_checkstring(lua, 2));
  return 0;
}

//! A global function of the scripts and its implementation.
struct ScriptFunction {
  const char* name;
  lua_CFunction call;
};

constexpr std::array<ScriptFunction, 16> kScriptFunctions{{
    {"config", &PutConfig},
    {"target", &PutTarget},
    {"remove", &RemoveTarget},
    {"store_away", &SetStoreUnavailable},
    {"store_back", &SetStoreAvailable},
    {"behave", &SetBehaviour},
    {"submit", &Submit},
    {"claim", &Claim},
    {"leave", &Abandon},
    {"advance", &Advance},
    {"expect_answer", &ExpectAnswer},
    {"expect_missing", &ExpectMissing},
    {"expect_open", &ExpectOpen},
    {"expect_true", &ExpectTrue},
    {"runs_at", &RunsAt},
    {"runs_of", &RunsOf},
}};

}  // namespace

std::vector<std::string> RunScript(const std::string& path,
                                   std::uint64_t seed) {
  Simulation simulation(seed);
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(),
                                                             &lua_close);
  luaL_openlibs(lua.get());
  for (const ScriptFunction& function : kScriptFunctions) {
    lua_pushlightuserdata(lua.get(), &simulation);
    lua_pushcclosure(lua.get(), function.call, 1);
    lua_setglobal(lua.get(), function.name);
  }
  lua_pushinteger(lua.get(), static_cast<lua_Integer>(seed));
  lua_setglobal(lua.get(), "seed");
  std::vector<std::string> failures;
  if (luaL_dofile(lua.get(), path.c_str()) != LUA_OK) {
    failures.emplace_back(lua_tostring(lua.get(), -1));
  }
  failures.insert(failures.end(), simulation.failures().begin(),
                  simulation.failures().end());
  return failures;
}

}  // namespace jacinthdeck::scenario
