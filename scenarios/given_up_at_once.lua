-- Both runs that a route allows have failed. The caller learns it at once and not at its deadline.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
for replica = 1, 3 do behave("desk/" .. replica, {loses = true}) end
local call = submit("/read/1")
advance(30)
expect_answer(call, "failed")
