-- Promise: "not run" is true, for the resend of a request that ran. The caller lost the first answer; its entry has
-- begun to drain, or is fenced, when the resend comes.
start{nodes = 3}
local id = token(1) .. "-d"
expect(await(claim(1, "T1", id, 600)).outcome == "whole", "claimed")
drain(1)
run(100)
local got = await(claim(1, "T1", id, 600))
expect(got.outcome ~= "not_run", "it had run: " .. got.reason)
