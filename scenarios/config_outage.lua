-- Fails: the store is down for long. The entries serve on by asking one another; nothing is accepted meanwhile; an entry
-- that restarts learns the accepted revision from its peers, never an older one.
start{nodes = 3}
local got = await_reply(change(1, "op-1", revision(1)))
expect(got.state == "accepted", "accepted")
store_down()
run(20000)
for node = 1, 3 do expect(serving(node), "entry " .. node .. " serves in the outage") end
local refused = await_reply(change(1, "op-2", got.revision))
expect(refused.state ~= "accepted", "nothing is accepted in an outage")
restart(3)
run(8000)
expect(revision(3) >= got.revision, "learned from its peers")
expect(serving(3), "and serves")
store_down(false)
run(15000)
local after = await_reply(change(2, "op-3", revision(2)))
expect(after.state == "accepted", "accepted after the outage, not " .. after.state)
