-- A claim runs and its connection ends. The caller is told that it may have run; nobody runs it again.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
for replica = 1, 3 do behave("desk/" .. replica, {loses = true}) end
local call = claim("/claim/1")
advance(100)
expect_answer(call, "failed")
expect_true(runs_of(call) == 1, "the claim ran other than once")
