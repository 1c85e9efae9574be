#include "standin/engine_standin.h"
#include "standin/run_until_signal.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to serve on");
DEFINE_int32(port, 7100, "port to serve on");
DEFINE_string(name, "engine", "name of the runner");
DEFINE_string(model, "model", "model that is loaded at the start");
DEFINE_int32(slots, 16, "streams that run at once");
DEFINE_double(prefill_us, 200, "microseconds per uncached prompt token");
DEFINE_double(decode_us, 25000, "microseconds per generated token");
DEFINE_uint64(cache_tokens, 200000, "tokens that the prefix cache holds");
DEFINE_int32(load_lag_ms, 200, "age of the load report, milliseconds");
DEFINE_bool(checks_fencing, true, "whether old fencing numbers are refused");
DEFINE_int32(event_lag_ms, 500, "age of cache events, milliseconds");
DEFINE_double(event_gap, 0.05, "share of cache events never published");
DEFINE_uint64(seed, 1, "seed of the random choices of faults");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Stand-in of a model engine.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  lentilhoist::blockEndSignals();
  lentilhoist::engine_standin_settings Settings;
  Settings.Server.Address = FLAGS_address;
  Settings.Server.Port = FLAGS_port;
  Settings.Server.MaxConnections = 512;
  Settings.Name = FLAGS_name;
  Settings.Model = FLAGS_model;
  Settings.Slots = FLAGS_slots;
  Settings.PrefillMicroseconds = FLAGS_prefill_us;
  Settings.DecodeMicroseconds = FLAGS_decode_us;
  Settings.CacheTokens = FLAGS_cache_tokens;
  Settings.LoadLagMilliseconds = FLAGS_load_lag_ms;
  Settings.ChecksFencing = FLAGS_checks_fencing;
  Settings.EventLagMilliseconds = FLAGS_event_lag_ms;
  Settings.EventGap = FLAGS_event_gap;
  Settings.Seed = FLAGS_seed;
  lentilhoist::engine_standin Engine(Settings);
  return lentilhoist::runUntilSignal(Engine);
}
