#include "standin/run_until_signal.h"
#include "standin/weights_standin.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to serve on");
DEFINE_int32(port, 7050, "port to serve on");
DEFINE_double(loads_per_second, 2, "loads that the store allows");
DEFINE_int32(load_ms, 200, "time that one load takes, milliseconds");
DEFINE_uint64(seed, 1, "seed of the random choices of faults");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Stand-in of the weight store.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  lentilhoist::blockEndSignals();
  lentilhoist::weights_standin_settings Settings;
  Settings.Server.Address = FLAGS_address;
  Settings.Server.Port = FLAGS_port;
  Settings.LoadsPerSecond = FLAGS_loads_per_second;
  Settings.LoadMilliseconds = FLAGS_load_ms;
  Settings.Seed = FLAGS_seed;
  lentilhoist::weights_standin Weights(Settings);
  return lentilhoist::runUntilSignal(Weights);
}
