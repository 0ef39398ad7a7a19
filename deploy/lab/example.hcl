# An experiment for reachlab: go run ./cmd/reachlab run deploy/lab/example.hcl
# Every field: docs/operators/lab.md.

seeds   = 8
length  = "30s"
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
  hosts  = 4
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
  hosts  = 4
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
  rate         = 12
  turns        = 2
  think        = "3s"
  prefixes     = 20
  out_median   = 60
}

class "desk-chat" {
  aim          = "1200ms"
  aim_per_1000 = "40ms"
  token_aim    = "80ms"
  deadline     = "6s"
  worth        = 2
  rate         = 12
  turns        = 4
  think        = "6s"
  prefixes     = 40
}

trouble "slow" {
  at     = "8s"
  length = "10s"
  part   = 0.25
  size   = 4
}

trouble "balancer_crash" {
  at     = "20s"
  length = "4s"
  part   = 0.34
}

variant "as it is" {}

variant "six routers" {
  routers = 6
}
