#include "decision/shard_state.h"

#include "core/unpack.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

/// Visitor that applies a record; one overload per kind.
struct record_applier {
  entry_number Entry; ///< Entry that contains the record.
  shard_state &State; ///< State to change.

  program_state &find(const program_id &Program) {
    const auto Found = State.Programs.find(Program);
    if (Found == State.Programs.end())
      throw corrupt_entry(
          fmt::format("entry {} refers to the unknown program {}", Entry,
                      formatProgramId(Program)));
    return Found->second;
  }

  void operator()(const program_created &Record) {
    program_state Program;
    Program.Program = Record.Program;
    Program.Tenant = Record.Tenant;
    Program.Class = Record.Class;
    Program.HasParent = Record.HasParent;
    Program.Parent = Record.Parent;
    Program.Budget = Record.Budget;
    Program.CreatedUnixMs = Record.CreatedUnixMs;
    Program.ReservedTokens = Record.ReservedTokens;
    if (Record.HasParent) {
      program_state &Parent = find(Record.Parent);
      Parent.CarvedTokens += Record.Budget.Tokens;
      requireWithinBudget(Parent);
    }
    if (!State.Programs.emplace(Record.Program, std::move(Program)).second)
      throw corrupt_entry(fmt::format("program {} is created a second time",
                                      formatProgramId(Record.Program)));
  }

  void operator()(const call_intended &Record) {
    program_state &Program = find(Record.Program);
    requireNextCall(Program, Record.Call);
    recorded_call Call;
    Call.Call = Record.Call;
    Call.BodyHash = Record.BodyHash;
    Call.Kind = call_kind::ExclusiveService;
    Call.Progress = call_progress::Intended;
    Call.Run = run_state::OutcomeUnknown;
    Call.Service = Record.Service;
    Call.RequestKey = Record.RequestKey;
    Call.Request = Record.Request;
    Call.Entry = Entry;
    Program.Calls.push_back(std::move(Call));
    ++State.LiveTurns[Entry];
  }

  void operator()(const tokens_reserved &Record) {
    program_state &Program = find(Record.Program);
    Program.LostTokens += Record.LostTokens;
    Program.ReservedTokens = Record.Tokens;
    requireWithinBudget(Program);
    State.InFlight.erase(Record.Program);
  }

  void operator()(const call_completed &Record) {
    program_state &Program = find(Record.Program);
    if (hasOpenIntent(Program) && Program.Calls.back().Call == Record.Call) {
      releaseTurn(Program.Calls.back());
    } else {
      requireNextCall(Program, Record.Call);
      Program.Calls.emplace_back();
    }
    recorded_call &Call = Program.Calls.back();
    Call.Call = Record.Call;
    Call.BodyHash = Record.BodyHash;
    Call.Kind = Record.Kind;
    Call.Progress = call_progress::Completed;
    Call.Run = Record.Run;
    Call.Status = Record.Status;
    Call.PromptTokens = Record.PromptTokens;
    Call.GeneratedTokens = Record.GeneratedTokens;
    Call.Entry = Entry;
    Call.Loaded = true;
    Call.Request = Record.Request;
    Call.Response = Record.Response;
    ++State.LiveTurns[Entry];
    State.InFlight.erase(Record.Program);
    Program.SpentTokens += Record.PromptTokens + Record.GeneratedTokens;
    Program.ReservedTokens = Record.ReservedTokens;
    requireWithinBudget(Program);
    if (Record.Kind == call_kind::Model && !Record.Runner.empty()) {
      Program.CacheRunners.insert(Record.Runner);
      Program.LastRunner = Record.Runner;
    }
  }

  void operator()(const call_withdrawn &Record) {
    program_state &Program = find(Record.Program);
    if (!hasOpenIntent(Program) || Program.Calls.back().Call != Record.Call)
      throw corrupt_entry("withdrawal of a call that has no open intent");
    releaseTurn(Program.Calls.back());
    Program.Calls.pop_back();
    State.InFlight.erase(Record.Program);
  }

  void operator()(const outcome_resolved &Record) {
    program_state &Program = find(Record.Program);
    if (Record.Call == 0 || Record.Call > Program.Calls.size())
      throw corrupt_entry("resolved outcome of an unknown call");
    recorded_call &Call = Program.Calls[Record.Call - 1];
    releaseTurn(Call);
    Call.Progress = call_progress::Completed;
    Call.Run = Record.Run;
    Call.Status = Record.Status;
    Call.Entry = Entry;
    Call.Loaded = true;
    Call.Request = Record.Request;
    Call.Response = Record.Response;
    ++State.LiveTurns[Entry];
  }

  void operator()(const program_ended &Record) {
    program_state &Program = find(Record.Program);
    if (Program.Ended)
      throw corrupt_entry("a program is ended a second time");
    Program.Ended = true;
    Program.Reason = Record.Reason;
    Program.EndedUnixMs = Record.EndedUnixMs;
    returnTokensToParent(Program);
  }

  void operator()(const cache_released &Record) {
    find(Record.Program).CacheRunners.erase(Record.Runner);
  }

  void operator()(const program_forgotten &Record) {
    for (const recorded_call &Call : find(Record.Program).Calls)
      releaseTurn(Call);
    State.Programs.erase(Record.Program);
  }

  void operator()(const shard_taken &Record) {
    State.Owner = Record.Instance;
    State.HandedTo.clear();
    if (Record.Clean)
      return;
    State.InFlight.clear();
    markInFlightLost();
  }

