-- Fails: one request crashes each target that runs it, and its caller sends it again through every entry. Few targets
-- die, the others go on, and other requests are not refused.
start{nodes = 3, replicas = 3}
for round = 1, 12 do
  search(1 + round % 3, "crash", 400)
  run(150)
  search(1 + round % 3, "innocent" .. round, 400)
  run(350)
end
expect(kills() <= 9, "at most 9 targets die of it, not " .. kills())
run(3000)
local got = await(search(1, "crash", 400))
expect(got.outcome == "not_run" and got.reason == "quarantined", "refused: " .. got.outcome .. " " .. got.reason)
expect(await(search(2, "innocent", 400)).outcome == "whole", "others are served")
