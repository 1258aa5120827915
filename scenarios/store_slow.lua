-- Fails: the store is slow for long. Queries are not slowed, and no change is applied twice.
start{nodes = 3}
store_slow(1600)
for i = 1, 40 do
  local got = await(search(1 + i % 3, "q" .. i, 500))
  expect(got.outcome == "whole" and got.took < 200, "a slow store delays no query: " .. got.took)
  run(100)
end
change(1, "op-1", revision(1))
change(2, "op-2", revision(1))
run(15000)
store_slow(0)
run(10000)
local got = await_reply(change(3, "op-1", 0))
expect(got ~= nil, "the operation id tells what became of it")
