// Verbs for size, time, entries, platform and targets.
#include <lua.hpp>
#include <string>

#include "scenario/script.h"

namespace jacinthdeck::scenario {

namespace {

[[nodiscard]] lua_Integer IntegerAt(lua_State* lua, int argument) {
  int is_integer = 0;
  const lua_Integer value = lua_tointegerx(lua, argument, &is_integer);
  if (is_integer == 0) {
    throw ScenarioFailure("argument " + std::to_string(argument) +
                          " is not an integer");
  }
  return value;
}

[[nodiscard]] Duration MillisecondsAt(lua_State* lua, int argument) {
  return std::chrono::milliseconds(IntegerAt(lua, argument));
}

//! A switch that is left out is on.
[[nodiscard]] bool SwitchAt(lua_State* lua, int argument) {
  return lua_isnone(lua, argument) || lua_toboolean(lua, argument) != 0;
}

[[nodiscard]] std::size_t SizeIn(lua_State* lua,
                                 const char* field,
                                 std::size_t fallback) {
  lua_getfield(lua, 1, field);
  const auto value = lua_isnil(lua, -1)
                         ? fallback
                         : static_cast<std::size_t>(lua_tointeger(lua, -1));
  lua_pop(lua, 1);
  return value;
}

}  // namespace

std::size_t Script::NodeAt(lua_State* lua, int argument) {
  const lua_Integer node = IntegerAt(lua, argument);
  if (node < 1 || static_cast<std::size_t>(node) > world().size()) {
    throw ScenarioFailure("no such entry: " + std::to_string(node));
  }
  return static_cast<std::size_t>(node) - 1;
}

TargetBehaviour& Script::TargetAt(lua_State* lua, int argument) {
  const char* name = lua_tostring(lua, argument);
  if (name == nullptr) {
    throw ScenarioFailure("a target is named like \"t0-1\"");
  }
  return world().targets().behaviour(TargetId(name));
}

int Script::Start(lua_State* lua) {
  if (!lua_istable(lua, 1)) {
    throw ScenarioFailure("start takes a table");
  }
  WorldOptions options;
  options.nodes = SizeIn(lua, "nodes", options.nodes);
  options.shards = SizeIn(lua, "shards", options.shards);
  options.replicas = SizeIn(lua, "replicas", options.replicas);
  options.seed = m_seed;
  m_world = std::make_unique<World>(options);
  m_world->Start();
  return 0;
}

int Script::RunFor(lua_State* lua) {
  world().Run(MillisecondsAt(lua, 1));
  return 0;
}

int Script::Now(lua_State* lua) {
  const auto time = world().now().time_since_epoch();
  lua_pushinteger(
      lua, std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  return 1;
}

int Script::Draw(lua_State* lua) {
  const auto below = static_cast<std::uint64_t>(IntegerAt(lua, 1));
  lua_pushinteger(lua,
                  static_cast<lua_Integer>(world().random().Below(below)) + 1);
  return 1;
}

int Script::Expect(lua_State* lua) {
  if (lua_toboolean(lua, 1) == 0) {
    const char* what = lua_tostring(lua, 2);
    throw ScenarioFailure(std::string("expected: ") +
                          (what == nullptr ? "" : what));
  }
  return 0;
}

int Script::Kill(lua_State* lua) {
  world().Kill(NodeAt(lua, 1));
  return 0;
}

int Script::Restart(lua_State* lua) {
  world().Restart(NodeAt(lua, 1));
  return 0;
}

int Script::Pause(lua_State* lua) {
  world().Pause(NodeAt(lua, 1));
  return 0;
}

int Script::Resume(lua_State* lua) {
  world().Resume(NodeAt(lua, 1));
  return 0;
}

int Script::Drain(lua_State* lua) {
  world().Drain(NodeAt(lua, 1));
  return 0;
}

int Script::Cut(lua_State* lua) {
  world().Cut(NodeAt(lua, 1), NodeAt(lua, 2));
  return 0;
}

int Script::Heal(lua_State* lua) {
  world().Heal(NodeAt(lua, 1), NodeAt(lua, 2));
  return 0;
}

int Script::StoreCut(lua_State* lua) {
  world().node(NodeAt(lua, 1)).store_cut = SwitchAt(lua, 2);
  return 0;
}

int Script::Serving(lua_State* lua) {
  const NodeSlot& slot = world().node(NodeAt(lua, 1));
  const bool serving =
      slot.core && !slot.paused &&
      slot.core->cluster().StateAt(world().now()) == ServeState::kServing;
  lua_pushboolean(lua, serving ? 1 : 0);
  return 1;
}

int Script::RevisionOf(lua_State* lua) {
  const NodeSlot& slot = world().node(NodeAt(lua, 1));
  const std::uint64_t revision =
      slot.core ? slot.core->cluster().config().revision().raw() : 0;
  lua_pushinteger(lua, static_cast<lua_Integer>(revision));
  return 1;
}

int Script::OpenCalls(lua_State* lua) {
  const NodeSlot& slot = world().node(NodeAt(lua, 1));
  const std::size_t open = slot.core ? slot.core->open_calls() : 0;
  lua_pushinteger(lua, static_cast<lua_Integer>(open));
  return 1;
}

int Script::Release(lua_State* lua) {
  NodeSlot& slot = world().node(NodeAt(lua, 1));
  const auto entries = slot.core->engine().quarantine().Entries(world().now());
  for (const QuarantineEntry& entry : entries) {
    (void)slot.core->ReleaseQuarantine(entry.fingerprint, world().now());
  }
  lua_pushinteger(lua, static_cast<lua_Integer>(entries.size()));
  return 1;
}

int Script::StoreDown(lua_State* lua) {
  world().store().faults().down = SwitchAt(lua, 1);
  return 0;
}

int Script::StoreSlow(lua_State* lua) {
  world().set_store_delay(MillisecondsAt(lua, 1));
  return 0;
}

int Script::StoreLosesReplies(lua_State* lua) {
  world().store().faults().lose_write_replies =
      static_cast<std::uint32_t>(IntegerAt(lua, 1));
  return 0;
}

int Script::StoreStale(lua_State* lua) {
  if (SwitchAt(lua, 1)) {
    world().store().FreezeReads();
  }
  world().store().faults().stale_reads = SwitchAt(lua, 1);
  return 0;
}

int Script::HostListLag(lua_State* lua) {
  world().set_host_list_lag(MillisecondsAt(lua, 1));
  return 0;
}

int Script::TargetDown(lua_State* lua) {
  if (SwitchAt(lua, 2)) {
    (void)TargetAt(lua, 1);
    world().targets().Kill(TargetId(lua_tostring(lua, 1)));
  } else {
    TargetAt(lua, 1).up = true;
  }
  return 0;
}

int Script::TargetSilent(lua_State* lua) {
  TargetAt(lua, 1).silent = SwitchAt(lua, 2);
  return 0;
}

int Script::TargetShedding(lua_State* lua) {
  TargetAt(lua, 1).shedding = SwitchAt(lua, 2);
  return 0;
}

int Script::TargetConfused(lua_State* lua) {
  TargetAt(lua, 1).confused = SwitchAt(lua, 2);
  return 0;
}

int Script::TargetRepeating(lua_State* lua) {
  TargetAt(lua, 1).repeating = SwitchAt(lua, 2);
  return 0;
}

int Script::TargetSlow(lua_State* lua) {
  TargetAt(lua, 1).extra = MillisecondsAt(lua, 2);
  return 0;
}

int Script::TargetLeave(lua_State* lua) {
  TargetBehaviour& behaviour = TargetAt(lua, 1);
  behaviour.left = world().now();
  behaviour.says_draining = lua_toboolean(lua, 2) != 0;
  return 0;
}

int Script::Publish(lua_State* lua) {
  lua_pushinteger(lua,
                  static_cast<lua_Integer>(world().dataset().Publish().raw()));
  return 1;
}

int Script::Retire(lua_State* lua) {
  world().dataset().Retire(
      IndexVersion(static_cast<std::uint64_t>(IntegerAt(lua, 1))));
  return 0;
}

int Script::Kills(lua_State* lua) {
  lua_pushinteger(lua, static_cast<lua_Integer>(world().targets().kills()));
  return 1;
}

}  // namespace jacinthdeck::scenario
