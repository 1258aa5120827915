-- Fails: two operators change one configuration at once. One wins, the other is told of the conflict.
start{nodes = 3}
local seen = revision(1)
local a = change(1, "op-a", seen)
local b = change(2, "op-b", seen)
local first, second = await_reply(a), await_reply(b)
local states = first.state .. " " .. second.state
expect(states == "accepted conflict" or states == "conflict accepted", "one winner, one conflict: " .. states)
