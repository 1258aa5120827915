-- All targets of a shard hang. Answers go out within the objective without it, and say so.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
warm_up("/fan/1")
for replica = 1, 3 do behave("shard-2/" .. replica, {mute = true}) end
for n = 1, 10 do
  local call = submit("/fan/" .. n)
  advance(200)
  expect_answer(call, "merged")
  expect_missing(call, 1)
end
