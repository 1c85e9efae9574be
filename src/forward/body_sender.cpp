#include "forward/body_sender.h"

#include "forward/transfer_gate.h"

#include <algorithm>

namespace lentilhoist {

std::vector<text_part> cutPiece(const std::vector<text_part> &Parts,
                                chain_position &Position,
                                std::uint64_t MaxBytes) {
  std::vector<text_part> Piece;
  std::uint64_t Left = MaxBytes;
  while (Position.Part < Parts.size() && Left != 0) {
    const text_part &Part = Parts[Position.Part];
    const std::uint64_t Bytes = std::min(Part.Bytes - Position.Offset, Left);
    if (Bytes != 0)
      Piece.push_back({Part.Turn, Part.Offset + Position.Offset, Bytes});
    Left -= Bytes;
    Position.Offset += Bytes;
    if (Position.Offset == Part.Bytes)
      Position = {Position.Part + 1, 0};
  }
  return Piece;
}

body_sender::body_sender(history_client &GivenHistory,
                         std::shared_ptr<runner_connection> GivenStream,
                         request_body GivenBody, handlers Given)
    : History(GivenHistory), Stream(std::move(GivenStream)),
      Body(std::move(GivenBody)), Handlers(std::move(Given)) {}

body_sender::~body_sender() { History.cancel(Reading); }

bool body_sender::chainEnded() const {
  return !Body.Chain || Position.Part >= Body.Chain->size();
}

void body_sender::proceed() {
  if (Done || Failed || Stream->closed())
    return;
  const auto Keep = shared_from_this(); // A handler may drop the sender.
  while (Stream->pendingBytes() == 0) {
    if (Piece) {
      Stream->write(shareBytes(std::move(*Piece)));
      Piece.reset();
    } else if (Reading || !chainEnded()) {
      break;
    } else if (InputSent < Body.Input->size()) {
      const std::string_view Next =
          std::string_view(*Body.Input)
              .substr(InputSent, transfer_gate::PartBytes);
      InputSent += Next.size();
      Stream->write(shared_bytes{Body.Input, Next});
    } else {
      Done = true;
      Handlers.OnSent();
      return;
    }
    if (Stream->closed())
      return;
  }
  if (!Reading && !Piece && !chainEnded())
    readPiece();
}

void body_sender::readPiece() {
  std::vector<text_part> Parts =
      cutPiece(*Body.Chain, Position, transfer_gate::PartBytes);
  if (Parts.empty()) { // Only turns without any text were left.
    proceed();
    return;
  }
  // A runner that has begun the request can't be given up for another one.
  const auto TimeLeft = std::chrono::duration_cast<milliseconds>(
      Body.Deadline.Steady - readClock().Steady);
  Reading = History.readTexts(
      Body.Workspace, std::move(Parts), std::max(milliseconds(0), TimeLeft),
      [Weak = weak_from_this()](std::optional<std::string> Text) {
        if (const auto Self = Weak.lock())
          Self->onPiece(std::move(Text));
      });
}

void body_sender::onPiece(std::optional<std::string> Text) {
  Reading.reset();
  if (!Text) {
    Failed = true;
    Handlers.OnFailed();
    return;
  }
  Piece = std::move(Text);
  proceed();
}

} // namespace lentilhoist
