# Reads the benchmarks' JSON and writes CSV: the cost for one VM at the design
# size, extrapolated from the measured slopes, and its budget. Columns:
#   part, quantity, value, unit, budget (the maximum, or empty)
BEGIN {
    FS = "\": "
    OFS = ","
    vms = 2300; regions = 24; domains = 79; blocks = 270000
    lookups = 17000000          # per second, over all VMs
    changes = 28000 / 86400     # per second
    restarts = 2 * 563 / 86400  # VM changes per second: each VM leaves and joins
    fanOut = 4                  # children of a VM in the tree
    neighbours = 8              # VMs with which a VM exchanges heartbeats
    watchersEach = 2            # VMs in each failure domain that watch the platform
    frame = 20 + 32 + 8 + 16    # bytes: IP, TCP with timestamps, WebSocket, the session's MAC tag
}
/"name":/ && !/run_/ { gsub(/[", ]/, "", $2); name = $2 }
/"cpu_time":/ { cpu[name] = $2 + 0 }
/"time_unit":/ {
    gsub(/[", ]/, "", $2)
    scale = $2 == "ns" ? 1e-9 : $2 == "us" ? 1e-6 : $2 == "ms" ? 1e-3 : 1
    cpu[name] *= scale
}
/"(items_per_second|message_bytes|heap_bytes|bundle_bytes|snapshot_bytes|object_bytes|toml_bytes|moved_beyond_own_share|largest_uneven_share)":/ {
    key = $1
    gsub(/[" ]/, "", key)
    counter[name "/" key] = $2 + 0
}
function row(part, quantity, value, unit, budget) {
    printf "%s,%s,%.6g,%s,%s\n", part, quantity, value, unit, budget
}
END {
    print "part,quantity,value,unit,budget"
    design = "memory/270000/204/1000/2300/iterations:1"
    row("slope", "look-ups per core at the design size", counter["lookUpAtDesignSize/min_time:5.000/items_per_second"], "1/s", 1000000)
    row("slope", "look-ups per core today", counter["lookUpToday/min_time:3.000/items_per_second"], "1/s", "")
    row("slope", "heap per block", (counter[design "/heap_bytes"] - counter["memory/135000/204/1000/2300/iterations:1/heap_bytes"]) / 135000, "bytes", "")
    row("slope", "heap per site", (counter[design "/heap_bytes"] - counter["memory/270000/102/1000/2300/iterations:1/heap_bytes"]) / (102 * regions), "bytes", "")
    row("slope", "heap per team", (counter[design "/heap_bytes"] - counter["memory/270000/204/500/2300/iterations:1/heap_bytes"]) / 500, "bytes", "")
    row("slope", "heap per VM", (counter[design "/heap_bytes"] - counter["memory/270000/204/1000/1150/iterations:1/heap_bytes"]) / 1150, "bytes", "")
    row("slope", "change of one VM", 1000 * cpu["applyVmChange/2300"], "ms", "")
    row("slope", "change of the blocks", 1000 * cpu["applyBundleChange/270000"], "ms", "")
    row("slope", "parse of one block", 1e6 * cpu["parseClientBlocks/10000"] / 10000, "us", "")
    row("slope", "TOML of one block", counter["parseClientBlocks/10000/toml_bytes"] / 10000, "bytes", "")
    row("slope", "roll-out object of one service in 24 regions", counter["rolloutCodec/204/object_bytes"] / 204, "bytes", "")
    row("slope", "heartbeat without accounts", counter["heartbeat/0/message_bytes"], "bytes", "")
    perAccount = (counter["heartbeat/10/message_bytes"] - counter["heartbeat/0/message_bytes"]) / 10
    row("slope", "heartbeat per account", perAccount, "bytes", "")
    row("slope", "codec of a heartbeat with 10 accounts", 1e6 * cpu["heartbeat/10"], "us", "")
    row("slope", "callers moved beyond the gone VM's own", 100 * counter["callersMoved/iterations:1/moved_beyond_own_share"], "percent", 1)

    # Processor time of the control plane, in percent of a core.
    row("processor", "changes of blocks", 100 * changes * cpu["applyBundleChange/270000"], "percent", 2.9)
    row("processor", "changes of VMs", 100 * restarts * cpu["applyVmChange/2300"], "percent", 2.9)
    row("processor", "deltas through the tree", 100 * changes * (1 + fanOut) * cpu["viewDelta/1000"], "percent", 2.9)
    row("processor", "heartbeats of 8 neighbours each second", 100 * neighbours * cpu["heartbeat/10"], "percent", 2.9)
    row("processor", "steering timer each second", 100 * cpu["steeringTimer/204"], "percent", 2.9)
    row("processor", "whole bundle parsed at each change (not allowed)", 100 * changes * blocks * cpu["parseClientBlocks/10000"] / 10000, "percent", 2.9)
    row("processor", "look-ups: data path and not control", 100 * lookups / vms * cpu["lookUpAtDesignSize/min_time:5.000"], "percent", "")

    # Bytes per second sent by one VM.
    beacon = counter["heartbeat/0/message_bytes"] + frame
    row("network", "heartbeats: 8 neighbours each second with 2 accounts", neighbours * (beacon + 2 * perAccount), "bytes/s", 4000)
    row("network", "deltas to 4 children", fanOut * changes * (counter["viewDelta/1000/message_bytes"] + frame), "bytes/s", 4000)
    row("network", "freshness to 4 children each second", fanOut * beacon, "bytes/s", 4000)
    row("network", "today: full mesh of 12 each half second", 11 * 2 * beacon, "bytes/s", 4000)
    row("network", "today: full mesh of 2300 each half second", (vms - 1) * 2 * beacon, "bytes/s", 4000)
    row("network", "today: VMs in a full mesh within the budget", 1 + int(4000 / (2 * beacon)), "VMs", "")

    # Memory.
    row("memory", "bundle and snapshot", counter[design "/heap_bytes"] / 1e6, "MB", 64)
    row("memory", "of it the bundle", counter[design "/bundle_bytes"] / 1e6, "MB", 64)
    row("memory", "of it the snapshot", counter[design "/snapshot_bytes"] / 1e6, "MB", 64)
    row("memory", "a second bundle while it changes", counter[design "/bundle_bytes"] / 1e6, "MB", 64)
    row("memory", "TOML text of the blocks if kept", blocks * counter["parseClientBlocks/10000/toml_bytes"] / 10000 / 1e6, "MB", 64)

    # Calls of all VMs to the object API: a watch is renewed every second and after
    # each change.
    row("platform", "reads: 2 watchers in each failure domain", watchersEach * domains * (1 + changes), "1/s", 2000)
    row("platform", "reads: every VM watches (today's way)", vms * (1 + changes), "1/s", 2000)
    row("platform", "writes: changes with their audit and VMs that come and go", 2 * changes + 3 * restarts, "1/s", 300)
    row("platform", "largest bundle object in blocks", 1048576 / (counter["parseClientBlocks/10000/toml_bytes"] / 10000), "blocks", "")
}
