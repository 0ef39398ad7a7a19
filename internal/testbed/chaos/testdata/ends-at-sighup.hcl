# What is left of four faults at three routers: a planted program that ends at SIGHUP.
seeds   = 1
length  = "1s"
routers = 1

group "a" {
  hosts = 2
}

class "chat" {
  aim      = "1s"
  deadline = "4s"
  rate     = 30
}

fault "reload" {
  at = "300ms"
  length = "100ms"
  routers = [0]
}
