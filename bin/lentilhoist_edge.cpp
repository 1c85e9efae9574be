#include "daemon_main.h"
#include "edge/edge.h"

int main(int ArgCount, char **Args) {
  return lentilhoist::daemonMain(ArgCount, Args,
                                 {"edge",
                                  "runs an entry instance: takes requests of "
                                  "callers and passes them on to "
                                  "runners",
                                  lentilhoist::runEdge});
}
