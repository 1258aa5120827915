-- One target of a shard hangs. A hedge answers for it, and all shards are in within the objective.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
warm_up("/fan/1")
behave("shard-1/1", {mute = true})
for n = 1, 20 do
  local call = submit("/fan/" .. n)
  advance(200)
  expect_answer(call, "merged")
  expect_missing(call, 0)
end
