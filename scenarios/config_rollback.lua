-- A rollback is a new revision; a stale read of the store takes nobody back.
start{nodes = 3}
local one = await_reply(change(1, "op-1", revision(1)))
store_stale()
local two = await_reply(change(1, "op-2", revision(1)))
run(4000)
store_stale(false)
run(4000)
local back = await_reply(change(2, "op-back", revision(2), one.revision))
expect(back.state == "accepted" and back.revision > one.revision, "rolled back by a new revision: " .. back.state)
