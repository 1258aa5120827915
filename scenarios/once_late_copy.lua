-- Promise: "not run" is true. The entry that the id names is paused; a copy that waits there and one sent on by another
-- entry arrive together when it wakes. The first is past its deadline and refused; the second must not run then.
start{nodes = 3}
local id = token(2) .. "-late"
pause(2)
local first = claim(2, "T1", id, 100)
run(1000)
local second = claim(1, "T1", id, 3000)
run(200)
resume(2)
run(1000)
expect(answer(first).outcome == "not_run", "past its deadline: " .. answer(first).outcome)
expect(answer(second).outcome == "not_run", "so is the other copy: " .. answer(second).outcome)
expect(runs(id) == 0, "nothing ran")
