#pragma once

#include "history/replica_set.h"
#include "history/turn_record.h"
#include "limit/permit_message.h"
#include "limit/quota_message.h"
#include "net/shared_bytes.h"
#include "quarantine/suspect_message.h"

#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Operations that a history replica supports.
enum class replica_operation {
  Ping,    ///< Check that the replica answers and is complete.
  Reserve, ///< Reserve tokens; returns the program's ledger and the chain.
  Commit,  ///< Store a turn and settle its tokens.
  Settle,  ///< Settle the tokens of an attempt that produced no turn.
  Read,    ///< Read turns with the chains that lead to them.
  Copy,    ///< Read a batch of the records that the replica holds.
  Backups, ///< Read the replica's backups of the platform's store.
  List,    ///< List a batch of the records that the replica holds.
  Fetch,   ///< Read records by name, with the time until they expire.
  Texts,   ///< Read parts of the texts of turns.
};

/// Result of a request to a replica.
enum class replica_status {
  Done,
  Incomplete,  ///< Stored, but the replica may lack acknowledged records.
  OldSet,      ///< Not executed: the request names an older replica set.
  Refused,     ///< Disk failure, or the disk or memory limit is reached.
  Unreachable, ///< Sent by a relay that cannot reach the replica either.
  /// The request exceeds a frame, or its reply can't be read. Never sent.
  Unreadable,
};

/// \param Status the status.
/// \returns its stable name.
const char *replicaStatusName(replica_status Status);

/// Names a record and its state.
struct record_name {
  std::string Id;       ///< Of a turn, or the name of a ledger.
  std::string Attempt;  ///< Of the ledger's entry; empty for a turn.
  bool Settled = false; ///< Whether the entry is settled.
  MSGPACK_DEFINE(Id, Attempt, Settled)
  bool operator==(const record_name &) const = default;
};

/// A request to a replica. The operation decides which fields are used.
struct replica_request {
  std::uint64_t Sequence = 0;   ///< Unique on the connection.
  std::uint64_t SetVersion = 0; ///< Replica set known to the sender.
  replica_operation Operation = replica_operation::Ping;
  std::string Program;           ///< Name of a ledger, see ownedName().
  ledger_entry Entry;            ///< Reserve, Settle.
  std::uint64_t RetentionMs = 0; ///< Reserve, Settle: retention of the entry.
  std::string Previous;          ///< Reserve: id of the continued turn.
  /// Reserve: return the turns up to Previous. Fetch: return the turns that
  /// lead to those named, too.
  bool WantChain = false;
  turn_record Turn;               ///< Commit.
  std::vector<std::string> Turns; ///< Read: ids of the last turns.
  std::uint64_t Cursor = 0;       ///< Copy, List: last position received.
  std::vector<replica_set> Set;   ///< Copy: replica set of the sender.
  /// Address of the replica that a relay forwards the request to; empty if the
  /// receiver is the replica.
  std::string Target;
  /// Ping: address where the sender relays requests; empty if it does not.
  std::string RelayAddress;
  std::vector<permit_request> Permits;  ///< Ping: permits to issue.
  std::vector<suspect_notice> Suspects; ///< Ping: evidence of the sender.
  request_signature Signature = 0;      ///< Reserve: of the turn's request.
  /// Reserve, Read: turns of other owners are not returned, see mayRead().
  std::string Workspace;
  std::vector<quota_request> Quotas; ///< Ping: permits of workspaces.
  std::uint64_t Run = 0; ///< List: run of the replica that Cursor belongs to.
  std::vector<record_name> Records; ///< Fetch.
  /// Reserve, Read: a chain whose texts are larger than this is listed without
  /// them; 0, as from older builds: all texts are returned.
  std::uint64_t TextLimit = 0;
  std::vector<text_part> Parts; ///< Texts: at most MaxTextReplyBytes.
  /// hashReplicas() of the set of SetVersion; 0 from replicas and older builds.
  std::uint64_t SetReplicas = 0;
  MSGPACK_DEFINE(Sequence, SetVersion, Operation, Program, Entry, RetentionMs,
                 Previous, WantChain, Turn, Turns, Cursor, Set, Target,
                 RelayAddress, Permits, Suspects, Signature, Workspace, Quotas,
                 Run, Records, TextLimit, Parts, SetReplicas)
};

/// Token ledger of one program on a replica.
struct program_ledger {
  std::string Program;
  std::uint64_t RetentionMs = 0;
  std::vector<ledger_entry> Entries;
  std::uint64_t LeftMs = 0; ///< Fetch: time until the ledger expires.
  MSGPACK_DEFINE(Program, RetentionMs, Entries, LeftMs)
};

