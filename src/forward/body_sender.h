#pragma once

#include "core/instant.h"
#include "history/history_client.h"
#include "tunnel/runner_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// A place in the texts of a chain.
struct chain_position {
  std::size_t Part = 0;     ///< Index of the turn's part.
  std::uint64_t Offset = 0; ///< In that part.
  bool operator==(const chain_position &) const = default;
};

/// Cuts the next piece off the texts of a chain.
/// \param Parts the texts, oldest first.
/// \param[in,out] Position where the piece begins; then where it ends.
/// \param MaxBytes largest size of a piece.
/// \returns the parts of the piece; empty at the end of the chain.
std::vector<text_part> cutPiece(const std::vector<text_part> &Parts,
                                chain_position &Position,
                                std::uint64_t MaxBytes);

/// What the body of a request to a runner consists of.
struct request_body {
  /// Texts of the earlier turns that are still in the history, oldest first.
  std::shared_ptr<const std::vector<text_part>> Chain;
  std::string Workspace; ///< Owner of the chain.
  std::shared_ptr<const std::string> Input;
  instant Deadline{}; ///< Of the request; texts are not waited for any longer.
};

/// Sends the body of a request to a runner as fast as the runner takes it.
/// Holds two pieces of the chain at most: one that is being sent, and the next.
class body_sender : public std::enable_shared_from_this<body_sender> {
public:
  struct handlers {
    /// All bytes are with the system; called once.
    std::function<void()> OnSent;
    /// A text could not be read; called at most once, and last.
    std::function<void()> OnFailed;
  };

  /// \param History the client to read the chain with; must outlive the sender.
  /// \param Stream the connection, on which the head has been written.
  /// \param Body the body.
  /// \param Given what the owner is told.
  body_sender(history_client &History,
              std::shared_ptr<runner_connection> Stream, request_body Body,
              handlers Given);
  ~body_sender();

  /// Begins to send.
  void start() { proceed(); }

  /// Goes on once the connection has passed on what was written.
  void onDrained() { proceed(); }

  /// \returns whether all bytes have been passed on.
  bool done() const { return Done; }

private:
  void proceed();
  void readPiece();
  void onPiece(std::optional<std::string> Text);
  bool chainEnded() const;

  history_client &History;
  std::shared_ptr<runner_connection> Stream;
  request_body Body;
  handlers Handlers;
  chain_position Position;          ///< Of what is read next.
  std::optional<std::string> Piece; ///< The next one to be sent.
  history_client::operation_ptr Reading;
  std::size_t InputSent = 0; ///< Bytes of Body.Input.
  bool Done = false;
  bool Failed = false;
};

} // namespace lentilhoist