  void operator()(const shard_handed_over &Record) {
    State.HandedTo = Record.To;
    State.InFlight.insert(Record.InFlight.begin(), Record.InFlight.end());
  }

private:
  void requireNextCall(const program_state &Program, std::uint32_t Call) const {
    if (Call != nextCall(Program))
      throw corrupt_entry(fmt::format("program {}: call {} is out of sequence",
                                      formatProgramId(Program.Program), Call));
  }

  void requireWithinBudget(const program_state &Program) const {
    if (usedTokens(Program) > Program.Budget.Tokens)
      throw corrupt_entry(
          fmt::format("entry {} exceeds the token budget of program {}", Entry,
                      formatProgramId(Program.Program)));
  }

  void releaseTurn(const recorded_call &Call) {
    const auto Found = State.LiveTurns.find(Call.Entry);
    if (Found != State.LiveTurns.end() && --Found->second == 0)
      State.LiveTurns.erase(Found);
  }

  void returnTokensToParent(const program_state &Program) {
    if (!Program.HasParent)
      return;
    const auto Parent = State.Programs.find(Program.Parent);
    if (Parent == State.Programs.end())
      return;
    Parent->second.CarvedTokens -= freeTokens(Program);
  }

  /// After a takeover without a handover: the former owner may have sent any
  /// attempt that was reserved and any exclusive call that was intended. The
  /// reserved tokens count as lost, and the calls keep an unknown outcome.
  void markInFlightLost() {
    for (auto &[Id, Program] : State.Programs) {
      if (Program.Ended)
        continue;
      Program.LostTokens += Program.ReservedTokens;
      Program.ReservedTokens = 0;
      if (hasOpenIntent(Program))
        Program.Calls.back().Progress = call_progress::Completed;
    }
  }
};

} // namespace

void applyRecord(const journal_record &Record, entry_number Entry,
                 shard_state &State) {
  std::visit(record_applier{Entry, State}, Record);
}

void applyEntry(const journal_entry &Entry, shard_state &State) {
  if (Entry.Shard != State.Shard || Entry.Number != State.LastEntry + 1)
    throw corrupt_entry(
        fmt::format("entry {} of shard {} does not follow entry {}",
                    Entry.Number, Entry.Shard, State.LastEntry));
  for (const journal_record &Record : Entry.Records)
    applyRecord(Record, Entry.Number, State);
  State.LastEntry = Entry.Number;
}

std::string encodeSnapshot(const shard_state &State) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, State);
  return {Buffer.data(), Buffer.size()};
}

shard_state decodeSnapshot(std::string_view Bytes) {
  try {
    const auto Handle = unpackBounded(Bytes);
    auto State = Handle.get().as<shard_state>();
    for (auto &[Id, Program] : State.Programs) {
      for (recorded_call &Call : Program.Calls)
        Call.Loaded = false;
    }
    return State;
  } catch (const msgpack::unpack_error &Error) {
    throw corrupt_entry(fmt::format("malformed snapshot: {}", Error.what()));
  } catch (const msgpack::type_error &) {
    throw corrupt_entry("malformed snapshot: a field has the wrong type");
  }
}

namespace {

void copyTexts(entry_number Entry, std::string Request, std::string Response,
               recorded_call &Call) {
  if (Call.Entry != Entry || Call.Loaded)
    return;
  Call.Request = std::move(Request);
  Call.Response = std::move(Response);
  Call.Loaded = true;
}

recorded_call *findCall(const program_id &Program, std::uint32_t Call,
                        shard_state &State) {
  const auto Found = State.Programs.find(Program);
  if (Found == State.Programs.end() || Call == 0 ||
      Call > Found->second.Calls.size())
    return nullptr;
  return &Found->second.Calls[Call - 1];
}

} // namespace

void loadTexts(const journal_entry &Entry, shard_state &State) {
  // In reverse order: of several records of a call, the last one applies.
  for (auto Next = Entry.Records.rbegin(); Next != Entry.Records.rend();
       ++Next) {
    const journal_record &Record = *Next;
    if (const auto *Done = std::get_if<call_completed>(&Record)) {
      if (auto *Call = findCall(Done->Program, Done->Call, State))
        copyTexts(Entry.Number, Done->Request, Done->Response, *Call);
    } else if (const auto *Resolved = std::get_if<outcome_resolved>(&Record)) {
      if (auto *Call = findCall(Resolved->Program, Resolved->Call, State))
        copyTexts(Entry.Number, Resolved->Request, Resolved->Response, *Call);
    } else if (const auto *Intent = std::get_if<call_intended>(&Record)) {
      if (auto *Call = findCall(Intent->Program, Intent->Call, State))
        copyTexts(Entry.Number, Intent->Request, std::string(), *Call);
    }
  }
}

std::size_t dropTexts(entry_number Committed, program_state &Program) {
  std::size_t Freed = 0;
  for (recorded_call &Call : Program.Calls) {
    if (!Call.Loaded || Call.Entry > Committed ||
        Call.Progress != call_progress::Completed)
      continue;
    Freed += Call.Request.size() + Call.Response.size();
    Call.Request = std::string();
    Call.Response = std::string();
    Call.Loaded = false;
  }
  return Freed;
}

std::size_t textBytes(const program_state &Program) {
  std::size_t Bytes = 0;
  for (const recorded_call &Call : Program.Calls)
    Bytes += Call.Request.size() + Call.Response.size();
  return Bytes;
}

entry_number firstUnloadedEntry(const program_state &Program) {
  for (const recorded_call &Call : Program.Calls) {
    if (!Call.Loaded)
      return Call.Entry;
  }
  return 0;
}

} // namespace lentilhoist
