-- Fails: a reply is lost, long ago. The entry dies after the write; so many other changes follow that the store's value
-- no longer remembers the operation. The resend must not be told "conflict", which means that it was not applied.
start{nodes = 3}
store_loses_replies(1)
local seen = revision(1)
change(1, "op-old", seen)
run(200)
restart(1)
run(4000)
for i = 1, 66 do
  local got = await_reply(change(2, "op-" .. i, revision(2)))
  expect(got.state == "accepted", "op-" .. i .. " is accepted, not " .. got.state)
end
local got = await_reply(change(3, "op-old", seen))
expect(got.state == "unknown", "nobody can tell any more: " .. got.state)
