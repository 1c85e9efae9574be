#include "history/replica_message.h"

#include "core/unpack.h"
#include "net/frame.h"

#include <limits>
#include <stdexcept>

namespace lentilhoist {

namespace {

/// Texts of a message from this size on are not copied into its frame.
constexpr std::size_t SharedTextBytes = 32UL * 1024UL;

/// Receives a packed message: copies what is small and refers to the rest.
class piece_writer {
public:
  void write(const char *Data, std::size_t Size) {
    if (Size < SharedTextBytes) {
      Small.append(Data, Size);
      return;
    }
    Texts.push_back({Small.size(), {Data, Size}});
    TextBytes += Size;
  }

  /// \param Owner keeps the texts alive.
  shared_frame finish(const std::shared_ptr<const void> &Owner) {
    shared_frame Frame;
    Frame.Bytes = Small.size() + TextBytes;
    const std::string Length = encodeFrameLength(Frame.Bytes - LengthBytes);
    Small.replace(0, LengthBytes, Length);
    const shared_bytes Copied = shareBytes(std::move(Small));
    std::size_t Begin = 0;
    for (const text &Text : Texts) {
      Frame.Pieces.push_back(
          {Copied.Owner, Copied.Bytes.substr(Begin, Text.At - Begin)});
      Frame.Pieces.push_back({Owner, Text.Bytes});
      Begin = Text.At;
    }
    Frame.Pieces.push_back({Copied.Owner, Copied.Bytes.substr(Begin)});
    return Frame;
  }

private:
  static constexpr std::size_t LengthBytes = 4;
  struct text {
    std::size_t At; ///< Number of copied bytes before it.
    std::string_view Bytes;
  };
  std::string Small = std::string(LengthBytes, 0);
  std::vector<text> Texts;
  std::size_t TextBytes = 0;
};

template <typename Message>
shared_frame encodePieces(const std::shared_ptr<const Message> &Value) {
  piece_writer Writer;
  msgpack::pack(Writer, *Value);
  return Writer.finish(Value);
}

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

bool fitsFrame(std::size_t FrameBytes) { return FrameBytes <= MaxFrameBytes; }

std::uint64_t requestedBytes(const replica_request &Request) {
  std::uint64_t Bytes = 0;
  for (const text_part &Part : Request.Parts)
    if (__builtin_add_overflow(Bytes, Part.Bytes, &Bytes))
      return std::numeric_limits<std::uint64_t>::max();
  return Bytes;
}

shared_frame
encodeShared(const std::shared_ptr<const replica_request> &Message) {
  return encodePieces(Message);
}

shared_frame encodeShared(const std::shared_ptr<const replica_reply> &Message) {
  return encodePieces(Message);
}

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
