#include "history/replica_message.h"

#include "core/unpack.h"
#include "net/frame.h"

#include <stdexcept>

namespace lentilhoist {

namespace {

template <typename Message> std::string encode(const Message &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return encodeFrame({Buffer.data(), Buffer.size()});
}

template <typename Message> Message decode(const std::string &Bytes) {
  try {
    return unpackInPlace<Message>(Bytes);
  } catch (const std::exception &Error) {
    throw std::runtime_error(std::string("malformed history message: ") +
                             Error.what());
  }
}

/// Stops at the first number of a message.
struct sequence_visitor : msgpack::null_visitor {
  std::optional<std::uint64_t> Sequence;
  bool visit_positive_integer(std::uint64_t Value) {
    Sequence = Value;
    return false;
  }
};

} // namespace

bool fitsFrame(std::string_view Frame) { return Frame.size() <= MaxFrameBytes; }

std::optional<std::uint64_t> sequenceOf(std::string_view Bytes) {
  sequence_visitor Visitor;
  msgpack::parse(Bytes.data(), Bytes.size(), Visitor);
  return Visitor.Sequence;
}

const char *replicaStatusName(replica_status Status) {
  switch (Status) {
  case replica_status::Done:
    return "done";
  case replica_status::Incomplete:
    return "incomplete";
  case replica_status::OldSet:
    return "old_set";
  case replica_status::Refused:
    return "refused";
  case replica_status::Unreachable:
    return "unreachable";
  case replica_status::Unreadable:
    return "unreadable";
  }
  return "unknown";
}

std::string encodeMessage(const replica_request &Message) {
  return encode(Message);
}

std::string encodeMessage(const replica_reply &Message) {
  return encode(Message);
}

replica_request decodeReplicaRequest(const std::string &Bytes) {
  return decode<replica_request>(Bytes);
}

replica_reply decodeReplicaReply(const std::string &Bytes) {
  auto Reply = decode<replica_reply>(Bytes);
  if (Reply.Status < replica_status::Done ||
      Reply.Status > replica_status::Unreachable)
    throw std::runtime_error("malformed history message: unknown status " +
                             std::to_string(static_cast<int>(Reply.Status)));
  for (const store_backup &Backup : Reply.Backups)
    if (Backup.Names.size() != Backup.Specs.size())
      throw std::runtime_error(
          "malformed history message: backup of kind \"" + Backup.Kind +
          "\" has " + std::to_string(Backup.Names.size()) + " names and " +
          std::to_string(Backup.Specs.size()) + " contents");
  if (!Reply.TurnsLeftMs.empty() &&
      Reply.TurnsLeftMs.size() != Reply.Turns.size())
    throw std::runtime_error(
        "malformed history message: " + std::to_string(Reply.Turns.size()) +
        " turns and " + std::to_string(Reply.TurnsLeftMs.size()) +
        " times until they expire");
  for (quota_reply &Quota : Reply.Quotas)
    if (Quota.Verdict < quota_verdict::Undecided ||
        Quota.Verdict > quota_verdict::Refused)
      Quota.Verdict = quota_verdict::Undecided;
  return Reply;
}

} // namespace lentilhoist
