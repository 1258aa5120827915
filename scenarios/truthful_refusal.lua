-- Promise: "not run" is true. Everything sheds, then every entry is fenced; what was refused never ran.
start{nodes = 3}
for shard = 0, 2 do
  for replica = 0, 2 do target_shedding("t" .. shard .. "-" .. replica) end
end
local got = await(search(1, "shed", 400))
expect(got.outcome == "not_run", "not run, not " .. got.outcome)
expect(runs("shed") == 0, "no target ran it")
for shard = 0, 2 do
  for replica = 0, 2 do target_shedding("t" .. shard .. "-" .. replica, false) end
end
store_down()
for other = 1, 3 do
  for node = 1, 3 do cut(node, other) end
end
run(5000)
expect(not serving(1), "an entry without store and peers is fenced")
got = await(search(1, "fenced", 400))
expect(got.outcome == "not_run" and got.took < 50, "refused at once")
