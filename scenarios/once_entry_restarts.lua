-- Promise: at most once, when the entry that the id names is killed, paused or replaced under the same address.
start{nodes = 3}
local id = token(1) .. "-a"
claim(1, "T1", id, 600)
run(20)
expect(runs(id) == 1, "it reached its target")
restart(1)
run(4000)
local got = await(claim(1, "T1", id, 600))
expect(got.outcome == "unknown", "the next life does not know: " .. got.outcome)
got = await(claim(2, "T1", id, 600))
expect(got.outcome == "unknown", "nor does another entry: " .. got.outcome)
expect(runs(id) == 1, "ran once")
id = token(2) .. "-b"
claim(2, "T2", id, 600)
pause(2)
run(1500)
local elsewhere = claim(3, "T2", id, 600)
run(700)
resume(2)
run(1000)
got = await(elsewhere)
expect(got.outcome ~= "not_run", "the id's own entry was paused; nobody else may say not run")
expect(runs(id) <= 1, "ran at most once")
