
fault "loss" {
  at = "0s"
  length = "300ms"
  routers = "all"
  links = ["peers", "hosts", "list"]
  direction = "both"
  share = 0.25
}

fault "delay" {
  at = "250ms"
  length = "300ms"
  routers = [0, 2]
  peers = [1]
  delay = "5ms"
  jitter = "1.5ms"
}

fault "duplicate" {
  at = "500ms"
  length = "300ms"
  routers = "east"
  direction = "out"
  share = 0.5
  delay = "1ms"
}

fault "reorder" {
  at = "750ms"
  length = "300ms"
  routers = 0.4
  direction = "in"
  share = 0.125
  delay = "1ms"
}

fault "clip" {
  at = "1s"
  length = "300ms"
  routers = [1]
  share = 0.1
}

fault "flip" {
  at = "1.25s"
  length = "300ms"
  routers = [1]
  share = 0.1
}

fault "cut" {
  at = "1.5s"
  length = "300ms"
  routers = [1]
  hosts = "west"
  links = ["hosts"]
}

fault "partition" {
  at = "1.75s"
  length = "300ms"
  groups = [[0, 1], [2, 3]]
  bridge = [4]
}

fault "partition" {
  at = "2s"
  length = "300ms"
  groups = "zones"
}

fault "power" {
  at = "2.25s"
  length = "300ms"
  zone = "east"
  disk = "cut"
  file = "*.snap"
  keep = 0.5
}

fault "pause" {
  at = "2.5s"
  length = "300ms"
  routers = [1]
}

fault "crawl" {
  at = "2.75s"
  length = "300ms"
  routers = [1]
  share = 0.3
}

fault "restart" {
  at = "3s"
  length = "300ms"
  routers = [1]
}

fault "replace" {
  at = "3.25s"
  length = "300ms"
  routers = [1]
}

fault "twin" {
  at = "3.5s"
  length = "300ms"
  routers = [1]
}

fault "full_disk" {
  at = "3.75s"
  length = "300ms"
  routers = [1]
}

fault "no_write" {
  at = "4s"
  length = "300ms"
  routers = [1]
}

fault "reload" {
  at = "4.25s"
  length = "300ms"
  routers = [1]
}

fault "withhold" {
  at = "4.5s"
  length = "300ms"
  routers = [1]
}

fault "stall" {
  at = "4.75s"
  length = "300ms"
  hosts = [1]
}

fault "reset" {
  at = "5s"
  length = "300ms"
  hosts = [1]
}

fault "garbage" {
  at = "5.25s"
  length = "300ms"
  hosts = [1]
}

fault "drain" {
  at = "5.5s"
  length = "300ms"
  hosts = [1]
}

fault "refuse" {
  at = "5.75s"
  length = "300ms"
  hosts = [1]
}

fault "slow" {
  at = "6s"
  length = "300ms"
  hosts = [1]
  size = 2.5
}

fault "rename" {
  at = "6.25s"
  length = "300ms"
  hosts = [1]
}

fault "old_list" {
  at = "6.5s"
  length = "300ms"
}

fault "renumber" {
  at = "6.75s"
  length = "300ms"
}

fault "kill" {
  at = "7s"
  length = "300ms"
  routers = [1]
  disk = "own"
}

fault "kill" {
  at = "7.25s"
  length = "300ms"
  routers = [1]
  disk = "empty"
}

fault "kill" {
  at = "7.5s"
  length = "300ms"
  routers = [1]
  disk = "other"
}

fault "kill" {
  at = "7.75s"
  length = "300ms"
  routers = [1]
  disk = "cut"
}

fault "kill" {
  at = "8s"
  length = "300ms"
  routers = [1]
  disk = "older"
}

fault "kill" {
  at = "8.25s"
  length = "300ms"
  routers = [1]
  disk = "newer"
}

fault "kill" {
  at = "8.5s"
  length = "300ms"
  routers = [1]
  disk = "flip"
}

fault "kill" {
  at = "8.75s"
  length = "300ms"
  routers = [1]
  disk = "ahead"
}

fault "kill" {
  length = "300ms"
  hosts = [0]
  when {
    what = "phase"
    who = "r1"
    text = "serving"
    nth = 2
    after = "9s"
  }
}