/// A replica's copy of all objects of one kind from the platform's store, for
/// instances that start while the store is unavailable.
struct store_backup {
  std::string Kind;
  std::vector<std::string> Names; ///< Object names.
  std::vector<std::string> Specs; ///< Object contents, in the order of Names.
  MSGPACK_DEFINE(Kind, Names, Specs)
  bool operator==(const store_backup &) const = default;
};

/// Reply of a replica.
struct replica_reply {
  std::uint64_t Sequence = 0;
  replica_status Status = replica_status::Done;
  std::uint64_t SetVersion = 0;     ///< Newest version known to the replica.
  std::vector<ledger_entry> Ledger; ///< Reserve: entries of the program.
  /// Reserve: the replica holds Previous, and the request may read it.
  bool PreviousFound = false;
  std::vector<turn_record> Turns;      ///< Reserve, Read, Copy, Fetch.
  std::vector<program_ledger> Ledgers; ///< Copy, Fetch.
  std::uint64_t Cursor = 0; ///< Copy, List: position of the last item sent.
  std::uint64_t Head = 0;   ///< Copy, List: position of the last item to send.
  /// OldSet: the newer set, if known. Backups: the newest set, if known.
  /// Incomplete: the known set, if that of the sender has other replicas.
  std::vector<replica_set> Set;
  std::vector<std::string> Relays;   ///< Ping: addresses of relays.
  std::vector<store_backup> Backups; ///< Backups: all kinds.
  runner_incarnation PreviousRunner; ///< Reserve: runner of Previous.
  std::vector<permit_reply> Permits; ///< Ping: in the order of the request.
  std::vector<limit_notice> Limits;  ///< Ping: limits of runners.
  /// Ping: the newest evidence; Reserve: that about the turn's signature.
  std::vector<suspect_notice> Suspects;
  std::string PreviousWorkspace;    ///< Reserve: owner of Previous.
  std::vector<quota_reply> Quotas;  ///< Ping: in the order of the request.
  std::uint64_t Run = 0;            ///< List: this run of the replica.
  std::vector<record_name> Records; ///< List.
  /// Fetch: time until each of Turns expires, in their order.
  std::vector<std::uint64_t> TurnsLeftMs;
  /// Texts: the parts that were asked for, one after the other; empty if the
  /// replica lacks any of them.
  std::string Text;
  /// hashReplicas() of the set of SetVersion; 0 if that isn't known, and from
  /// older builds.
  std::uint64_t SetReplicas = 0;
  MSGPACK_DEFINE(Sequence, Status, SetVersion, Ledger, PreviousFound, Turns,
                 Ledgers, Cursor, Head, Set, Relays, Backups, PreviousRunner,
                 Permits, Limits, Suspects, PreviousWorkspace, Quotas, Run,
                 Records, TurnsLeftMs, Text, SetReplicas)
};

/// Most bytes of texts that one request may read.
inline constexpr std::size_t MaxTextReplyBytes = std::size_t{1024} * 1024;

/// \param Request a request.
/// \returns the size of the parts of texts that it reads.
std::uint64_t requestedBytes(const replica_request &Request);

/// A frame in pieces. The large texts of its message stay where they are.
struct shared_frame {
  std::vector<shared_bytes> Pieces;
  std::size_t Bytes = 0; ///< Of all pieces together.
};

/// Encodes a message without a copy of its large texts.
/// \param Message the message, which the frame keeps; its large texts must not
/// change any more, its other fields may.
/// \returns the frame.
shared_frame
encodeShared(const std::shared_ptr<const replica_request> &Message);
shared_frame encodeShared(const std::shared_ptr<const replica_reply> &Message);

/// \param Message the message.
/// \returns the encoded frame.
std::string encodeMessage(const replica_request &Message);
std::string encodeMessage(const replica_reply &Message);

/// \param FrameBytes size of an encoded frame.
/// \returns whether its receiver reads it.
bool fitsFrame(std::size_t FrameBytes);

/// \param Bytes the payload of a frame, or its beginning.
/// \returns the number of the message; nothing if it can't be read either.
std::optional<std::uint64_t> sequenceOf(std::string_view Bytes);

/// \param Bytes the payload of a frame.
/// \returns the decoded message.
/// \throws std::runtime_error if the payload is malformed.
replica_request decodeReplicaRequest(const std::string &Bytes);
replica_reply decodeReplicaReply(const std::string &Bytes);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::replica_operation)
MSGPACK_ADD_ENUM(lentilhoist::replica_status)
