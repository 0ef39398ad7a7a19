# Replacements of every router under clients of bad manners, on processes: go run ./cmd/reachlab rig deploy/lab/upgrade.hcl
# Every field: docs/operators/rig.md.

seeds   = 1
length  = "12s"
routers = 4

module {
  may_probe = true
  max_away  = "1s"
}

group "east" {
  hosts = 3
  zone  = "east"
  slots = 96
}

group "west" {
  hosts = 3
  zone  = "west"
  slots = 96
}

class "field-fill" {
  aim        = "600ms"
  deadline   = "2s"
  worth      = 5
  rate       = 30
  turns      = 3
  think      = "500ms"
  out_median = 60
}

class "desk-chat" {
  aim        = "1200ms"
  deadline   = "4s"
  rate       = 20
  turns      = 4
  think      = "1s"
  out_median = 150
}

rig {
  held      = true
  memory_mb = 96
  sockets   = 512
  cores     = 0.5
  pieces    = 0.25
  silent    = 0.08
  leave     = 0.15
  scrape    = "300ms"
  settle    = "3s"
}

fault "replace" {
  at      = "2s"
  length  = "500ms"
  routers = [0, 1]
}

fault "replace" {
  at      = "4s"
  length  = "500ms"
  routers = [2, 3]
}

fault "replace" {
  at      = "6500ms"
  length  = "500ms"
  routers = "all"
}

fault "crawl" {
  at      = "3500ms"
  length  = "4s"
  share   = 0.4
  routers = [1, 2]
}
