-- Promise: each caller gets the whole answer to its own request though replies come late, twice or for another version.
start{nodes = 1}
target_repeating("t0-0")
target_repeating("t1-0")
target_slow("t1-1", 120)
publish()
run(1500)
target_confused("t2-0")
local calls = {}
for i = 1, 60 do
  calls[i] = search(1, "q" .. i, 900)
  run(draw(8))
end
for i = 1, 60 do
  local got = await(calls[i])
  expect(got.outcome == "whole", "q" .. i .. " is whole, not " .. got.outcome .. " " .. got.reason)
end
