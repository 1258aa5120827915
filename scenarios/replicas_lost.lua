-- Fails: replicas are lost. One of each shard dies under load; answers stay whole.
start{nodes = 2}
local calls = {}
for i = 1, 120 do
  if i == 30 then
    for shard = 0, 2 do target_down("t" .. shard .. "-1") end
  end
  calls[i] = search(1 + i % 2, "q" .. i, 500)
  run(10)
end
for i = 1, 120 do
  local got = await(calls[i])
  expect(got.outcome == "whole", "q" .. i .. " is whole, not " .. got.outcome .. " " .. got.reason)
end
