// Verbs over the C interface of Lua.
#include "scenario/script.h"

#include <array>
#include <lua.hpp>
#include <memory>

#include "scenario/world.h"

namespace jacinthdeck::scenario {

namespace {

[[nodiscard]] World& WorldOf(lua_State* lua) {
  return *static_cast<World*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

[[nodiscard]] Duration MillisecondsAt(lua_State* lua, int index) {
  constexpr double kMicroseconds = 1000;
  return Duration(
      static_cast<Duration::rep>(luaL_checknumber(lua, index) * kMicroseconds));
}

//! Where the script stands, for the words of a failed expectation.
void Expect(lua_State* lua, bool holds, const std::string& text) {
  if (holds) {
    return;
  }
  luaL_where(lua, 1);
  WorldOf(lua).AddFault(lua_tostring(lua, -1) + text);
  lua_pop(lua, 1);
}

int Config(lua_State* lua) {
  WorldOf(lua).PutConfig(luaL_checkstring(lua, 1));
  return 0;
}

int Target(lua_State* lua) {
  WorldOf(lua).PutTarget(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2));
  return 0;
}

int Remove(lua_State* lua) {
  WorldOf(lua).RemoveTarget(luaL_checkstring(lua, 1));
  return 0;
}

int StoreAway(lua_State* lua) {
  WorldOf(lua).StoreAway();
  return 0;
}

int StoreBack(lua_State* lua) {
  WorldOf(lua).StoreBack();
  return 0;
}

[[nodiscard]] bool FlagIn(lua_State* lua, const char* name, bool fallback) {
  lua_getfield(lua, 2, name);
  const bool value =
      lua_isnil(lua, -1) ? fallback : lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
  return value;
}

[[nodiscard]] double NumberIn(lua_State* lua,
                              const char* name,
                              double fallback) {
  lua_getfield(lua, 2, name);
  const double value = luaL_optnumber(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

int Behave(lua_State* lua) {
  constexpr double kMicroseconds = 1000;
  World& world = WorldOf(lua);
  const std::string id = luaL_checkstring(lua, 1);
  luaL_checktype(lua, 2, LUA_TTABLE);
  Behaviour behaviour = world.BehaviourOf(id);
  const double latency =
      NumberIn(lua, "latency_ms", ToMilliseconds(behaviour.latency));
  behaviour.latency =
      Duration(static_cast<Duration::rep>(latency * kMicroseconds));
  behaviour.status =
      static_cast<int>(NumberIn(lua, "status", behaviour.status));
  behaviour.mute = FlagIn(lua, "mute", behaviour.mute);
  behaviour.sheds = FlagIn(lua, "sheds", behaviour.sheds);
  behaviour.loses = FlagIn(lua, "loses", behaviour.loses);
  world.Behave(id, behaviour);
  return 0;
}

int SubmitAs(lua_State* lua, bool once) {
  const std::string path = luaL_checkstring(lua, 1);
  constexpr double kPatienceMs = 1500;
  constexpr double kMicroseconds = 1000;
  const double patience = luaL_optnumber(lua, 2, kPatienceMs);
  const std::uint64_t call = WorldOf(lua).Submit(
      path, once,
      Duration(static_cast<Duration::rep>(patience * kMicroseconds)));
  lua_pushinteger(lua, static_cast<lua_Integer>(call));
  return 1;
}

int Submit(lua_State* lua) {
  return SubmitAs(lua, false);
}

int Claim(lua_State* lua) {
  return SubmitAs(lua, true);
}

int Leave(lua_State* lua) {
  WorldOf(lua).Leave(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
  return 0;
}

int Advance(lua_State* lua) {
  WorldOf(lua).Advance(MillisecondsAt(lua, 1));
  return 0;
}

[[nodiscard]] std::optional<CallEnd> EndAt(lua_State* lua) {
  return WorldOf(lua).EndOf(
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
  lua_pushinteger(lua, WorldOf(lua).RunsAt(luaL_checkstring(lua, 1)));
  return 1;
}

int RunsOf(lua_State* lua) {
  lua_pushinteger(lua, WorldOf(lua).RunsOf(static_cast<std::uint64_t>(
                           luaL_checkinteger(lua, 1))));
  return 1;
}

int ExpectTrue(lua_State* lua) {
  Expect(lua, lua_toboolean(lua, 1) != 0, luaL_checkstring(lua, 2));
  return 0;
}

struct Verb {
  const char* name;
  lua_CFunction run;
};

constexpr std::array<Verb, 16> kVerbs{{
    {"config", &Config},
    {"target", &Target},
    {"remove", &Remove},
    {"store_away", &StoreAway},
    {"store_back", &StoreBack},
    {"behave", &Behave},
    {"submit", &Submit},
    {"claim", &Claim},
    {"leave", &Leave},
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
  World world(seed);
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(),
                                                             &lua_close);
  luaL_openlibs(lua.get());
  for (const Verb& verb : kVerbs) {
    lua_pushlightuserdata(lua.get(), &world);
    lua_pushcclosure(lua.get(), verb.run, 1);
    lua_setglobal(lua.get(), verb.name);
  }
  lua_pushinteger(lua.get(), static_cast<lua_Integer>(seed));
  lua_setglobal(lua.get(), "seed");
  std::vector<std::string> faults;
  if (luaL_dofile(lua.get(), path.c_str()) != LUA_OK) {
    faults.emplace_back(lua_tostring(lua.get(), -1));
  }
  faults.insert(faults.end(), world.faults().begin(), world.faults().end());
  return faults;
}

}  // namespace jacinthdeck::scenario
