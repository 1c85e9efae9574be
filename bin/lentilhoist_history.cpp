#include "daemon_main.h"
#include "replica/replica_daemon.h"

int main(int ArgCount, char **Args) {
  return lentilhoist::daemonMain(
      ArgCount, Args,
      {"history", "runs a history replica: stores turns and budgets on disk",
       lentilhoist::runReplica});
}
