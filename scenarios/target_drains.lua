-- A target says that it leaves. From then on it gets nothing, whatever else it says.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
warm_up("/read/1", 10)
add("desk", 1, "draining")
local before = runs_at("desk/1")
warm_up("/read/2", 30)
expect_true(runs_at("desk/1") == before, "a draining target got work")
