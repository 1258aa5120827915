-- Fails: a cut in one direction. What entry 3 sends is lost, what is sent to it arrives; and the other way round.
start{nodes = 3}
for other = 1, 2 do cut(3, other) end
store_cut(3)
local got = await_reply(change(1, "op-1", revision(1)))
expect(got.state == "accepted", "accepted: " .. got.state)
run(4000)
for other = 1, 2 do heal(3, other); cut(other, 3) end
got = await_reply(change(2, "op-2", revision(2)))
expect(got.state == "accepted", "accepted: " .. got.state)
expect(not serving(3), "nothing reaches entry 3: it is fenced")
