#include "instance/peer_connection.h"

#include "log/log.h"

#include <stdexcept>

namespace lentilhoist {

namespace {

std::size_t readLength(const std::array<char, FrameHeaderBytes> &Header) {
  std::size_t Length = 0;
  for (const char Byte : Header)
    Length = (Length << 8U) | static_cast<unsigned char>(Byte);
  return Length;
}

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket Given)
    : Socket(std::move(Given)), LastReceived(std::chrono::steady_clock::now()) {
}

void peer_connection::setHandlers(message_handler MessageHandler,
                                  close_handler CloseHandler) {
  OnMessage = std::move(MessageHandler);
  OnClose = std::move(CloseHandler);
}

void peer_connection::connect(const asio::ip::tcp::endpoint &Target) {
  Socket.async_connect(Target, [Self = shared_from_this()](auto Error) {
    if (Error || Self->Closed) {
      Self->close();
      return;
    }
    Self->start();
  });
}

void peer_connection::start() {
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Connected = true;
  LastReceived = std::chrono::steady_clock::now();
  readHeader();
  writeNext();
}

void peer_connection::send(const peer_message &Message) {
  if (Closed)
    return;
  Outgoing.push_back(encodeFrame(Message));
  writeNext();
}

void peer_connection::close() {
  if (Closed)
    return;
  Closed = true;
  asio::error_code Ignored;
  Socket.close(Ignored);
  const auto Handler = std::move(OnClose);
  OnMessage = nullptr;
  OnClose = nullptr;
  if (Handler)
    Handler();
}

void peer_connection::readHeader() {
  asio::async_read(Socket, asio::buffer(Header),
                   [Self = shared_from_this()](auto Error, std::size_t) {
                     const std::size_t Length = readLength(Self->Header);
                     if (Error || Length > MaxFrameBytes) {
                       Self->close();
                       return;
                     }
                     Self->readBody(Length);
                   });
}

void peer_connection::readBody(std::size_t Length) {
  Body.resize(Length);
  asio::async_read(Socket, asio::buffer(Body),
                   [Self = shared_from_this()](auto Error, std::size_t) {
                     if (Error) {
                       Self->close();
                       return;
                     }
                     Self->LastReceived = std::chrono::steady_clock::now();
                     try {
                       const peer_message Message = decodeFrame(Self->Body);
                       if (Self->OnMessage)
                         Self->OnMessage(Message);
                     } catch (const std::invalid_argument &Malformed) {
                       logEvent(log_level::Warning, "peer_frame_rejected",
                                {{"reason", Malformed.what()}});
                       Self->close();
                     }
                     if (!Self->Closed)
                       Self->readHeader();
                   });
}

void peer_connection::writeNext() {
  if (!Connected || Writing || Outgoing.empty() || Closed)
    return;
  Writing = true;
  asio::async_write(Socket, asio::buffer(Outgoing.front()),
                    [Self = shared_from_this()](auto Error, std::size_t) {
                      Self->Writing = false;
                      if (Error) {
                        Self->close();
                        return;
                      }
                      Self->Outgoing.pop_front();
                      Self->writeNext();
                    });
}

} // namespace lentilhoist
