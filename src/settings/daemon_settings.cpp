#include "settings/daemon_settings.h"

#include "settings/table_reader.h"

#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/stat.h>

namespace lentilhoist {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t MaxShards = 999;
constexpr std::int64_t MaxThreads = 4'096;

void readEndpoint(table_reader &Reader, const char *Key, endpoint &Value) {
  std::string Text;
  Reader.requiredText(Key, Text);
  try {
    Value = parseEndpoint(Text);
  } catch (const std::invalid_argument &Error) {
    throw settings_error(fmt::format("{}: {}", Key, Error.what()));
  }
}

void readInstance(table_reader Reader, daemon_settings &Settings) {
  member_identity &Identity = Settings.Identity;
  Identity.Address = "127.0.0.1";
  Reader.requiredText("name", Identity.Id);
  Reader.requiredText("domain", Identity.Domain);
  Reader.text("region", Identity.Region);
  Reader.text("link_address", Identity.Address);
  Reader.whole("link_port", 1, MaxPort, Identity.Port);
  Reader.text("caller_address", Settings.CallerAddress);
  Reader.whole("caller_port", 1, MaxPort, Settings.CallerPort);
  Reader.text("operator_address", Settings.OperatorAddress);
  Reader.whole("operator_port", 1, MaxPort, Settings.OperatorPort);
  Reader.text("token_file", Settings.TokenFile);
  Reader.text("log_level", Settings.LogLevel);
  Reader.whole("max_connections", 4, MaxThreads, Settings.MaxConnections);
  Reader.whole("attempt_threads", 1, MaxThreads, Settings.AttemptThreads);
  Reader.time("route_wait", milliseconds(100), minutes(5), Settings.RouteWait);
  Reader.time("drain_time", seconds(1), hours(1), Settings.DrainTime);
  Reader.time("simulated_link_delay", milliseconds(0), seconds(1),
              Settings.SimulatedLinkDelay);
  Reader.finish();
  if (Identity.Port == 0)
    throw settings_error("instance.link_port: expected a port, found none");
}

void readPlatform(table_reader Reader, daemon_settings &Settings) {
  readEndpoint(Reader, "endpoint", Settings.Platform);
  http_timeouts &Timeouts = Settings.PlatformTimeouts;
  Reader.time("connect_timeout", milliseconds(10), minutes(1),
              Timeouts.Connect);
  Reader.time("read_timeout", milliseconds(10), minutes(1), Timeouts.Read);
  Reader.time("write_timeout", milliseconds(10), minutes(1), Timeouts.Write);
  Reader.whole("threads", 1, 256, Settings.PlatformThreads);
  Reader.number("writes_per_second", 1, 100'000, Settings.WritesPerSecond);
  Reader.finish();
}

void readShards(table_reader Reader, daemon_settings &Settings) {
  owner_settings &Owner = Settings.Owner;
  Reader.whole("count", 1, MaxShards, Settings.Shards);
  Reader.time("settle_time", milliseconds(0), minutes(1), Settings.SettleTime);
  Reader.time("send_window", milliseconds(100), minutes(1), Owner.SendWindow);
  Reader.time("commit_patience", milliseconds(10), minutes(1),
              Owner.CommitTimeout);
  Reader.time("retention", seconds(1), hours(24 * 30), Owner.Retention);
  Reader.time("collect_delay", seconds(10), hours(24), Owner.CollectDelay);
  Reader.number("write_burst", 2, 10'000, Owner.WriteBurst);
  Reader.whole("snapshot_interval", 2, 100'000, Owner.SnapshotInterval);
  Reader.whole("max_batch_bytes", 10'000, 1'000'000, Owner.MaxBatchBytes);
  Reader.whole("max_uncommitted_bytes", 10'000, 1LL << 32U,
               Owner.MaxUncommittedBytes);
  Reader.whole("max_text_bytes", 0, 1LL << 40U, Owner.MaxTextBytes);
  Reader.finish();
}

void readCalls(table_reader Reader, daemon_settings &Settings) {
  owner_settings &Owner = Settings.Owner;
  Reader.time("timeout", milliseconds(100), hours(1), Owner.CallTimeout);
  Reader.time("service_timeout", milliseconds(100), hours(1),
              Owner.ServiceTimeout);
  Reader.whole("default_max_tokens", 1, 1'000'000, Owner.DefaultMaxTokens);
  Reader.whole("new_prompt_tokens", 1, 1'000'000, Owner.NewPromptTokens);
  Reader.whole("max_attempts", 1, 10, Owner.MaxAttempts);
  Reader.whole("max_held", 0, 100, Owner.MaxHeldCalls);
  Reader.whole("reserved_ahead", 1, 100, Owner.CallsReservedAhead);
  Reader.time("stream_gap", milliseconds(100), minutes(5),
              Settings.Engine.StreamGap);
  Reader.finish();
}

void readDispatch(table_reader Reader, dispatch_settings &Dispatch) {
  Reader.whole("max_queue", 1, 1'000'000, Dispatch.MaxQueue);
  Reader.time("max_wait", milliseconds(10), hours(1), Dispatch.MaxQueueWait);
  Reader.number("aging_tokens_per_second", 0, 1e9,
                Dispatch.AgingTokensPerSecond);
  Reader.number("cross_domain_tokens", 0, 1e9, Dispatch.CrossDomainTokens);
  Reader.number("queue_tokens", 0, 1e9, Dispatch.QueueTokens);
  Reader.time("affinity_wait", milliseconds(0), minutes(1),
              Dispatch.AffinityWait);
  Reader.whole("failures_to_eject", 1, 1'000, Dispatch.FailuresToEject);
  Reader.time("ejection", milliseconds(100), hours(1), Dispatch.Ejection);
  Reader.number("max_ejected_share", 0, 1, Dispatch.MaxEjectedShare);
  Reader.finish();
}

void readMembership(table_reader Reader, membership_settings &Membership) {
  Reader.time("period", milliseconds(20), minutes(1), Membership.Period);
  Reader.time("ack_timeout", milliseconds(5), minutes(1),
              Membership.AckTimeout);
  Reader.whole("indirect_probes", 0, 16, Membership.IndirectProbes);
  Reader.number("suspicion_periods", 0.5, 100, Membership.SuspicionPeriods);
  Reader.finish();
}

runner_settings readRunner(table_reader Reader) {
  runner_settings Runner;
  std::string Kind;
  endpoint Target;
  Reader.requiredText("name", Runner.Name);
  Reader.requiredText("kind", Kind);
  Reader.requiredText("pool", Runner.Pool);
  Reader.requiredText("domain", Runner.Domain);
  readEndpoint(Reader, "endpoint", Target);
  Reader.whole("slots", 1, 100'000, Runner.Slots);
  Reader.flag("knows_keys", Runner.SupportsOutcomeQueries);
  Reader.flag("checks_fencing", Runner.ChecksFencing);
  Reader.finish();
  if (Kind != "engine" && Kind != "service")
    throw settings_error(fmt::format(
        "runner {}: kind: expected \"engine\" or \"service\"", Runner.Name));
  Runner.Kind = Kind == "engine" ? runner_kind::Engine : runner_kind::Service;
  Runner.Address = Target.Address;
  Runner.Port = Target.Port;
  return Runner;
}

void readRunners(table_reader &Root, daemon_settings &Settings) {
  std::set<std::string> Names;
  for (table_reader &Reader : Root.tables("runner")) {
    Settings.Runners.push_back(readRunner(Reader));
    const std::string &Name = Settings.Runners.back().Name;
    if (!Names.insert(Name).second)
      throw settings_error(fmt::format("runner {} is defined twice", Name));
  }
}

double toSeconds(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

daemon_settings parseDaemonSettings(const std::string &Text,
                                    const std::string &Name) {
  toml::table Document;
  try {
    Document = toml::parse(Text, Name);
  } catch (const toml::parse_error &Error) {
    throw settings_error(fmt::format(
        "{}:{}: {}", Name, Error.source().begin.line, Error.description()));
  }
  daemon_settings Settings;
  table_reader Root(Document, Name, "");
  readInstance(Root.table("instance"), Settings);
  readPlatform(Root.table("platform"), Settings);
  readShards(Root.table("shards"), Settings);
  readCalls(Root.table("calls"), Settings);
  readDispatch(Root.table("dispatch"), Settings.Dispatch);
  readMembership(Root.table("membership"), Settings.Membership);
  readRunners(Root, Settings);
  Root.finish();
  Settings.Owner.WritesPerSecond = Settings.WritesPerSecond / Settings.Shards;
  return Settings;
}

daemon_settings readDaemonSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw settings_error(fmt::format("{}: can't be read", Path));
  std::stringstream Text;
  Text << File.rdbuf();
  return parseDaemonSettings(Text.str(), Path);
}

std::string describeDaemonSettings(const daemon_settings &Settings) {
  const member_identity &Self = Settings.Identity;
  std::string Text = fmt::format(
      "[instance]\nname = \"{}\"\ndomain = \"{}\"\nregion = \"{}\"\n"
      "link = \"{}:{}\"\ncaller = \"{}:{}\"\noperator = \"{}:{}\"\n"
      "max_connections = {}\nattempt_threads = {}\n",
      Self.Id, Self.Domain, Self.Region, Self.Address, Self.Port,
      Settings.CallerAddress, Settings.CallerPort, Settings.OperatorAddress,
      Settings.OperatorPort, Settings.MaxConnections, Settings.AttemptThreads);
  Text += fmt::format("\n[platform]\nendpoint = \"{}:{}\"\n"
                      "writes_per_second = {}\n",
                      Settings.Platform.Address, Settings.Platform.Port,
                      Settings.WritesPerSecond);
  const owner_settings &Owner = Settings.Owner;
  Text += fmt::format(
      "\n[shards]\ncount = {}\nsend_window_s = {}\ncommit_patience_s = {}\n"
      "snapshot_interval = {}\nwrites_per_second = {}\n",
      Settings.Shards, toSeconds(Owner.SendWindow),
      toSeconds(Owner.CommitTimeout), Owner.SnapshotInterval,
      Owner.WritesPerSecond);
  for (const runner_settings &Runner : Settings.Runners)
    Text += fmt::format("\n[[runner]]\nname = \"{}\"\npool = \"{}\"\n"
                        "endpoint = \"{}:{}\"\nslots = {}\n",
                        Runner.Name, Runner.Pool, Runner.Address, Runner.Port,
                        Runner.Slots);
  return Text;
}

std::string readToken(const std::string &Path) {
  if (Path.empty())
    return {};
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) != 0)
    throw settings_error(fmt::format("{}: can't be read", Path));
  constexpr unsigned OtherBits = S_IRWXG | S_IRWXO;
  if ((Status.st_mode & OtherBits) != 0)
    throw settings_error(fmt::format("{}: expected mode 600, found {:o}", Path,
                                     Status.st_mode & 0777U));
  std::ifstream File(Path);
  std::string Token;
  std::getline(File, Token);
  if (Token.empty())
    throw settings_error(fmt::format("{}: expected a token, found none", Path));
  return Token;
}

} // namespace lentilhoist
