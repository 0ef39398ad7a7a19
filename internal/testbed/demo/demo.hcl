# The demo's hosts and clients.
seeds  = 1
length = "60s"

module {
  may_probe       = true
  start_capacity  = 0.3
  cold_time       = "8s"
  overload_factor = 2.5
  overload_window = "3s"
  max_away        = "1s"
}

group "gpu" {
  hosts  = 3
  slots  = 32
  memory = 120000
  cold {
    share = 0.3
    time  = "8s"
  }
}

class "field-fill" {
  aim        = "400ms"
  aim_per_1000 = "60ms"
  deadline   = "1200ms"
  token_aim  = "60ms"
  worth      = 5
  rate       = 3
  turns      = 2
  think      = "3s"
  prefixes   = 5
  out_median = 40
}

class "desk-chat" {
  aim       = "1200ms"
  aim_per_1000 = "60ms"
  deadline  = "6s"
  token_aim = "80ms"
  worth     = 2
  rate      = 2
  turns     = 3
  think     = "5s"
  prefixes  = 5
}

class "order-steps" {
  aim       = "2s"
  aim_per_1000 = "60ms"
  deadline  = "6s"
  token_aim = "60ms"
  rate      = 1
  turns     = 4
  think     = "2s"
}

class "batch-review" {
  aim        = "4s"
  aim_per_1000 = "60ms"
  deadline   = "15s"
  token_aim  = "100ms"
  rate       = 0.5
  new_median = 2000
}
