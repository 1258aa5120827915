-- Promise: "not run" is true, for the resend of a request that ran, at an entry that is fenced by now.
start{nodes = 3}
local id = token(2) .. "-e"
expect(await(claim(2, "T2", id, 600)).outcome == "whole", "claimed")
store_cut(2)
for other = 1, 3 do cut(2, other); cut(other, 2) end
run(5000)
local got = await(claim(2, "T2", id, 600))
expect(got.outcome ~= "not_run", "it had run: " .. got.reason)
