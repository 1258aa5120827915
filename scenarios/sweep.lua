-- Draws faults, their order and their length from the seed, while callers search and claim through all entries, resend,
-- and operators race. The checker looks at everything after each millisecond.
start{nodes = 3}
local ids = {}
local shedding = {}
local function target() return "t" .. (draw(3) - 1) .. "-" .. (draw(3) - 1) end
local function switch() return draw(2) == 1 end
local number = 0
local steps = {
  function() pause(draw(3)) end,
  function() for node = 1, 3 do resume(node) end end,
  function() restart(draw(3)) end,
  function() cut(draw(3), draw(3)) end,
  function() for a = 1, 3 do for b = 1, 3 do heal(a, b) end end end,
  function() store_cut(draw(3), switch()) end,
  function() store_down(switch()) end,
  function() store_slow(draw(4) == 1 and 1600 or 0) end,
  function() store_loses_replies(draw(2) - 1) end,
  function() target_down(target(), switch()) end,
  function() target_slow(target(), switch() and 200 or 0) end,
  function() target_silent(target(), draw(4) == 1) end,
  function() target_shedding(target(), draw(4) == 1) end,
  function() target_confused(target(), draw(4) == 1) end,
  function() target_repeating(target(), switch()) end,
  function() retire(publish() - 2) end,
  function() search(draw(3), "crash") end,
}
for step = 1, 40 do
  steps[draw(#steps)]()
  for i = 1, 4 do
    number = number + 1
    search(draw(3), "s" .. number, 100 + draw(500))
    local token = token(draw(3))
    if token ~= "" then ids[#ids + 1] = token .. "-s" .. number end
    if #ids > 0 then
      local id = ids[draw(#ids)]
      claim(draw(3), "T" .. id:match("[^-]*$"), id, 100 + draw(500))
    end
    if draw(6) == 1 then change(draw(3), "op-" .. number, revision(draw(3))) end
    run(draw(250))
  end
end
for node = 1, 3 do resume(node) end
for a = 1, 3 do
  store_cut(a, false)
  for b = 1, 3 do heal(a, b) end
end
store_down(false)
store_slow(0)
run(15000)
for node = 1, 3 do expect(serving(node), "all serve again at the end: " .. node) end
