#include "standin/platform_standin.h"
#include "standin/run_until_signal.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to serve on");
DEFINE_int32(port, 7000, "port to serve on");
DEFINE_int32(instance_lag_ms, 1000, "lag of the instance list, milliseconds");
DEFINE_double(writes_per_second, 0, "limit of writes; 0 for none");
DEFINE_double(reads_per_second, 0, "limit of reads; 0 for none");
DEFINE_uint64(seed, 1, "seed of the random choices of faults");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Stand-in of the platform's object API.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  lentilhoist::blockEndSignals();
  lentilhoist::platform_standin_settings Settings;
  Settings.Server.Address = FLAGS_address;
  Settings.Server.Port = FLAGS_port;
  Settings.Server.MaxConnections = 1'024;
  Settings.Server.MaxBodyBytes = 4U << 20U;
  Settings.InstanceLagMilliseconds = FLAGS_instance_lag_ms;
  Settings.WritesPerSecond = FLAGS_writes_per_second;
  Settings.ReadsPerSecond = FLAGS_reads_per_second;
  Settings.Seed = FLAGS_seed;
  lentilhoist::platform_standin Platform(Settings);
  return lentilhoist::runUntilSignal(Platform);
}
