#include "standin/run_until_signal.h"
#include "standin/service_standin.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to serve on");
DEFINE_int32(port, 7200, "port to serve on");
DEFINE_string(name, "service", "name of the runner");
DEFINE_int32(work_ms, 5, "time that each request takes, milliseconds");
DEFINE_int32(slots, 16, "requests that run well at once");
DEFINE_bool(knows_keys, true, "whether outcomes can be asked for by key");
DEFINE_uint64(seed, 1, "seed of the random choices of faults");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Stand-in of a booking or charging service.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  lentilhoist::blockEndSignals();
  lentilhoist::service_standin_settings Settings;
  Settings.Server.Address = FLAGS_address;
  Settings.Server.Port = FLAGS_port;
  Settings.Name = FLAGS_name;
  Settings.WorkMilliseconds = FLAGS_work_ms;
  Settings.Slots = FLAGS_slots;
  Settings.KnowsKeys = FLAGS_knows_keys;
  Settings.Seed = FLAGS_seed;
  lentilhoist::service_standin Service(Settings);
  return lentilhoist::runUntilSignal(Service);
}
