-- A request that is given up gets its final answer at once, never held back until its deadline.
start{nodes = 1}
for shard = 0, 2 do
  for replica = 0, 2 do target_down("t" .. shard .. "-" .. replica) end
end
local got = await(search(1, "nobody there", 5000))
expect(got.outcome ~= "whole", "cannot be whole")
expect(got.took < 500, "answered at once, not after " .. got.took .. " ms")
