// The Lua state of a scenario and its table of verbs.
#include "scenario/script.h"

#include <array>
#include <cstring>
#include <functional>
#include <lua.hpp>

namespace jacinthdeck::scenario {

namespace {

constexpr std::size_t kMessage = 400;

// Lua leaves a function by longjmp, which would skip destructors: so a failure
// is an exception as far as our own frames go, and becomes Lua's error in this
// one, which holds nothing to destroy.
int CallVerb(lua_State* lua) {
  std::array<char, kMessage> message{};
  {
    auto* const script =
        static_cast<Script*>(lua_touserdata(lua, lua_upvalueindex(1)));
    const auto verb =
        static_cast<std::size_t>(lua_tointeger(lua, lua_upvalueindex(2)));
    try {
      return script->Invoke(verb, lua);
    } catch (const std::exception& error) {
      std::strncpy(message.data(), error.what(), message.size() - 1);
    }
  }
  return luaL_error(lua, "%s", message.data());
}

struct CloseLua {
  void operator()(lua_State* lua) const noexcept { lua_close(lua); }
};

}  // namespace

const std::vector<Script::NamedVerb>& Script::Verbs() {
  static const std::vector<NamedVerb> verbs{
      {"start", &Script::Start},
      {"run", &Script::RunFor},
      {"now", &Script::Now},
      {"draw", &Script::Draw},
      {"expect", &Script::Expect},
      {"kill", &Script::Kill},
      {"restart", &Script::Restart},
      {"pause", &Script::Pause},
      {"resume", &Script::Resume},
      {"drain", &Script::Drain},
      {"cut", &Script::Cut},
      {"heal", &Script::Heal},
      {"store_cut", &Script::StoreCut},
      {"serving", &Script::Serving},
      {"revision", &Script::RevisionOf},
      {"open_calls", &Script::OpenCalls},
      {"release", &Script::Release},
      {"store_down", &Script::StoreDown},
      {"store_slow", &Script::StoreSlow},
      {"store_loses_replies", &Script::StoreLosesReplies},
      {"store_stale", &Script::StoreStale},
      {"host_list_lag", &Script::HostListLag},
      {"target_down", &Script::TargetDown},
      {"target_silent", &Script::TargetSilent},
      {"target_shedding", &Script::TargetShedding},
      {"target_confused", &Script::TargetConfused},
      {"target_repeating", &Script::TargetRepeating},
      {"target_slow", &Script::TargetSlow},
      {"target_leave", &Script::TargetLeave},
      {"publish", &Script::Publish},
      {"retire", &Script::Retire},
      {"runs", &Script::RunsOf},
      {"kills", &Script::Kills},
      {"search", &Script::Search},
      {"claim", &Script::Claim},
      {"token", &Script::Token},
      {"answer", &Script::Answer},
      {"await", &Script::Await},
      {"change", &Script::Change},
      {"reply", &Script::Reply},
      {"await_reply", &Script::AwaitReply},
  };
  return verbs;
}

Script::Script(std::uint64_t seed) : m_seed(seed) {}

Script::~Script() = default;

int Script::Invoke(std::size_t verb, lua_State* lua) {
  return (this->*Verbs().at(verb).verb)(lua);
}

World& Script::world() {
  if (!m_world) {
    throw ScenarioFailure("a script begins with start{}");
  }
  return *m_world;
}

std::optional<std::string> Script::Run(const std::string& path) {
  const std::unique_ptr<lua_State, CloseLua> lua(luaL_newstate());
  luaL_requiref(lua.get(), LUA_GNAME, luaopen_base, 1);
  luaL_requiref(lua.get(), LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(lua.get(), LUA_STRLIBNAME, luaopen_string, 1);
  lua_settop(lua.get(), 0);
  for (std::size_t verb = 0; verb < Verbs().size(); ++verb) {
    lua_pushlightuserdata(lua.get(), this);
    lua_pushinteger(lua.get(), static_cast<lua_Integer>(verb));
    lua_pushcclosure(lua.get(), &CallVerb, 2);
    lua_setglobal(lua.get(), Verbs()[verb].name);
  }
  const auto at = [this] {
    const auto time = m_world ? m_world->now().time_since_epoch() : Duration{};
    return " (at " +
           std::to_string(
               ToMilliseconds(std::chrono::duration_cast<Duration>(time))) +
           " ms)";
  };
  if (luaL_dofile(lua.get(), path.c_str()) != LUA_OK) {
    return lua_tostring(lua.get(), -1) + at();
  }
  try {
    world().Finish();
  } catch (const ScenarioFailure& failure) {
    return failure.what() + at();
  }
  return std::nullopt;
}

std::string Script::Trace(const std::string& text) const {
  std::string lines;
  const auto ms = [](TimePoint at) {
    return std::to_string(at.time_since_epoch().count() / 1000);
  };
  for (const auto& call : m_world->calls()) {
    if (call->body.find(text) != std::string::npos) {
      lines += "call at entry " + std::to_string(call->node + 1) + " at " +
               ms(call->submitted) + " until " + ms(call->deadline) + ": " +
               (call->answers == 0 ? "no answer" : call->outcome) + " " +
               call->reason + " at " + ms(call->answered) +
               (call->paused ? ", entry paused" : "") +
               (call->lost ? ", entry died" : "") + " " + call->body + "\n";
    }
  }
  for (const TargetRun& run : m_world->targets().runs()) {
    if (run.body.find(text) != std::string::npos) {
      lines += "run by " + run.target.raw() + " at " + ms(run.at) + " " +
               run.body + "\n";
    }
  }
  return lines;
}

std::uint64_t Script::TraceHash() const {
  std::string trace;
  for (const auto& call : m_world->calls()) {
    trace += call->body + call->outcome + call->reason +
             std::to_string(call->answered.time_since_epoch().count());
  }
  for (const auto& change : m_world->changes()) {
    trace += change->operation +
             std::to_string(change->answered.time_since_epoch().count());
  }
  for (const TargetRun& run : m_world->targets().runs()) {
    trace += run.target.raw() + run.body +
             std::to_string(run.at.time_since_epoch().count());
  }
  return std::hash<std::string>{}(trace);
}

}  // namespace jacinthdeck::scenario
