-- Any two faults at once, in every pair of the list, under load.
local faults = {
  {"store down", function() store_down() end, function() store_down(false) end},
  {"pause", function() pause(2) end, function() resume(2) end},
  {"restart", function() restart(3) end, function() end},
  {"cut", function() cut(1, 3); cut(3, 1) end, function() heal(1, 3); heal(3, 1) end},
  {"replica lost", function() target_down("t0-0") end, function() target_down("t0-0", false) end},
  {"slow", function() target_slow("t1-0", 200) end, function() target_slow("t1-0", 0) end},
  {"reply lost", function() store_loses_replies(1) end, function() store_loses_replies(0) end},
}
start{nodes = 3}
local number = 0
for a = 1, #faults do
  for b = a + 1, #faults do
    number = number + 1
    faults[a][2]()
    faults[b][2]()
    change(1, "op-" .. number, revision(1))
    for i = 1, 6 do
      search(i % 3 + 1, "q" .. number .. "-" .. i)
      local home = draw(3)
      local id = token(home)
      if id ~= "" then claim(draw(3), "T" .. number, id .. "-p" .. number .. "-" .. i) end
      run(draw(300))
    end
    faults[a][3]()
    faults[b][3]()
    run(4000)
  end
end
run(12000)
for node = 1, 3 do expect(serving(node), "all serve at the end: " .. node) end
