-- The targets of two of four shards are gone. Half is no answer: the caller is refused at once.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
for _, shard in ipairs({"shard-1", "shard-2"}) do
  for replica = 1, 3 do remove(shard .. "/" .. replica) end
end
local call = submit("/fan/1")
expect_answer(call, "not_run", "no_target")
