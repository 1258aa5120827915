-- Faults in an order that the seed draws, under steady calls; the promises are checked at each event.
dofile((arg0 or "scenarios/") .. "common.lua")
start()
math.randomseed(seed)
local function any(list) return list[math.random(#list)] end
local services = {"desk", "shard-1", "shard-2", "shard-3", "shard-4"}
local version = 1
local faults = {
  function(id) behave(id, {mute = true}) end,
  function(id) behave(id, {loses = true}) end,
  function(id) behave(id, {sheds = true}) end,
  function(id) behave(id, {status = 500}) end,
  function(id) behave(id, {latency_ms = 300}) end,
  function(id) remove(id) end,
  function() store_away() end,
  function() store_back() end,
  function() version = version + math.random(3); config(routes(version, shards)) end,
  function() config(routes(math.random(version), shards)) end,
}
for _ = 1, 60 do
  local service, replica = any(services), math.random(3)
  local id = service .. "/" .. replica
  any(faults)(id)
  for n = 1, 4 do
    submit("/fan/" .. n)
    submit("/read/" .. n)
    local one = claim("/claim/" .. n)
    if math.random(5) == 1 then leave(one) end
    advance(math.random(40))
  end
  if math.random(2) == 1 then
    behave(id, {mute = false, loses = false, sheds = false, status = 200, latency_ms = 5})
    add(service, replica)
  end
end
advance(3000)
