seeds = [3, 5, 8]
length = "3s"
routers = 2
module {
  start_capacity = 0.3
  cold_time = "8s"
}
group "new" {
  hosts = 3
  zone = "east"
  cold {
    share = 0.3
    time = "8s"
  }
}
class "chat" {
  aim = "1s"
  deadline = "5s"
  rate = 20
}
trouble "slow" {
  at = "1s"
  length = "1s"
  part = 0.5
  size = 3
}
variant "base" {}
variant "single" {
  max_attempts = 1
  routers = 1
  load = 1.5
}
