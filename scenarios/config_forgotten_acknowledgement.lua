-- Fails: an entry that acknowledged a change restarts in an outage and has forgotten it. It must not renew the lease of
-- an entry that never heard of the change.
start{nodes = 3}
store_cut(2)
store_cut(3)
for other = 1, 2 do cut(3, other); cut(other, 3) end
local call = change(1, "op-1", revision(1))
run(600)
cut(1, 2)
cut(2, 1)
restart(2)
heal(2, 3)
heal(3, 2)
local got = await_reply(call)
expect(got.state == "accepted", "entries 1 and 2 had acknowledged: " .. got.state)
run(5000)
expect(not serving(3) and not serving(2), "neither may serve by the old revision")
for a = 1, 3 do
  store_cut(a, false)
  for b = 1, 3 do heal(a, b) end
end
run(6000)
for node = 1, 3 do expect(serving(node) and revision(node) >= got.revision, "entry " .. node .. " serves") end
