#include "daemon_main.h"
#include "edge/edge.h"

int main(int ArgCount, char **Args) {
  return lentilhoist::daemonMain(ArgCount, Args,
                                 {"edge",
                                  "runs an entry instance: accepts requests "
                                  "from callers and forwards them to "
                                  "runners",
                                  lentilhoist::runEdge});
}
