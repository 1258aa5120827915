-- Fails: a slow server does not hold whole answers hostage.
start{nodes = 2}
for i = 1, 200 do
  search(1 + i % 2, "warm" .. i, 400)
  run(8)
end
target_slow("t1-1", 350)
local calls = {}
for i = 1, 200 do
  calls[i] = search(1 + i % 2, "q" .. i, 500)
  run(8)
end
local slow = 0
for i = 1, 200 do
  local got = await(calls[i])
  expect(got.outcome == "whole", "whole, not " .. got.outcome)
  if got.took > 100 then slow = slow + 1 end
end
expect(slow <= 6, "at most 3 in 100 wait for the slow server, not " .. slow .. " of 200")
