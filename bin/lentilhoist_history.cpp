#include "daemon_main.h"
#include "replica/replica_daemon.h"

int main(int ArgCount, char **Args) {
  return lentilhoist::daemonMain(
      ArgCount, Args,
      {"history",
       "runs a replica of the history: keeps turns and budgets on a disk",
       lentilhoist::runReplica});
}
