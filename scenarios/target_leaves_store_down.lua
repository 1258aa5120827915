-- Promise: the same while the store is down.
start{nodes = 3}
store_down()
run(3000)
target_leave("t2-0")
local calls = {}
for i = 1, 100 do
  calls[i] = search(1 + i % 3, "q" .. i, 500)
  run(100)
end
for i = 1, 100 do expect(await(calls[i]).outcome == "whole", "the outage stops no query") end
