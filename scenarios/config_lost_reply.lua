-- Fails: the store's reply is lost after the write took effect. The change is accepted once, and a resend of the
-- operation through another entry gets the same revision.
start{nodes = 3}
store_loses_replies(1)
local got = await_reply(change(1, "op-lost", revision(1)))
expect(got.state == "accepted", "accepted, not " .. got.state)
local again = await_reply(change(2, "op-lost", got.revision - 1))
expect(again.state == "accepted" and again.revision == got.revision, "the same revision")
