-- Fails: a lease lapses while its holder is paused and unaware. The change is accepted meanwhile; the entry that wakes
-- refuses, at the very moment of waking, what it would have served by the old revision.
start{nodes = 3}
pause(3)
local held = {}
for i = 1, 5 do held[i] = search(3, "held" .. i, 30000) end
local got = await_reply(change(1, "op-1", revision(1)))
expect(got.state == "accepted", "accepted: " .. got.state)
resume(3)
expect(revision(3) >= got.revision or not serving(3), "no answer by the old revision")
run(3000)
expect(serving(3) and revision(3) >= got.revision, "it serves by the new one")
