-- Promise: every answer states truly what it covers. Fails: stragglers, lost replicas.
-- A shard whose replicas all hang leaves the answer partial at the deadline, with exactly that shard missing.
start{nodes = 2, shards = 4}
for replica = 0, 2 do target_silent("t2-" .. replica) end
local got = await(search(1, "hung", 300))
expect(got.outcome == "partial", "partial, not " .. got.outcome)
expect(got.missing == 1, "one shard is missing, not " .. got.missing)
for replica = 0, 2 do target_silent("t2-" .. replica, false) end
run(3000)
got = await(search(1, "healed", 500))
expect(got.outcome == "whole", "whole again, not " .. got.outcome)
