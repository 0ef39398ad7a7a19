# 1,000 routers by 999 hosts, as views.hcl: go run ./cmd/reachlab run deploy/lab/views-large.hcl (minutes, and some 4 GB)
# Figures: docs/measurements/fleet.md.
seeds   = 2
length  = "9s"
routers = 1000

module {
  may_probe       = true
  start_capacity  = 0.3
  cold_time       = "8s"
  overload_factor = 2.5
  overload_window = "3s"
  max_away        = "1s"
}

group "new-gpu" {
  hosts  = 333
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
  hosts  = 333
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

group "old-gpu" {
  hosts  = 333
  zone   = "north"
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
  rate         = 2250
  turns        = 2
  think        = "3s"
  prefixes     = 200
  out_median   = 60
}

class "desk-chat" {
  aim          = "1200ms"
  aim_per_1000 = "40ms"
  token_aim    = "80ms"
  deadline     = "6s"
  worth        = 2
  rate         = 2250
  turns        = 4
  think        = "6s"
  prefixes     = 400
}

# Routers tell each other news.
peers {
  least = "1ms"
  most  = "4ms"
}

# A zone dies and comes back cold, while seven in ten routers are away.
fault "kill" {
  at     = "3s"
  length = "2s"
  hosts  = "north"
}

fault "kill" {
  at      = "3500ms"
  length  = "2500ms"
  routers = 0.7
}

variant "no view" {}

variant "right" {
  view {}
}

variant "late" {
  view {
    late = "3s"
  }
}

variant "wrong" {
  view {
    wrong = 0.5
  }
}

variant "split" {
  view {
    split = true
  }
}
