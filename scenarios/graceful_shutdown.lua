-- Promise: a graceful shutdown cuts off nothing in flight; new callers are told to go elsewhere.
start{nodes = 3}
for shard = 0, 2 do target_slow("t" .. shard .. "-0", 80) end
local calls = {}
for i = 1, 20 do calls[i] = search(1, "q" .. i, 800) end
local id = token(1) .. "-g"
local claimed = claim(1, "T9", id, 800)
run(5)
drain(1)
local refused = await(search(1, "too late", 800))
expect(refused.outcome == "not_run" and refused.reason == "draining", "refused, and told why")
for i = 1, 20 do
  local got = await(calls[i])
  expect(got.outcome == "whole", "in flight is finished: " .. got.outcome .. " " .. got.reason)
end
expect(await(claimed).outcome == "whole", "the claim too")
expect(open_calls(1) == 0, "nothing is left")
kill(1)
run(3000)
expect(await(search(2, "others serve", 500)).outcome == "whole", "the others serve")
