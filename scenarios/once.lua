-- Promise: a request that may not be repeated runs at most once. Resends through every entry while replies are slow.
start{nodes = 3}
for shard = 0, 2 do
  for replica = 0, 2 do target_slow("t" .. shard .. "-" .. replica, draw(60)) end
end
for i = 1, 30 do
  local home = draw(3)
  local id = token(home) .. "-c" .. i
  local first = claim(home, "T" .. i, id, 600)
  run(draw(40))
  local again = claim(draw(3), "T" .. i, id, 600)
  run(draw(40))
  local third = claim(draw(3), "T" .. i, id, 600)
  local got = await(first)
  expect(got.outcome == "whole", "claim is done, not " .. got.outcome .. " " .. got.reason)
  expect(await(again).outcome == "whole", "the resend gets the answer")
  expect(await(third).outcome == "whole", "so does the third")
  expect(runs(id) == 1, "ran once")
end
