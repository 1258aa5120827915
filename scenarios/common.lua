-- Two services: "desk" for single requests, and four shards for fan-outs; three targets each.
domains = {"fd-a", "fd-b", "fd-c"}

function entry(service, port, domain, state)
  return string.format('{"service":"%s","address":"10.0.0.1:%d","zone":"%s","slots":3,"state":"%s"}',
    service, port, domain, state or "ready")
end

ports = {}
function add(service, replica, state)
  local id = service .. "/" .. replica
  ports[id] = ports[id] or 1000 + #service * 50 + replica + (string.byte(service, -1) or 0) * 10
  target(id, entry(service, ports[id], domains[replica], state))
  return id
end

function add_service(service)
  for replica = 1, 3 do add(service, replica) end
end

function routes(version, shards)
  local names = {}
  for _, shard in ipairs(shards) do names[#names + 1] = '"' .. shard .. '"' end
  return string.format([[{"version":%d,"services":[{"name":"desk","maxConnections":60}],"routes":[
    {"name":"read","host":"desk","prefix":"/read/","routeType":"idempotent","timeoutMs":1000,
     "targetLatencyMs":200,"maxAttempts":2,"service":"desk"},
    {"name":"claim","host":"desk","prefix":"/claim/","routeType":"non_idempotent","timeoutMs":1000,
     "targetLatencyMs":200,"maxAttempts":2,"service":"desk"},
    {"name":"fan","host":"desk","prefix":"/fan/","routeType":"idempotent","timeoutMs":1000,
     "targetLatencyMs":200,"maxAttempts":2,"fanout":[%s],"topK":5,"minPartShare":0.75}]}]],
    version, table.concat(names, ","))
end

shards = {"shard-1", "shard-2", "shard-3", "shard-4"}

function start()
  add_service("desk")
  for _, shard in ipairs(shards) do add_service(shard) end
  config(routes(1, shards))
end

-- Runs calls so that latencies are known.
function warm_up(path, count)
  for _ = 1, count or 60 do
    submit(path)
    advance(20)
  end
end
