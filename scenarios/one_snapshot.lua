-- Promise: every answer reflects one snapshot. Fails: repartitioning while queries read.
-- A new version with other borders appears and the old one goes away under running searches; every answer is of one
-- version, with the hits of its ranges once.
start{nodes = 2}
local calls = {}
for round = 1, 6 do
  local version = publish()
  for i = 1, 10 do
    calls[#calls + 1] = search(1 + i % 2, "r" .. round .. "-" .. i, 800)
    run(draw(15))
  end
  run(1200)
  for i = 1, 4 do
    calls[#calls + 1] = search(1 + i % 2, "late" .. round .. "-" .. i, 800)
  end
  run(draw(4))
  retire(version - 1)
end
local whole = 0
for _, call in ipairs(calls) do
  local got = await(call)
  expect(got.outcome ~= "unknown", "a search may be refused or partial, not unknown: " .. got.reason)
  if got.outcome == "whole" then whole = whole + 1 end
end
expect(whole >= #calls * 0.95, "nearly all searches are whole: " .. whole .. " of " .. #calls)
