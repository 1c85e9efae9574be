#pragma once

#include "history/replica_set.h"
#include "history/turn_record.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace lentilhoist {

/// What is asked of a replica of the history.
enum class replica_operation {
  Ping,    ///< Is it there, and is it complete?
  Reserve, ///< Reserve tokens, learn the program's ledger and the chain.
  Commit,  ///< Store a turn and settle its tokens.
  Settle,  ///< Settle the tokens of an attempt that left no turn.
  Read,    ///< Read turns with the chains that lead to them.
  Copy,    ///< Read a part of all that the replica holds.
  Backups, ///< Read what the replica keeps of the platform's store.
};

/// How a replica answered.
enum class replica_status {
  Done,
  Incomplete,  ///< Stored, but the replica may lack acknowledged records.
  OldSet,      ///< The request names an older replica set; nothing was done.
  Refused,     ///< The disk failed or is full, or memory is.
  Unreachable, ///< From a relay: it does not reach the replica either.
};

/// \param Status the value to name.
/// \returns its stable text form.
const char *replicaStatusName(replica_status Status);

/// A request to a replica. Which fields count depends on the operation.
struct replica_request {
  std::uint64_t Sequence = 0;   ///< Unique on its connection.
  std::uint64_t SetVersion = 0; ///< Replica set that the sender knows.
  replica_operation Operation = replica_operation::Ping;
  std::string Program;
  ledger_entry Entry;             ///< Reserve, Settle.
  std::uint64_t RetentionMs = 0;  ///< Reserve, Settle: how long to keep it.
  std::string Previous;           ///< Reserve: the turn that is continued.
  bool WantChain = false;         ///< Reserve: send the turns up to Previous.
  turn_record Turn;               ///< Commit.
  std::vector<std::string> Turns; ///< Read: ids.
  std::uint64_t Cursor = 0;       ///< Copy: last position that arrived.
  std::vector<replica_set> Set;   ///< Copy: the set that the sender acts on.
  /// Replica that an entry instance is to pass the request on to; empty if the
  /// receiver is meant.
  std::string Target;
  /// Ping: where the sender passes on requests; empty if it does not.
  std::string RelayAddress;
  MSGPACK_DEFINE(Sequence, SetVersion, Operation, Program, Entry, RetentionMs,
                 Previous, WantChain, Turn, Turns, Cursor, Set, Target,
                 RelayAddress)
};

/// The tokens of one program, as a replica knows them.
struct program_ledger {
  std::string Program;
  std::uint64_t RetentionMs = 0;
  std::vector<ledger_entry> Entries;
  MSGPACK_DEFINE(Program, RetentionMs, Entries)
};

/// What a replica keeps of one kind of objects of the platform's store, for
/// instances that start while the store is away.
struct store_backup {
  std::string Kind;
  std::vector<std::string> Names; ///< Of the objects.
  std::vector<std::string> Specs; ///< Their contents, in the same order.
  MSGPACK_DEFINE(Kind, Names, Specs)
  bool operator==(const store_backup &) const = default;
};

/// A replica's answer.
struct replica_reply {
  std::uint64_t Sequence = 0;
  replica_status Status = replica_status::Done;
  std::uint64_t SetVersion = 0;        ///< Newest set that the replica has met.
  std::vector<ledger_entry> Ledger;    ///< Reserve: all of the program.
  bool PreviousFound = false;          ///< Reserve.
  std::vector<turn_record> Turns;      ///< Reserve, Read, Copy.
  std::vector<program_ledger> Ledgers; ///< Copy.
  std::uint64_t Cursor = 0;            ///< Copy: position of the last item.
  std::uint64_t Head = 0;              ///< Copy: position of the newest item.
  /// OldSet: the newer set, if it is known. Backups: the newest known.
  std::vector<replica_set> Set;
  std::vector<std::string> Relays;   ///< Ping: instances that pass on requests.
  std::vector<store_backup> Backups; ///< Backups: all.
  runner_incarnation PreviousRunner; ///< Reserve: where Previous ran.
  MSGPACK_DEFINE(Sequence, Status, SetVersion, Ledger, PreviousFound, Turns,
                 Ledgers, Cursor, Head, Set, Relays, Backups, PreviousRunner)
};

/// \param Message the message.
/// \returns its frame.
std::string encodeMessage(const replica_request &Message);
std::string encodeMessage(const replica_reply &Message);

/// \param Bytes the payload of a frame.
/// \returns the message.
/// \throws std::runtime_error if the bytes are no such message.
replica_request decodeReplicaRequest(const std::string &Bytes);
replica_reply decodeReplicaReply(const std::string &Bytes);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::replica_operation)
MSGPACK_ADD_ENUM(lentilhoist::replica_status)
