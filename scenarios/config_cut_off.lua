-- Promise: an accepted configuration is in force everywhere. An entry that is cut off from all others and from the store
-- must stop serving before a change is accepted without it.
start{nodes = 3}
store_cut(3)
for other = 1, 2 do cut(3, other); cut(other, 3) end
local got = await_reply(change(1, "op-1", revision(1)))
expect(got.state == "accepted", "a majority accepts: " .. got.state)
expect(not serving(3), "the cut off entry is fenced")
store_cut(3, false)
for other = 1, 2 do heal(3, other); heal(other, 3) end
run(5000)
expect(serving(3) and revision(3) >= got.revision, "it returns with the new revision")
