-- A resend that waits for less time than the call it joined is answered at its own deadline.
start{nodes = 2}
for shard = 0, 2 do
  for replica = 0, 2 do target_slow("t" .. shard .. "-" .. replica, 300) end
end
local id = token(1) .. "-short"
local first = claim(1, "T1", id, 900)
run(20)
local got = await(claim(1, "T1", id, 100))
expect(got.outcome == "unknown" and got.took <= 105, "unknown after " .. got.took .. " ms")
expect(await(first).outcome == "whole", "the first gets its answer")
expect(runs(id) == 1, "ran once")
