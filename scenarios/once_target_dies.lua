-- Promise: at most once, when the target dies under the request: the answer is unknown and nothing runs again.
start{nodes = 2}
for shard = 0, 2 do
  for replica = 0, 2 do target_silent("t" .. shard .. "-" .. replica) end
end
local id = token(1) .. "-x"
local call = claim(1, "T1", id, 1500)
run(50)
for shard = 0, 2 do
  for replica = 0, 2 do
    target_down("t" .. shard .. "-" .. replica)
    target_silent("t" .. shard .. "-" .. replica, false)
    target_down("t" .. shard .. "-" .. replica, false)
  end
end
local got = await(call)
expect(got.outcome == "unknown", "unknown, not " .. got.outcome)
expect(got.took < 300, "at once, not after " .. got.took .. " ms")
got = await(claim(2, "T1", id, 600))
expect(got.outcome == "unknown", "a resend elsewhere learns no other outcome: " .. got.outcome)
expect(runs(id) <= 1, "ran at most once")
