# All routers dead for 4 s and all hosts for 3 s, at 25 s: go run ./cmd/reachlab run deploy/lab/powerloss.hcl
# What came of it: docs/measurements/recovery.md.

seeds   = 2
length  = "60s"
routers = 10

module {
  may_probe       = true
  start_capacity  = 0.3
  cold_time       = "8s"
  overload_factor = 2.5
  overload_window = "3s"
  max_away        = "1s"
}

group "new-gpu" {
  hosts  = 30
  zone   = "east"
  slots  = 48
  memory = 160000

  cold {
    share     = 0.3
    time      = "8s"
    factor    = 2.5
    window    = "3s"
    per_token = "50us"
    per_made  = "600us"
  }
}

group "old-gpu" {
  hosts  = 30
  zone   = "west"
  slots  = 24
  memory = 100000
  step   = "20ms"

  cold {
    share     = 0.3
    time      = "8s"
    factor    = 2.5
    window    = "3s"
    per_token = "50us"
    per_made  = "600us"
  }
}

class "field-fill" {
  aim          = "400ms"
  aim_per_1000 = "40ms"
  token_aim    = "60ms"
  deadline     = "1200ms"
  worth        = 5
  rate         = 120
  turns        = 2
  think        = "3s"
  prefixes     = 150
  out_median   = 60
}

class "desk-chat" {
  aim          = "1200ms"
  aim_per_1000 = "40ms"
  token_aim    = "80ms"
  deadline     = "6s"
  worth        = 2
  rate         = 120
  turns        = 4
  think        = "6s"
  prefixes     = 300
}


fault "kill" {
  at      = "25s"
  length  = "4s"
  routers = "all"
}

fault "kill" {
  at     = "25s"
  length = "3s"
  hosts  = "all"
}

variant "nothing kept" {}

variant "gate alone" { # a fleet without disks
  gate = true
}

variant "learned" {
  learned = true
}

variant "learned, gate" {
  learned = true
  gate    = true
}
