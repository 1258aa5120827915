// Verbs of callers and operators.
#include <algorithm>
#include <lua.hpp>
#include <string>

#include "scenario/script.h"

namespace jacinthdeck::scenario {

namespace {

constexpr Duration kDeadline = std::chrono::milliseconds(500);
constexpr Duration kReplyLimit = std::chrono::seconds(15);

[[nodiscard]] std::string TextAt(lua_State* lua, int argument) {
  const char* text = lua_tostring(lua, argument);
  if (text == nullptr) {
    throw ScenarioFailure("argument " + std::to_string(argument) +
                          " is not a text");
  }
  return text;
}

[[nodiscard]] Duration DeadlineAt(lua_State* lua, int argument) {
  return lua_isnoneornil(lua, argument) ? kDeadline
                                        : Duration(std::chrono::milliseconds(
                                              lua_tointeger(lua, argument)));
}

void SetText(lua_State* lua, const char* field, std::string_view text) {
  lua_pushlstring(lua, text.data(), text.size());
  lua_setfield(lua, -2, field);
}

void SetNumber(lua_State* lua, const char* field, std::uint64_t number) {
  lua_pushinteger(lua, static_cast<lua_Integer>(number));
  lua_setfield(lua, -2, field);
}

[[nodiscard]] std::uint64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
}

}  // namespace

// search(entry, text [, deadline ms]) -> call
int Script::Search(lua_State* lua) {
  const std::string json = R"({"q":")" + TextAt(lua, 2) + R"("})";
  const std::size_t id =
      world().Submit(NodeAt(lua, 1), "Search", json, "", DeadlineAt(lua, 3));
  lua_pushinteger(lua, static_cast<lua_Integer>(id));
  return 1;
}

// claim(entry, ticket, request id [, deadline ms]) -> call
int Script::Claim(lua_State* lua) {
  const std::string id = TextAt(lua, 3);
  const std::string json =
      R"({"ticket":")" + TextAt(lua, 2) + R"(","by":")" + id + R"("})";
  const std::size_t call =
      world().Submit(NodeAt(lua, 1), "Claim", json, id, DeadlineAt(lua, 4));
  lua_pushinteger(lua, static_cast<lua_Integer>(call));
  return 1;
}

int Script::Token(lua_State* lua) {
  const std::string token = world().Token(NodeAt(lua, 1));
  lua_pushlstring(lua, token.data(), token.size());
  return 1;
}

void Script::PushCall(lua_State* lua, std::size_t id) {
  const CallRecord& call = *world().calls().at(id);
  if (call.answers == 0) {
    lua_pushnil(lua);
    return;
  }
  lua_newtable(lua);
  SetText(lua, "outcome", call.outcome);
  SetText(lua, "reason", call.reason);
  SetNumber(lua, "took", MillisecondsBetween(call.submitted, call.answered));
  if (call.answer) {
    SetNumber(lua, "attempts", call.answer->attempts);
    SetNumber(lua, "missing", call.answer->missing.size());
    SetNumber(lua, "hits", call.answer->hits.size());
    SetNumber(lua, "version",
              call.answer->version ? call.answer->version->raw() : 0);
    SetNumber(lua, "retry_after",
              static_cast<std::uint64_t>(
                  call.answer->retry_after.value_or(Duration::zero()).count() /
                  1000));
  }
}

int Script::Answer(lua_State* lua) {
  PushCall(lua, static_cast<std::size_t>(lua_tointeger(lua, 1)));
  return 1;
}

// await(call) -> answer, or nil if its entry died
int Script::Await(lua_State* lua) {
  const auto id = static_cast<std::size_t>(lua_tointeger(lua, 1));
  const CallRecord& call = *world().calls().at(id);
  const Duration limit =
      std::max<Duration>(
          std::chrono::duration_cast<Duration>(call.deadline - world().now()),
          Duration::zero()) +
      std::chrono::seconds(1);
  (void)world().RunUntil([&] { return call.answers > 0 || call.lost; }, limit);
  PushCall(lua, id);
  return 1;
}

// runs(request id or search text) -> times that a target ran it
int Script::RunsOf(lua_State* lua) {
  const std::string text = TextAt(lua, 1);
  const auto& runs = world().targets().runs();
  const auto count = std::ranges::count_if(runs, [&](const TargetRun& run) {
    return run.body.find('"' + text + '"') != std::string::npos;
  });
  lua_pushinteger(lua, static_cast<lua_Integer>(count));
  return 1;
}

// change(entry, operation id, expected revision [, rollback to]) -> change
int Script::Change(lua_State* lua) {
  const auto revision_at = [lua](int argument) {
    return Revision(static_cast<std::uint64_t>(lua_tointeger(lua, argument)));
  };
  const std::size_t id = world().Change(NodeAt(lua, 1), TextAt(lua, 2),
                                        revision_at(3), revision_at(4));
  lua_pushinteger(lua, static_cast<lua_Integer>(id));
  return 1;
}

int Script::Reply(lua_State* lua) {
  const auto id = static_cast<std::size_t>(lua_tointeger(lua, 1));
  const ChangeRecord& change = *world().changes().at(id);
  if (!change.reply) {
    lua_pushnil(lua);
    return 1;
  }
  lua_newtable(lua);
  SetText(lua, "state", kChangeStateNames.Name(change.reply->state));
  SetNumber(lua, "revision", change.reply->revision.raw());
  SetNumber(lua, "waiting_for", change.reply->waiting_for.size());
  return 1;
}

int Script::AwaitReply(lua_State* lua) {
  const auto id = static_cast<std::size_t>(lua_tointeger(lua, 1));
  const ChangeRecord& change = *world().changes().at(id);
  (void)world().RunUntil([&] { return change.reply.has_value(); }, kReplyLimit);
  return Reply(lua);
}

}  // namespace jacinthdeck::scenario
