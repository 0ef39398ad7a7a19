# What many routers do together under overload: go run ./cmd/reachlab run deploy/lab/overload.hcl
# 80 hosts at 0.8, 1.2, 1.6 and 2.5 times what they can do; a load of 1 is that.
# Figures: docs/measurements/fleet.md.

seeds   = 2
length  = "20s"
routers = 3

module {
  may_probe       = true
  start_capacity  = 0.3
  cold_time       = "8s"
  overload_factor = 2.5
  overload_window = "3s"
  max_away        = "1s"
}

group "new-gpu" {
  hosts  = 40
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
  hosts  = 40
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
  rate         = 225
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
  rate         = 225
  turns        = 4
  think        = "6s"
  prefixes     = 400
}

# Routers tell each other news from eight on.
peers {
  least = "1ms"
  most  = "4ms"
}

variant "3 routers, load 0.8" {
  routers = 3
  load    = 0.8
}

variant "10 routers, load 0.8" {
  routers = 10
  load    = 0.8
}

variant "30 routers, load 0.8" {
  routers = 30
  load    = 0.8
}

variant "100 routers, load 0.8" {
  routers = 100
  load    = 0.8
}

variant "300 routers, load 0.8" {
  routers = 300
  load    = 0.8
}

variant "3 routers, load 1.2" {
  routers = 3
  load    = 1.2
}

variant "10 routers, load 1.2" {
  routers = 10
  load    = 1.2
}

variant "30 routers, load 1.2" {
  routers = 30
  load    = 1.2
}

variant "100 routers, load 1.2" {
  routers = 100
  load    = 1.2
}

variant "300 routers, load 1.2" {
  routers = 300
  load    = 1.2
}

variant "3 routers, load 1.6" {
  routers = 3
  load    = 1.6
}

variant "10 routers, load 1.6" {
  routers = 10
  load    = 1.6
}

variant "30 routers, load 1.6" {
  routers = 30
  load    = 1.6
}

variant "100 routers, load 1.6" {
  routers = 100
  load    = 1.6
}

variant "300 routers, load 1.6" {
  routers = 300
  load    = 1.6
}

variant "3 routers, load 2.5" {
  routers = 3
  load    = 2.5
}

variant "10 routers, load 2.5" {
  routers = 10
  load    = 2.5
}

variant "30 routers, load 2.5" {
  routers = 30
  load    = 2.5
}

variant "100 routers, load 2.5" {
  routers = 100
  load    = 2.5
}

variant "300 routers, load 2.5" {
  routers = 300
  load    = 2.5
}
