# Routers with snapshots before hosts that start cold, and a power loss of everything, beside which others are drawn:
#   reachlab rig deploy/lab/recovery.hcl --seed N --plays M --faults 3 --beside --kinds kill,power,cut,old_list,renumber,rename,withhold,full_disk,drain
seeds  = 1
length = "20s"
routers = 4

module {
  start_capacity  = 0.3
  cold_time       = "4s"
  overload_factor = 2.5
  overload_window = "2s"
  max_away        = "1s"
}

group "a" {
  hosts = 2
  zone  = "east"
  cold {
    share     = 0.3
    time      = "4s"
    factor    = 2.5
    window    = "2s"
    per_token = "50us"
    per_made  = "600us"
  }
}
group "b" {
  hosts = 2
  zone  = "west"
  cold {
    share     = 0.3
    time      = "4s"
    factor    = 2.5
    window    = "2s"
    per_token = "50us"
    per_made  = "600us"
  }
}

class "fill" {
  aim        = "800ms"
  deadline   = "2s"
  rate       = 20
  turns      = 2
  think      = "500ms"
  out_median = 10
  worth      = 5
}
class "chat" {
  aim        = "1s"
  deadline   = "4s"
  rate       = 30
  turns      = 3
  think      = "500ms"
  out_median = 10
}

rig {
  settle   = "6s"
  view     = true
  recovery = true
}

fault "power" {
  at     = "3s"
  length = "1s"
}
