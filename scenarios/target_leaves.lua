-- Promise: a leaving target gets no new work after a few seconds, though the host list lags.
start{nodes = 3}
host_list_lag(2500)
run(4000)
target_leave("t0-0")
target_leave("t1-1", true)
local calls = {}
for i = 1, 120 do
  calls[i] = search(1 + i % 3, "q" .. i, 500)
  run(100)
end
for i = 1, 120 do expect(await(calls[i]).outcome == "whole", "nothing is lost by it") end
